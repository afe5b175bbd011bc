//! The table of operations.

use eyre::{Result, ensure};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use th_protocol::{Bytes, Incarnation, Millis, Time};
use th_steer::ticket::{
    BeginOutcome, Fingerprint, IdempotencyKey, Ticket, TicketSettings, TicketTable,
};

use crate::slope::Slope;

const SIZES: [usize; 4] = [2_500, 5_000, 10_000, 20_000];
const LIFETIME: Millis = Millis(60_000);

/// Operations begun, until `most` or until one is refused; each under a ticket of its own.
fn fill(most: usize) -> (TicketTable<()>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let vm: th_protocol::VmId = "entry-0001".parse().expect("it is an id");
    let owner = (vm.clone(), Incarnation(1));
    let target = ("roster".parse().expect("it is an id"), "book".parse().expect("it is an id"));
    let mut tickets = TicketTable::new(vm, Incarnation(1), TicketSettings::default());
    for i in 0..most {
        let ticket = Ticket::issue(owner.clone(), target.clone(), Time(0), LIFETIME, &mut rng);
        let key: IdempotencyKey = format!("{i:036}").parse().expect("it is a key");
        let begun = tickets.begin(&ticket, key, Fingerprint::of(&[b"body"]), Time(1));
        if !matches!(begun, BeginOutcome::Fresh(_)) {
            return (tickets, i);
        }
    }
    (tickets, most)
}

/// Bytes for each operation, and how many fit.
pub(crate) fn measure() -> Result<Vec<Slope>> {
    let mut points = Vec::new();
    for count in SIZES {
        let mut table = None;
        let seen = allocation_counter::measure(|| table = Some(fill(count)));
        points.push((count as f64, seen.bytes_current as f64));
        drop(table);
    }
    let (table, fit) = fill(usize::MAX);
    let budget = TicketSettings::default().budget;
    ensure!(table.used() <= budget && Bytes(budget.0 / 2) < table.used(), "the table filled up");
    eprintln!("tickets: {fit} operations with keys of 36 bytes fit in {budget}");
    Ok(vec![Slope::new(("ticket table", "bytes", "operation"), points, fit as f64)])
}
