//! Guards against an engine that replaces its bundle with an older or equal version.

use std::sync::Arc;

use rstest::rstest;
use th_protocol::{Bundle, Incarnation, Region, Slots, Time, Version};
use th_steer::{
    engine::{Engine, EngineSettings, Identity},
    ticket::{TicketKey, TicketKeys},
};

fn bundle(version: u64, cap: u32) -> Arc<Bundle> {
    let region = Region { cap: Slots(cap), ..Region::default() };
    let regions = [("north".parse().unwrap(), region)].into();
    Arc::new(Bundle { version: Version(version), regions, ..Bundle::default() })
}

#[rstest]
#[case::older(1, false)]
#[case::equal(2, false)]
#[case::newer(3, true)]
fn only_a_newer_bundle_is_put_in_force(#[case] version: u64, #[case] applied: bool) {
    let address = "10.0.0.9:1".parse().unwrap();
    let me = Identity {
        vm: "e".parse().unwrap(),
        zone: "n".parse().unwrap(),
        incarnation: Incarnation(1),
        callers: address,
        peers: address,
        origin: Time::ZERO,
    };
    let keys = TicketKeys::new(TicketKey([1; 32]), Vec::new());
    let now = Time::ZERO;
    let mut engine: Engine<()> = Engine::new(EngineSettings::default(), me, keys, 1, now);
    assert!(engine.apply(bundle(2, 20), now));
    assert_eq!(engine.apply(bundle(version, 30), now), applied);
    let expected = if applied { bundle(version, 30) } else { bundle(2, 20) };
    assert_eq!(engine.bundle(), Some(&expected));
}
