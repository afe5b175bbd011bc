//! Retry budgets, backoff, hedges and attempt ids.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{AttemptId, Millis, Permille, ServiceId, Slots, Time};
use th_steer::retry::{
    Attempts, FailedAttempt, LatencyWindow, RetryDecision, RetryPolicy, RetrySettings, RetryStop,
    SlowAttempt, StrayAnswer, backoff, next_hop_timeout,
};

/// Maximum number of attempts in a full outage, in thousandths of the requests offered.
const MAX_LOAD: u64 = 1_100;
const SEED: u64 = 11;
const OFFERED: u64 = 6_000;

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn failure(attempts: u32) -> FailedAttempt {
    FailedAttempt {
        idempotent: true,
        not_executed: false,
        forwarded: false,
        attempts,
        deadline: Time(u64::MAX),
        expected: Millis(10),
    }
}

/// Sends one request through `hops`, each of which retries by its policy, and returns the number of
/// attempts that leave the last hop.
fn send(
    hops: &mut [RetryPolicy],
    forwarded: bool,
    mark_forwarded: bool,
    now: Time,
    rng: &mut ChaCha8Rng,
) -> u64 {
    let Some((hop, rest)) = hops.split_first_mut() else {
        return 1;
    };
    if !forwarded {
        hop.on_first_attempt(&service());
    }
    let mut load = 0;
    for attempts in 1.. {
        load += send(rest, mark_forwarded, mark_forwarded, now, rng);
        let failure = FailedAttempt { forwarded, ..failure(attempts) };
        if let RetryDecision::Stop(_) = hop.retry(&service(), &failure, now, rng) {
            break;
        }
    }
    load
}

/// Returns the attempts, in thousandths of the requests offered, in an outage of one minute at 100
/// requests per second after a healthy minute.
fn outage_load(settings: &RetrySettings, hops: usize, mark_forwarded: bool) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut hops = vec![RetryPolicy::new(settings.clone()); hops];
    for hop in &mut hops {
        for _ in 0..OFFERED {
            hop.on_first_attempt(&service());
        }
    }
    let mut load = 0;
    for request in 0..OFFERED {
        load += send(&mut hops, false, mark_forwarded, Time(60_000 + request * 10), &mut rng);
    }
    load * 1_000 / OFFERED
}

#[rstest]
#[case::one_hop(RetrySettings::default(), 1, true, true)]
#[case::two_hops(RetrySettings::default(), 2, true, true)]
#[case::no_budget(RetrySettings { budget_share: Permille(2_000), ..Default::default() }, 1, true, false)]
#[case::each_hop_retries(RetrySettings::default(), 2, false, false)]
fn retries_stay_within_a_tenth_in_an_outage(
    #[case] settings: RetrySettings,
    #[case] hops: usize,
    #[case] mark_forwarded: bool,
    #[case] holds: bool,
) {
    let load = outage_load(&settings, hops, mark_forwarded);
    println!(
        "{hops} hops, mark_forwarded {mark_forwarded}, share {}: load {load} of 1000",
        settings.budget_share
    );
    assert_eq!(load <= MAX_LOAD, holds, "load {load}, seed {SEED}");
}

#[rstest]
#[case(FailedAttempt { idempotent: false, ..failure(1) }, RetryStop::MayHaveRun)]
#[case(FailedAttempt { forwarded: true, ..failure(1) }, RetryStop::Forwarded)]
#[case(failure(3), RetryStop::MaxAttempts)]
#[case(FailedAttempt { deadline: Time(109), expected: Millis(110), ..failure(1) }, RetryStop::Deadline)]
fn a_request_is_not_retried(#[case] failure: FailedAttempt, #[case] stop: RetryStop) {
    let mut policy = RetryPolicy::new(RetrySettings::default());
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let decision = policy.retry(&service(), &failure, Time(0), &mut rng);
    assert_eq!(decision, RetryDecision::Stop(stop));
}

