//! Tickets, ticket keys, idempotency keys and the owner's table of operations.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{Bytes, Incarnation, Millis, Reason, Time};
use th_steer::ticket::{
    BeginOutcome, Checkpoint, Dispatched, Fingerprint, IdempotencyKey, Operation, Ticket,
    TicketError, TicketKey, TicketKeys, TicketSettings, TicketTable,
};

const INCARNATION: Incarnation = Incarnation(7);
const NOW: Time = Time(1_000);
/// More operations than fit into the default memory budget.
const MAX_OPERATIONS: u64 = 50_000;

fn ticket(seed: u64) -> Ticket {
    let owner = ("e1".parse().unwrap(), INCARNATION);
    let target = ("desk".parse().unwrap(), "book".parse().unwrap());
    Ticket::issue(owner, target, NOW, Millis(60_000), &mut ChaCha8Rng::seed_from_u64(seed))
}

fn key(text: &str) -> IdempotencyKey {
    text.parse().unwrap()
}

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&[b"/book", body.as_bytes()])
}

fn table(settings: TicketSettings) -> TicketTable<&'static str> {
    TicketTable::new("e1".parse().unwrap(), INCARNATION, settings)
}

fn checkpoint(now: Time) -> Checkpoint {
    Checkpoint { now, incarnation: INCARNATION, deadline: Time(50_000) }
}

fn dispatched(table: &mut TicketTable<&'static str>, name: &str) -> Operation<Dispatched> {
    let BeginOutcome::Fresh(operation) = table.begin(&ticket(1), key(name), fingerprint(name), NOW)
    else {
        panic!("{name} is not a new operation");
    };
    table.dispatch(operation.admit(), checkpoint(NOW)).unwrap()
}

fn keys(first: u8, others: &[u8]) -> TicketKeys {
    let others = others.iter().map(|byte| TicketKey([*byte; 32])).collect();
    TicketKeys::new(TicketKey([first; 32]), others)
}

