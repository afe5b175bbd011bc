//! Memory of the ticket table.

use eyre::{Result, ensure};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use th_protocol::{Bytes, Incarnation, Millis, Time};
use th_steer::ticket::{
    BeginOutcome, Fingerprint, IdempotencyKey, Ticket, TicketSettings, TicketTable,
};

use crate::measurement::Measurement;

const TICKET_COUNTS: [usize; 4] = [2_500, 5_000, 10_000, 20_000];
const LIFETIME: Millis = Millis(60_000);

/// Begins operations, each with its own ticket, until there are `max_count` or one is rejected. Returns the table and
/// the number of operations in it.
fn fill_table(max_count: usize) -> (TicketTable<()>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let vm: th_protocol::VmId = "entry-0001".parse().expect("the text is a valid id");
    let owner = (vm.clone(), Incarnation(1));
    let target = (
        "roster".parse().expect("the text is a valid id"),
        "book".parse().expect("the text is a valid id"),
    );
    let mut tickets = TicketTable::new(vm, Incarnation(1), TicketSettings::default());
    for i in 0..max_count {
        let ticket = Ticket::issue(owner.clone(), target.clone(), Time(0), LIFETIME, &mut rng);
        let key: IdempotencyKey = format!("{i:036}").parse().expect("the text is a valid key");
        let begun = tickets.begin(&ticket, key, Fingerprint::of(&[b"body"]), Time(1));
        if !matches!(begun, BeginOutcome::Fresh(_)) {
            return (tickets, i);
        }
    }
    (tickets, max_count)
}

/// Measures the bytes of each operation, and how many operations fit in the default budget.
pub(crate) fn measure() -> Result<Vec<Measurement>> {
    let mut points = Vec::new();
    for count in TICKET_COUNTS {
        let mut table = None;
        let allocated = allocation_counter::measure(|| table = Some(fill_table(count)));
        points.push((count as f64, allocated.bytes_current as f64));
        drop(table);
    }
    let (table, capacity) = fill_table(usize::MAX);
    let budget = TicketSettings::default().budget;
    ensure!(
        table.used() <= budget && Bytes(budget.0 / 2) < table.used(),
        "the ticket table did not fill its budget"
    );
    eprintln!("tickets: {capacity} operations with keys of 36 bytes fit in {budget}");
    Ok(vec![Measurement::new(("ticket table", "bytes", "operation"), points, capacity as f64)])
}
