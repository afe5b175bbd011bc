//! Measures one operation in the ticket table, from its begin to its answer.

use std::hint::black_box;

use criterion::Criterion;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use th_protocol::{Bytes, Incarnation, Millis, Time, VmId};
use th_steer::ticket::{
    BeginOutcome, Checkpoint, Fingerprint, IdempotencyKey, Ticket, TicketSettings, TicketTable,
};

const LIFETIME: Millis = Millis(60_000);
/// Time between two operations: with this lifetime, about 12,000 are in the table at once.
const INTERVAL_MS: u64 = 5;
/// Operations between two sweeps.
const SWEEP_EVERY: u64 = 20;
const ANSWER_SIZE: Bytes = Bytes(100);

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let vm: VmId = "entry-0001".parse().expect("valid id");
    let owner = (vm.clone(), Incarnation(1));
    let target = ("roster".parse().expect("valid id"), "book".parse().expect("valid id"));
    let mut tickets = TicketTable::new(vm, Incarnation(1), TicketSettings::default());
    let fingerprint = Fingerprint::of(&[b"body"]);
    let (mut number, mut now) = (0u64, Time(1));
    criterion.bench_function("ticket operation", |b| {
        b.iter(|| {
            number += 1;
            now = Time(1 + number * INTERVAL_MS);
            let ticket = Ticket::issue(owner.clone(), target.clone(), now, LIFETIME, &mut rng);
            let key: IdempotencyKey = format!("{number:036}").parse().expect("valid key");
            if number.is_multiple_of(SWEEP_EVERY) {
                tickets.sweep(now);
            }
            let BeginOutcome::Fresh(operation) = tickets.begin(&ticket, key, fingerprint, now)
            else {
                panic!("operation {number} is not new");
            };
            let deadline = now.after(LIFETIME);
            let checkpoint = Checkpoint { now, incarnation: Incarnation(1), deadline };
            let operation =
                tickets.dispatch(operation.admit(), checkpoint).expect("dispatch is allowed");
            tickets.answer(operation, black_box(7u8), ANSWER_SIZE);
        });
    });
    criterion.final_summary();
}
