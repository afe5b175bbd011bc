//! Answers of an entry VM without a bundle to requests that may be repeats.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{Bytes, Incarnation, Millis, Reason, Time, Verdict};
use th_steer::{
    engine::{Call, Engine, EngineSettings, Identity, ReceiveOutcome},
    ticket::{Fingerprint, Ticket, TicketKey, TicketKeys},
};

const NOW: Time = Time(1_000);

fn engine() -> Engine<String> {
    let address = ([127, 0, 0, 1], 1).into();
    let me = Identity {
        vm: "n1-entry-0".parse().expect("the id is valid"),
        zone: "n1".parse().expect("the id is valid"),
        incarnation: Incarnation(2),
        callers: address,
        peers: address,
        origin: Time(0),
    };
    let keys = TicketKeys::new(TicketKey([7; 32]), Vec::new());
    Engine::new(EngineSettings::default(), me, keys, 1, Time(0))
}

fn call(owner: &str, incarnation: u64) -> Call {
    let owner = (owner.parse().expect("the id is valid"), Incarnation(incarnation));
    let target =
        ("roster".parse().expect("the id is valid"), "book".parse().expect("the id is valid"));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let ticket = Ticket::issue(owner, target.clone(), NOW, Millis(60_000), &mut rng);
    let keys = TicketKeys::new(TicketKey([7; 32]), Vec::new());
    Call {
        service: target.0,
        operation: target.1,
        customer: None,
        source: [10, 0, 0, 1].into(),
        ticket: Some(keys.seal(&ticket)),
        key: Some("key".to_owned()),
        fingerprint: Fingerprint::of(&[b"body"]),
        deadline: NOW.after(Millis(2_000)),
        size: Bytes(1),
        forwarded: false,
        attempts: 0,
        number: 1,
    }
}

/// Guards against a false "not run": only the process that owns the ticket knows that nothing ran under
/// it, so any other has to answer that the result is unknown.
#[rstest]
#[case::own("n1-entry-0", 2, Verdict::Refused, Reason::NoBundle)]
#[case::earlier_process("n1-entry-0", 1, Verdict::Unknown, Reason::OwnerGone)]
#[case::unknown_owner("n2-entry-0", 1, Verdict::Unknown, Reason::OwnerGone)]
fn only_the_ticket_owner_reports_not_run(
    #[case] owner: &str,
    #[case] incarnation: u64,
    #[case] verdict: Verdict,
    #[case] reason: Reason,
) {
    let ReceiveOutcome::Notice(notice) = engine().receive(call(owner, incarnation), NOW) else {
        panic!("there is no bundle");
    };
    assert_eq!((notice.verdict, notice.reason), (verdict, reason));
}
