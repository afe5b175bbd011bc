//! Burn rates, alerts, and the counts that they are computed from.

use std::collections::BTreeMap;

use rstest::rstest;
use th_protocol::{Millis, Permille, ServiceId, Time, VmId};
use th_report::{
    Alert, BurnRing, Count, MAX_SERIES, Measure, Report, Sample, Scope, Window, burn_rate, plot,
    text,
};

const MINUTE: u64 = 60_000;
const START: Time = Time(7_654_321);

fn roster() -> ServiceId {
    "roster".parse().unwrap()
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn objectives() -> BTreeMap<ServiceId, Permille> {
    [(roster(), Permille(990))].into()
}

/// Returns a ring after `minutes` of 100 requests a minute, of which `bad(age in minutes)` are bad.
fn ring(minutes: u64, bad: impl Fn(u64) -> u64) -> (BurnRing, Time) {
    let mut ring = BurnRing::new(START);
    let mut sum = Count::default();
    for minute in 0..minutes {
        sum = sum.plus(Count { good: 100 - bad(minutes - 1 - minute), total: 100 });
        let at = START.after(Millis(minute * MINUTE));
        let (service, measure) = (roster(), Measure::Latency);
        ring.record(&Sample { at, service, measure, good: sum.good, total: sum.total });
    }
    (ring, START.after(Millis(minutes.saturating_sub(1) * MINUTE)))
}

fn report(minutes: u64, bad: impl Fn(u64) -> u64) -> Report {
    let (ring, now) = ring(minutes, bad);
    Report::merge(&[ring.answer(&vm("e1"), now, &objectives())], &[])
}

#[rstest]
#[case(0, 0, 990, None)]
#[case(100, 100, 990, Some(0.0))]
#[case(99, 100, 990, Some(1.0))]
#[case(0, 100, 990, Some(100.0))]
#[case(999, 1000, 1000, Some(1.0))]
#[case(0, 100, 0, Some(1.0))]
fn burn_is_bad_share_over_budget(
    #[case] good: u64,
    #[case] total: u64,
    #[case] objective: u32,
    #[case] rate: Option<f64>,
) {
    let found = burn_rate(Count { good, total }, Permille(objective));
    match (found, rate) {
        (Some(found), Some(rate)) => assert!((found.0 - rate).abs() < 1e-9, "{found}"),
        (found, rate) => assert_eq!(found.map(|it| it.0), rate),
    }
}

#[rstest]
#[case::no_errors(|_| 0, Alert::None)]
#[case::at_budget(|_| 1, Alert::None)]
#[case::just_under_slow(|_| 5, Alert::None)]
#[case::slow(|_| 6, Alert::Slow)]
#[case::just_under_fast(|_| 14, Alert::Slow)]
#[case::fast(|_| 15, Alert::Fast)]
#[case::none_for_ten_minutes(|age| if age < 10 { 0 } else { 18 }, Alert::Slow)]
#[case::only_five_minutes(|age| if age < 5 { 15 } else { 0 }, Alert::None)]
#[case::only_one_hour(|age| if age < 55 { 8 } else { 0 }, Alert::None)]
fn alerts_need_both_windows_of_a_pair(#[case] bad: fn(u64) -> u64, #[case] alert: Alert) {
    let found = report(8 * 60, bad);
    assert_eq!(found.rows[0].alert, alert, "{:?}", found.rows[0].burns);
    assert_eq!(found.highest_alert(), alert);
}

/// Each window counts its own length, and at most one slot more.
#[rstest]
#[case(Window::FiveMinutes, 1)]
#[case(Window::Hour, 1)]
#[case(Window::SixHours, 5)]
#[case(Window::ThreeDays, 60)]
fn windows_cover_their_length(#[case] window: Window, #[case] slot: u64) {
    let found = report(4 * 24 * 60, |_| 0);
    let minutes = found.rows[0].counts[&window].total / 100;
    let span = window.length().0 / MINUTE;
    assert!((span..=span + slot).contains(&minutes), "{minutes} minutes in {window}");
}

#[test]
fn no_events_in_the_last_hour_gives_no_data() {
    let (ring, now) = ring(10, |_| 100);
    let answer = ring.answer(&vm("e1"), now.after(Millis(2 * 60 * MINUTE)), &objectives());
    let found = Report::merge(&[answer], &[]);
    assert_eq!(found.rows[0].alert, Alert::NoData);
    assert!(!found.rows[0].burns.contains_key(&Window::FiveMinutes));
}

#[test]
fn a_falling_counter_is_a_restart() {
    let mut ring = BurnRing::new(START);
    for (good, total) in [(90, 100), (5, 10), (5, 20)] {
        let (service, measure) = (roster(), Measure::Latency);
        ring.record(&Sample { at: START, service, measure, good, total });
    }
    let answer = ring.answer(&vm("e1"), START, &objectives());
    assert_eq!(answer.series[0].windows[&Window::Hour], Count { good: 95, total: 120 });
}

/// Two VMs have run for half an hour, one was replaced just now, and one does not answer.
#[test]
fn coverage_is_the_counted_share() {
    let (old, now) = ring(31, |_| 0);
    let young = BurnRing::new(now);
    let answers = [
        old.answer(&vm("e1"), now, &objectives()),
        old.answer(&vm("e2"), now, &objectives()),
        young.answer(&vm("e3"), now, &objectives()),
    ];
    let found = Report::merge(&answers, &["10.0.0.4:80".into()]);
    assert_eq!(found.coverage[&Window::FiveMinutes], Permille(500));
    assert_eq!(found.coverage[&Window::Hour], Permille(250));
    assert_eq!(found.rows[0].counts[&Window::Hour].total, 2 * 31 * 100);
    assert!(text(&found).contains("silent: 10.0.0.4:80"));
}

/// Counts may take a third of the 32 MB that a node has for control.
#[test]
fn memory_is_bounded() {
    let mut ring = BurnRing::new(START);
    for n in 0..MAX_SERIES as u64 + 10 {
        for hour in 0..200 {
            let service: ServiceId = format!("s{n}").parse().unwrap();
            let at = START.after(Millis(hour * 60 * MINUTE));
            let measure = Measure::Latency;
            ring.record(&Sample { at, service, measure, good: hour, total: hour + 1 });
        }
    }
    let answer = ring.answer(&vm("e1"), START, &objectives());
    assert_eq!(answer.dropped, 10 * 200);
    assert!(ring.memory() <= BurnRing::MAX_MEMORY, "{}", ring.memory());
    const { assert!(BurnRing::MAX_MEMORY.0 <= (32 << 20) / 3) }
    println!("{} of at most {}", ring.memory(), BurnRing::MAX_MEMORY);
}

#[test]
fn headroom_and_drains_are_merged() {
    let scope = Scope::Region("north".parse().unwrap());
    let mut answers = Vec::new();
    for (name, low, took) in [("e1", 300, 4000), ("e2", 50, 9000)] {
        let mut ring = BurnRing::new(START);
        ring.record_headroom(&scope, Permille(1), START);
        let later = START.after(Millis(90 * MINUTE));
        ring.record_headroom(&scope, Permille(low), later);
        ring.record_headroom(&scope, Permille(400), later.after(Millis(MINUTE)));
        ring.record_drain(roster(), "b1".parse().unwrap(), Millis(took), later);
        ring.record_drain(roster(), "b2".parse().unwrap(), Millis(1000), later);
        let now = later.after(Millis(2 * MINUTE));
        answers.push(ring.answer(&vm(name), now, &objectives()));
    }
    let found = Report::merge(&answers, &[]);
    let row = &found.headroom[0];
    assert_eq!((row.low, row.last, row.age), (Permille(50), Permille(400), Millis(MINUTE)));
    let drains = found.drains.unwrap();
    assert_eq!((drains.count, drains.p50, drains.max), (2, Millis(1000), Millis(9000)));
}

#[test]
fn every_format_names_the_service() {
    let found = report(30, |age| age);
    let json = serde_json::to_string(&found).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&json).unwrap(), found);
    let svg = plot(&found).unwrap();
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"), "{svg}");
    for output in [text(&found), json, svg] {
        assert!(output.contains("roster"), "{output}");
    }
    plot(&Report::merge(&[], &[])).unwrap();
}
