//! The journal of decisions: sampling, eviction, memory use and search.

use rstest::rstest;
use th_protocol::{AttemptId, Millis, ServiceId, Time};
use th_steer::explain::{Inputs, Journal, Limit, Outcome, Quantity, Record, Rule, Settings};

fn service(text: &str) -> ServiceId {
    text.parse().unwrap()
}

fn record(time: u64, outcome: Outcome) -> Record {
    let mut inputs = Inputs::default();
    inputs.push(Quantity::Headroom, 0.5, Millis(700));
    Record {
        time: Time(time),
        service: service("booking"),
        request: Some(time / 10),
        attempt: Some(AttemptId(time)),
        inputs,
        limit: Limit::ShiftCap,
        rule: Rule::Spill,
        outcome,
        reason: None,
    }
}

#[rstest]
fn accepted_records_do_not_evict_rejections() {
    let mut journal = Journal::new(&Settings { refused: 4, accepted: 8, sample: 1 });
    journal.record(record(1, Outcome::Refused));
    for time in 2..100 {
        journal.record(record(time, Outcome::Accepted));
    }
    let times: Vec<u64> =
        journal.of_service(&service("booking"), 100).iter().map(|it| it.time.0).collect();
    assert_eq!(times, [99, 98, 97, 96, 95, 94, 93, 92, 1]);
}

#[rstest]
#[case(Outcome::Refused, 640)]
#[case(Outcome::Partial, 640)]
#[case(Outcome::Accepted, 10)]
fn accepted_decisions_are_sampled_and_no_others(#[case] outcome: Outcome, #[case] recorded: usize) {
    let mut journal = Journal::new(&Settings { sample: 64, ..Settings::default() });
    assert_eq!((0..640).filter(|_| journal.should_record(outcome)).count(), recorded);
}

#[rstest]
fn recording_does_not_allocate_or_grow() {
    let mut journal = Journal::new(&Settings::default());
    let start = journal.bytes();
    let mine = record(1, Outcome::Refused);
    let seen = allocation_counter::measure(|| {
        for _ in 0..10_000 {
            journal.record(mine.clone());
        }
    });
    assert_eq!((seen.count_total, journal.bytes()), (0, start));
}

#[rstest]
fn a_request_is_found_in_order_and_by_attempt() {
    let mut journal = Journal::new(&Settings::default());
    for time in [12, 30, 11, 15] {
        let outcome = if time == 11 { Outcome::Accepted } else { Outcome::Refused };
        journal.record(record(time, outcome));
    }
    let times: Vec<u64> = journal.of_request(1).iter().map(|it| it.time.0).collect();
    assert_eq!(times, [11, 12, 15]);
    assert_eq!(journal.of_attempt(AttemptId(30)), [record(30, Outcome::Refused)]);
}

#[rstest]
fn a_record_round_trips_through_json() {
    let text = serde_json::to_string(&record(5, Outcome::Refused)).unwrap();
    assert!(text.contains(r#""limit":"shift-cap""#), "{text}");
    assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record(5, Outcome::Refused));
}
