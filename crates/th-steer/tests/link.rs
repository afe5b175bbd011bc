//! Link limiter: the bytes charged in any window stay within the share, for every schedule.

use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use rstest::rstest;
use th_protocol::{Bytes, Reason, Time};
use th_steer::limit::{LINK_WINDOW, LinkMeter};

const SHARE: u64 = 1000;

/// One request: time since the previous one in ms, estimated and actual size in bytes.
type Request = (u64, u64, u64);

fn requests() -> impl Strategy<Value = Vec<Request>> {
    prop::collection::vec((0u64..60, 0u64..800, 0u64..1200), 1..200)
}

/// Runs requests through the meter; returns the bytes charged at each time, including debts.
fn run_meter(requests: &[Request]) -> Vec<(u64, u64)> {
    let mut meter = LinkMeter::default();
    let mut sent = Vec::new();
    let mut now = 0;
    for (gap, estimate, actual) in requests {
        now += gap;
        let before = meter.used(Time(now));
        let answer = meter.charge(Bytes(*estimate), SHARE, Time(now));
        sent.push((now, meter.used(Time(now)).minus(before).0));
        if let Ok(charge) = answer {
            meter.settle(charge, Bytes(*actual));
        }
    }
    sent
}

/// Runs requests through a token bucket, which admits a full bucket and a refill in one window.
fn run_bucket(requests: &[Request]) -> Vec<(u64, u64)> {
    let mut tokens = SHARE;
    let mut sent = Vec::new();
    let mut now = 0;
    for (gap, estimate, _) in requests {
        now += gap;
        tokens = SHARE.min(tokens + gap * SHARE / LINK_WINDOW.0);
        if *estimate <= tokens {
            tokens -= estimate;
            sent.push((now, *estimate));
        }
    }
    sent
}

fn max_bytes_in_window(sent: &[(u64, u64)]) -> u64 {
    let mut most = 0;
    for (start, _) in sent {
        let mut sum = 0;
        for (at, bytes) in sent {
            // Times are whole milliseconds: a window that starts within one ends within another.
            if start <= at && *at <= start + LINK_WINDOW.0 {
                sum += bytes;
            }
        }
        most = sum.max(most);
    }
    most
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    #[test]
    fn no_window_exceeds_the_share(requests in requests()) {
        prop_assert!(max_bytes_in_window(&run_meter(&requests)) <= SHARE);
    }

    #[test]
    fn extreme_values_stay_within_the_share(calls in prop::collection::vec(any::<[u64; 4]>(), 1..50)) {
        let mut meter = LinkMeter::default();
        for [bytes, actual, share, now] in calls {
            if let Ok(charge) = meter.charge(Bytes(bytes), share, Time(now)) {
                prop_assert!(meter.used(Time(now)) <= Bytes(share));
                meter.settle(charge, Bytes(actual));
            }
        }
    }
}

#[test]
fn a_token_bucket_violates_the_window() {
    let violation = TestRunner::deterministic().run(&requests(), |requests| {
        prop_assert!(max_bytes_in_window(&run_bucket(&requests)) <= SHARE);
        Ok(())
    });
    println!("{}", violation.expect_err("a burst and a refill fall into one window"));
}

#[test]
fn a_debt_is_charged_before_new_work() {
    let mut meter = LinkMeter::default();
    let charge = meter.charge(Bytes(100), SHARE, Time(0)).expect("fits the share");
    meter.settle(charge, Bytes(2600));
    let rejection = meter.charge(Bytes(1), SHARE, Time(0)).expect_err("debt is charged first");
    assert_eq!(rejection.reason, Reason::LinkCap);
    assert_eq!(meter.debt(), Bytes(1600));
    assert!(meter.charge(Bytes(1), SHARE, Time(101)).is_err());
    assert!(meter.charge(Bytes(1), SHARE, Time(202)).is_ok());
    assert_eq!(meter.debt(), Bytes(0));
}

#[rstest]
#[case::empty_share(0, 1, false)]
#[case::nothing_to_send(0, 0, true)]
#[case::whole_share(7, 7, true)]
#[case::over_the_share(7, 8, false)]
#[case::huge(u64::MAX, u64::MAX, true)]
fn charges_at_boundary_shares_and_sizes(
    #[case] share: u64,
    #[case] bytes: u64,
    #[case] is_admitted: bool,
) {
    let answer = LinkMeter::default().charge(Bytes(bytes), share, Time(0));
    assert_eq!(answer.is_ok(), is_admitted);
}

#[test]
fn a_retry_after_the_suggested_wait_is_admitted() {
    let mut meter = LinkMeter::default();
    for now in [0, 40] {
        let charge = meter.charge(Bytes(500), SHARE, Time(now)).expect("fits the share");
        meter.settle(charge, Bytes(500));
    }
    let rejection = meter.charge(Bytes(300), SHARE, Time(60)).expect_err("the window is full");
    assert!(meter.charge(Bytes(300), SHARE, Time(60).after(rejection.retry_after)).is_ok());
}
