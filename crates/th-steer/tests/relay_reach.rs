//! Outages of the store, and watches that it cuts.

use th_protocol::{Millis, Time};
use th_steer::relay::{Outage, StoreReach, WatchPace};

const NOW: Time = Time(10_000);

fn reach() -> (StoreReach, WatchPace) {
    let pace = WatchPace::new(Millis(2_500));
    (StoreReach::new(pace), pace)
}

/// Guards against removals that wait after a watch was cut, as if the store had been away.
#[test]
fn cut_watches_are_no_outage_while_what_is_known_is_recent() {
    let (mut reach, pace) = reach();
    for _ in 0..4 {
        assert!(!reach.on_cut(pace.interval.plus(pace.wait)));
        assert!(reach.was_cut() && !reach.is_away());
    }
    assert_eq!(reach.on_answer(), None);
    assert!(!reach.was_cut());
}

/// A proxy cuts all calls while the store behind it is away.
#[test]
fn cut_watches_are_an_outage_once_what_is_known_is_old() {
    let (mut reach, pace) = reach();
    assert!(!reach.on_cut(pace.longest_relayed()));
    assert!(reach.on_cut(pace.longest_relayed().plus(Millis(1))));
    assert!(reach.on_failure(NOW));
    assert!(reach.is_away());
    assert_eq!(reach.on_answer(), Some(Outage { since: NOW, failures: 0 }));
}

/// A store that goes down cuts the watches that wait, and refuses the next call.
#[test]
fn a_call_that_fails_otherwise_begins_an_outage() {
    let (mut reach, _) = reach();
    assert!(!reach.on_cut(Millis::ZERO));
    assert!(reach.on_failure(NOW));
    assert!(!reach.on_failure(NOW.after(Millis(500))), "it has begun");
    assert!(reach.on_cut(Millis::ZERO), "a cut does not end it");
    assert!(reach.is_away());
    assert_eq!(reach.on_answer().map(|it| it.since), Some(NOW));
    assert!(!reach.is_away());
}

/// Guards against a change that is learned late because the delay after a cut is that of an outage.
#[test]
fn a_cut_watch_is_repeated_soon_and_several_are_not_repeated_at_once() {
    let (mut reach, _) = reach();
    let mut delays = Vec::new();
    for _ in 0..4 {
        assert!(!reach.on_cut(Millis::ZERO));
        delays.push(reach.next_delay(Millis::ZERO));
    }
    assert_eq!(delays, [Millis(50), Millis(100), Millis(200), Millis(200)]);
}

#[test]
fn an_outage_keeps_its_own_delays_and_counts_its_failures() {
    let (mut reach, pace) = reach();
    assert!(!reach.on_cut(Millis::ZERO));
    reach.on_failure(NOW);
    for failures in 0..3 {
        assert_eq!(reach.next_delay(Millis::ZERO), pace.retry_delay(failures, Millis::ZERO));
    }
    assert_eq!(reach.on_answer(), Some(Outage { since: NOW, failures: 3 }));
}
