//! Backend servers that limit the requests that they accept from all entry VMs together. No VM sees what the others
//! send, so each must keep to a part of the limit, and callers must be served elsewhere meanwhile.

mod dispatch_world;

use dispatch_world::{
    fleet::{Fleet, WINDOW},
    id,
};
use rstest::rstest;
use th_protocol::{BackendId, Millis, RequestRate};
use th_steer::dispatch::Rejection;

/// Time for all objects to become warm.
const WARM_UP: Millis = Millis(8_000);
const LIMITED_TIME: Millis = Millis(20_000);
/// Time from the first answer with a limit, from which the limit must be kept.
const SETTLE: Millis = Millis(3_000);

/// The largest number of requests in a window that the users allow for a limit.
fn allowed(limit: RequestRate) -> usize {
    (1.5 * limit.requests() * WINDOW.0 as f64 / 1_000.0 + 5.0) as usize
}

/// Guards against backend servers that are sent more requests than the limit that they state for all VMs together:
/// because the limit is not kept, or because each VM keeps it for itself.
#[rstest]
#[case::one_vm(1, 3.6)]
#[case::two_vms(2, 3.6)]
#[case::small_fleet(7, 4.4)]
#[case::large_limit(7, 10.0)]
#[case::more_vms_than_requests(26, 4.0)]
#[case::many_vms(77, 4.0)]
#[case::small_limit(26, 0.5)]
#[case::no_requests(7, 0.0)]
fn a_server_gets_no_more_requests_than_its_limit(#[case] vms: usize, #[case] limit: f64) {
    let limit = RequestRate::per_second(limit).unwrap();
    let limited: BackendId = id("b-4");
    let mut fleet = Fleet::new(vms, 10);
    fleet.run(WARM_UP, 1.0);
    fleet.limits.insert(limited.clone(), limit);
    fleet.run(LIMITED_TIME, 1.0);
    // A quiet time, and then many requests at once: unused parts of the limit must not add up.
    fleet.run(LIMITED_TIME, 0.05);
    fleet.run(WINDOW, 1.5);
    let from = fleet.first_told(&limited).after(SETTLE);
    let most = fleet.most_arrivals(&limited, from);
    assert!(most <= allowed(limit), "{most} requests in {WINDOW} at a limit of {limit}");
}

/// Guards against a server that gets nothing while it states a limit, and against VMs that do not notice that a limit
/// has ended.
#[rstest]
#[case::small_fleet(7, 4.4)]
#[case::more_vms_than_requests(26, 4.0)]
fn a_limited_server_is_used_within_its_limit_and_fully_afterwards(
    #[case] vms: usize,
    #[case] limit: f64,
) {
    let limited: BackendId = id("b-4");
    let mut fleet = Fleet::new(vms, 10);
    fleet.run(WARM_UP, 1.0);
    fleet.run(WINDOW, 1.0);
    let usual = fleet.sent_since(&limited, fleet.now.before(WINDOW));
    fleet.limits.insert(limited.clone(), RequestRate::per_second(limit).unwrap());
    fleet.run(LIMITED_TIME, 1.0);
    let during = fleet.sent_since(&limited, fleet.now.before(WINDOW)) as f64;
    assert!(limit <= during, "{during} requests in {WINDOW} at a limit of {limit}/s");
    assert!(fleet.rejected.is_empty(), "other servers have free slots: {:?}", fleet.rejected);
    fleet.limits.clear();
    fleet.run(LIMITED_TIME, 1.0);
    let after = fleet.sent_since(&limited, fleet.now.before(WINDOW));
    assert!(usual <= 2 * after, "{after} requests in {WINDOW}, {usual} before the limit");
}

/// Guards against requests that wait for servers whose limits leave them no turn before their deadline.
#[test]
fn requests_beyond_all_limits_are_rejected_before_their_deadline() {
    let limit = RequestRate::per_second(2.0).unwrap();
    let mut fleet = Fleet::new(7, 10);
    fleet.run(WARM_UP, 1.0);
    for server in 0..10 {
        fleet.limits.insert(id(&format!("b-{server}")), limit);
    }
    fleet.run(LIMITED_TIME, 1.0);
    let expired = fleet.rejected.iter().filter(|it| it.0 == Rejection::Expired).count();
    assert_eq!(expired, 0, "of {} rejected", fleet.rejected.len());
    let served = fleet.sent.iter().filter(|it| fleet.now.before(LIMITED_TIME) <= it.0).count();
    let wanted = 10.0 * limit.requests() * LIMITED_TIME.0 as f64 / 1_000.0;
    assert!(wanted / 2.0 <= served as f64, "{served} served of {wanted}");
    assert!(!fleet.rejected.is_empty());
}