#[test]
fn keys_rotate_without_rejecting_a_ticket() {
    let text = keys(1, &[]).seal(&ticket(1));
    assert!(text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~".contains(&b)), "{text}");
    assert_eq!(keys(1, &[2]).open(&text), Ok(ticket(1)));
    assert_eq!(keys(2, &[1]).open(&text), Ok(ticket(1)));
    assert_eq!(keys(2, &[]).open(&text), Err(TicketError::Forged));
    assert_eq!(TicketError::Forged.reason(), Reason::BadTicket);
}

#[rstest]
#[case("desk", "book", true)]
#[case("desk", "cancel", false)]
#[case("call-out", "book", false)]
fn a_ticket_is_valid_only_for_its_operation(
    #[case] service: &str,
    #[case] operation: &str,
    #[case] is_valid: bool,
) {
    let end = ticket(1).permits(&service.parse().unwrap(), &operation.parse().unwrap());
    assert_eq!(end.is_ok(), is_valid);
}

proptest! {
    #[test]
    fn any_changed_byte_is_rejected(at in 0usize..1_000, byte in 0x20u8..0x7f) {
        let mut text = keys(1, &[]).seal(&ticket(1)).into_bytes();
        let at = at % text.len();
        prop_assume!(!text[at].eq_ignore_ascii_case(&byte));
        text[at] = byte;
        let text = String::from_utf8(text).unwrap();
        prop_assert!(keys(1, &[]).open(&text).is_err());
    }

    #[test]
    fn any_text_is_read_without_panic(text in ".{0,600}") {
        prop_assert!(keys(1, &[]).open(&text).is_err());
        let _ = text.parse::<IdempotencyKey>();
    }
}

#[rstest]
#[case("", Reason::NoKey)]
#[case("a b", Reason::BadRequest)]
#[case("é", Reason::BadRequest)]
#[case(&"k".repeat(129), Reason::BadRequest)]
fn invalid_keys_are_rejected(#[case] text: &str, #[case] reason: Reason) {
    assert_eq!(text.parse::<IdempotencyKey>().unwrap_err().reason(), reason);
}

#[test]
fn a_repeat_waits_and_then_gets_the_retained_answer() {
    let mut table = table(TicketSettings::default());
    let first = dispatched(&mut table, "a");
    assert_eq!(table.begin(&ticket(1), key("a"), fingerprint("a"), NOW), BeginOutcome::InFlight);
    table.answer(first, "booked", Bytes(6));
    assert_eq!(
        table.begin(&ticket(1), key("a"), fingerprint("a"), NOW),
        BeginOutcome::Answered("booked")
    );
    let other = table.begin(&ticket(1), key("a"), fingerprint("b"), NOW);
    assert_eq!(other, BeginOutcome::Rejected(Reason::KeyReused));
    assert!(matches!(
        table.begin(&ticket(2), key("a"), fingerprint("a"), NOW),
        BeginOutcome::Fresh(_)
    ));
}

#[rstest]
#[case::expired(Time(61_000), INCARNATION, Time(90_000), Reason::TicketExpired)]
#[case::late(Time(50_000), INCARNATION, Time(50_000), Reason::Deadline)]
#[case::newer_incarnation(NOW, Incarnation(8), Time(50_000), Reason::OwnerGone)]
fn a_paused_process_dispatches_nothing(
    #[case] now: Time,
    #[case] incarnation: Incarnation,
    #[case] deadline: Time,
    #[case] reason: Reason,
) {
    let mut table = table(TicketSettings::default());
    let BeginOutcome::Fresh(operation) = table.begin(&ticket(1), key("a"), fingerprint("a"), NOW)
    else {
        panic!("not a new operation");
    };
    let end = table.dispatch(operation.admit(), Checkpoint { now, incarnation, deadline });
    assert_eq!(end, Err(reason));
    assert_eq!((table.len(), table.in_flight()), (0, 0));
}

#[test]
fn only_a_not_executed_operation_is_dispatched_again() {
    let mut table = table(TicketSettings::default());
    let first = dispatched(&mut table, "a");
    let again = table.on_not_executed(first);
    let second = table.dispatch(again, checkpoint(NOW)).unwrap();
    table.unknown(second, Reason::Cut);
    let repeat = table.begin(&ticket(1), key("a"), fingerprint("a"), NOW);
    assert_eq!(repeat, BeginOutcome::Unknown(Reason::Cut));
}

#[test]
fn an_operation_with_a_lost_token_is_unknown_and_never_runs_again() {
    let mut table = table(TicketSettings::default());
    let token = dispatched(&mut table, "a");
    table.on_token_lost(&token.name().clone(), Reason::Cancelled);
    assert_eq!(table.in_flight(), 0);
    let revived = table.on_not_executed(token);
    assert_eq!(table.dispatch(revived, checkpoint(NOW)), Err(Reason::Cancelled));
    let repeat = table.begin(&ticket(1), key("a"), fingerprint("a"), NOW);
    assert_eq!(repeat, BeginOutcome::Unknown(Reason::Cancelled));
}

#[test]
fn tickets_of_other_owners_are_not_run() {
    let mut other = TicketTable::<()>::new("e2".parse().unwrap(), INCARNATION, Default::default());
    let forward = other.begin(&ticket(1), key("a"), fingerprint("a"), NOW);
    assert_eq!(forward, BeginOutcome::Forward("e1".parse().unwrap()));
    let mut later =
        TicketTable::<()>::new("e1".parse().unwrap(), Incarnation(8), Default::default());
    let gone = later.begin(&ticket(1), key("a"), fingerprint("a"), NOW);
    assert_eq!(gone, BeginOutcome::Unknown(Reason::OwnerGone));
    let mut early = table(TicketSettings { max_lifetime: Millis(59_999), ..Default::default() });
    let far = early.begin(&ticket(1), key("a"), fingerprint("a"), NOW);
    assert_eq!(far, BeginOutcome::Rejected(Reason::BadTicket));
}

#[test]
fn a_closed_table_rejects_new_operations_and_answers_repeats() {
    let mut table = table(TicketSettings::default());
    let first = dispatched(&mut table, "a");
    table.close();
    let fresh = table.begin(&ticket(1), key("b"), fingerprint("b"), NOW);
    assert_eq!(fresh, BeginOutcome::Rejected(Reason::Stopping));
    assert_eq!(table.begin(&ticket(1), key("a"), fingerprint("a"), NOW), BeginOutcome::InFlight);
    assert_eq!(table.in_flight(), 1);
    table.answer(first, "booked", Bytes(6));
    assert_eq!(
        table.begin(&ticket(1), key("a"), fingerprint("a"), NOW),
        BeginOutcome::Answered("booked")
    );
    assert_eq!(table.in_flight(), 0);
}

#[test]
fn a_full_table_rejects_new_operations_and_retains_all_others() {
    let mut table = table(TicketSettings::default());
    let ticket = ticket(1);
    let mut rejected = None;
    for count in 0..MAX_OPERATIONS {
        let name = format!("{count:036}");
        match table.begin(&ticket, key(&name), fingerprint("a"), NOW) {
            BeginOutcome::Fresh(operation) => {
                let token = table.dispatch(operation.admit(), checkpoint(NOW)).unwrap();
                table.unknown(token, Reason::Timeout);
            }
            end => {
                rejected = Some((count, end));
                break;
            }
        }
    }
    let (count, end) = rejected.expect("the table is bounded");
    assert_eq!(end, BeginOutcome::Rejected(Reason::TicketsFull));
    println!("{count} operations with 36-byte keys fit in {}", table.used());
    assert!(table.used() <= TicketSettings::default().budget);
    let first = table.begin(&ticket, key(&format!("{:036}", 0)), fingerprint("a"), NOW);
    assert_eq!(first, BeginOutcome::Unknown(Reason::Timeout));
}

#[test]
fn an_operation_whose_answer_does_not_fit_is_unknown() {
    let mut table = table(TicketSettings { answer_budget: Bytes(10), ..Default::default() });
    let (a, b) = (dispatched(&mut table, "a"), dispatched(&mut table, "b"));
    table.answer(a, "small", Bytes(8));
    table.answer(b, "large", Bytes(8));
    assert_eq!(
        table.begin(&ticket(1), key("a"), fingerprint("a"), NOW),
        BeginOutcome::Answered("small")
    );
    let repeat = table.begin(&ticket(1), key("b"), fingerprint("b"), NOW);
    assert_eq!(repeat, BeginOutcome::Unknown(Reason::TicketsFull));
}

#[test]
fn a_sweep_is_bounded_and_retains_operations_in_flight() {
    let mut table = table(TicketSettings { sweep_limit: 2, ..Default::default() });
    let slow = dispatched(&mut table, "a");
    for name in ["b", "c", "d", "e"] {
        let token = dispatched(&mut table, name);
        table.answer(token, "booked", Bytes(6));
    }
    assert_eq!(table.sweep(Time(60_999)), 0);
    let expired = Time(61_000);
    for _ in 0..4 {
        assert!(table.sweep(expired) <= 2);
    }
    assert_eq!((table.len(), table.in_flight()), (1, 1));
    let stale = table.begin(&ticket(1), key("b"), fingerprint("b"), NOW);
    assert_eq!(
        stale,
        BeginOutcome::Unknown(Reason::TicketExpired),
        "the clock reading is older than the last sweep"
    );
    table.answer(slow, "booked", Bytes(6));
    assert_eq!(
        table.begin(&ticket(1), key("a"), fingerprint("a"), expired),
        BeginOutcome::Answered("booked")
    );
    table.sweep(expired);
    table.sweep(expired);
    assert_eq!((table.len(), table.used()), (0, Bytes::ZERO));
}
