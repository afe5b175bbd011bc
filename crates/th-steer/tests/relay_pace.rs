//! The time that each step of learning a change may take.

use rstest::rstest;
use th_protocol::Millis;
use th_steer::relay::WatchPace;

#[test]
fn all_steps_together_fit_into_the_limit() {
    for limit in (1_500..=20_000).step_by(50) {
        let pace = WatchPace::new(Millis(limit));
        assert_eq!(pace.check(), Ok(()), "{pace:?}");
        assert!(pace.longest_age() <= Millis(limit), "{pace:?}");
    }
}

#[test]
fn a_limit_that_is_too_short_is_named_with_what_can_be_reached() {
    let error = WatchPace::new(Millis(500)).check().unwrap_err();
    assert_eq!(
        error.to_string(),
        "changes must be known after 500ms, but while calls fail they are known after up to 1300ms"
    );
}

/// A store that is back right after a call failed or was sent in vain: the next one follows soon.
#[rstest]
fn a_call_that_failed_is_repeated_within_the_longest_gap(
    #[values(1_500, 2_500, 4_000, 7_000)] limit: u64,
    #[values(0, 1, 2, 3, 50)] failures: u32,
) {
    let pace = WatchPace::new(Millis(limit));
    // A call that took longer has been repeated meanwhile.
    for took in 0..=pace.repeat.0 {
        let delay = pace.retry_delay(failures, Millis(took));
        assert!(Millis(took).plus(delay) <= pace.longest_gap(), "after {took} ms: {delay}");
    }
}

/// Many VMs whose calls are rejected at once do not repeat them at once.
#[test]
fn the_delay_grows_while_calls_fail_at_once() {
    let pace = WatchPace::new(Millis(2_500));
    let mut delays = Vec::new();
    for failures in 0..4 {
        delays.push(pace.retry_delay(failures, Millis::ZERO));
    }
    assert_eq!(delays, [Millis(250), Millis(500), Millis(500), Millis(500)]);
}