#[test]
fn a_request_not_executed_is_retried_within_the_budget() {
    let mut policy = RetryPolicy::new(RetrySettings::default());
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let rejected = FailedAttempt { idempotent: false, not_executed: true, ..failure(1) };
    let mut decide = |now| policy.retry(&service(), &rejected, Time(now), &mut rng);
    assert!(matches!(decide(0), RetryDecision::After(_)));
    assert_eq!(decide(9_999), RetryDecision::Stop(RetryStop::Budget));
    assert!(matches!(decide(10_000), RetryDecision::After(_)));
}

#[test]
fn a_hedge_needs_a_slow_read_a_free_slot_and_budget() {
    let mut policy = RetryPolicy::new(RetrySettings::default());
    let slow = SlowAttempt {
        idempotent: true,
        forwarded: false,
        attempts: 1,
        sent: Time(0),
        free: Slots(1),
    };
    assert!(!policy.hedge(&service(), &slow, Time(500)), "too few latencies are recorded");
    for latency in 1..=100 {
        policy.on_answer(&service(), Millis(latency));
    }
    let after = policy.hedge_after(&service()).unwrap();
    assert!(Millis(95) <= after && after < Millis(107), "{after}");
    assert!(!policy.hedge(&service(), &slow, Time(after.0)));
    let write = SlowAttempt { idempotent: false, ..slow };
    assert!(!policy.hedge(&service(), &write, Time(500)));
    let full = SlowAttempt { free: Slots(0), ..slow };
    assert!(!policy.hedge(&service(), &full, Time(500)));
    assert!(policy.hedge(&service(), &slow, Time(500)));
    assert!(!policy.hedge(&service(), &slow, Time(501)), "the budget is spent");
}

#[test]
fn stray_answers_are_dropped_by_id() {
    let mut attempts = Attempts::new(AttemptId(u64::MAX));
    let first = attempts.start("check");
    let hedge = attempts.start("check");
    let other = attempts.start("book");
    let mismatched = StrayAnswer::OtherId { sent: other, received: first };
    assert_eq!(attempts.accept(other, Some(first)), Err(mismatched));
    assert_eq!(attempts.accept(other, None), Err(StrayAnswer::MissingId { sent: other }));
    let accepted = attempts.accept(hedge, Some(hedge)).unwrap();
    assert_eq!((accepted.request, accepted.cancelled), ("check", vec![first]));
    assert_eq!(attempts.accept(first, Some(first)), Err(StrayAnswer::Late { sent: first }));
    assert!(attempts.fail(other) && !attempts.fail(other));
    assert!(attempts.is_empty());
}

proptest! {
    #[test]
    fn backoff_is_bounded(retry in any::<u32>(), base in any::<u64>(), ceiling in any::<u64>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let wait = backoff(retry, Millis(base), Millis(ceiling), &mut rng);
        prop_assert!(wait <= Millis(ceiling));
        prop_assert!(retry != 0 || wait <= Millis(base));
    }

    #[test]
    fn a_deadline_shrinks(deadline in any::<u64>(), now in any::<u64>(), round_trip in any::<u64>()) {
        let left = next_hop_timeout(Time(deadline), Time(now), Millis(round_trip));
        let has_time = u128::from(now) + u128::from(round_trip) < u128::from(deadline);
        prop_assert_eq!(left.is_some(), has_time);
        prop_assert!(left.is_none_or(|left| left <= Time(deadline).since(Time(now))));
    }

    #[test]
    fn a_quantile_is_within_an_eighth(
        mut latencies in prop::collection::vec(0_u64..100_000, 1..900),
        share in 1_u32..=1_000,
    ) {
        let mut window = LatencyWindow::default();
        for latency in &latencies {
            window.record(Millis(*latency));
        }
        latencies.sort_unstable();
        let rank = (latencies.len() * share as usize).div_ceil(1_000);
        let exact = latencies[rank - 1];
        let estimate = window.quantile(Permille(share)).unwrap().0;
        prop_assert!(exact <= estimate && estimate <= exact + exact / 8, "{} for {}", estimate, exact);
    }
}
