//! Slot limits of one entry VM: region, service and backend server.

use rstest::rstest;
use th_protocol::{AttemptId, Reason};
use th_steer::limit::{SlotLimit, Slots};

#[rstest]
#[case::region(SlotLimit { region: 2, service: 9, backend: 9 }, Reason::RegionCap)]
#[case::service(SlotLimit { region: 9, service: 2, backend: 9 }, Reason::RegionCap)]
#[case::backend(SlotLimit { region: 9, service: 9, backend: 2 }, Reason::NoSlot)]
fn each_limit_rejects_the_next_attempt_once_reached(
    #[case] limit: SlotLimit,
    #[case] reason: Reason,
) {
    let mut slots = Slots::default();
    let mut acquire = |number| {
        let (service, region) = ("desk".parse().unwrap(), "north".parse().unwrap());
        let backend = "b-1".parse().unwrap();
        slots.acquire(AttemptId(number), &service, &region, &backend, limit)
    };
    acquire(1).unwrap();
    acquire(2).unwrap();
    assert_eq!(acquire(3).unwrap_err().reason, reason);
}
