//! Many entry VMs that each see few of a service's requests: each must still know how many objects are in use.

mod dispatch_world;

use std::collections::BTreeSet;

use dispatch_world::{START, World, backend};
use rstest::rstest;
use th_protocol::{BackendId, Millis, Slots};
use th_steer::dispatch::{DispatchSettings, ObjectsInUse};

fn random(state: &mut u64, limit: u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    (*state >> 33) % limit
}

#[rstest]
#[case::half_as_many_requests(430, 200)]
#[case::as_many_requests(430, 430)]
#[case::many_requests(430, 4_000)]
#[case::few_objects(20, 200)]
fn all_objects_in_use_are_counted(#[case] objects: u64, #[case] requests: u64) {
    let (mut seen, mut state) = (ObjectsInUse::default(), 3);
    for _ in 0..requests {
        seen.add(random(&mut state, objects), START);
    }
    seen.update(START);
    let estimate = seen.estimate() as u64;
    // A quarter off would still assign no more objects than servers keep.
    assert!(3 * objects <= 4 * estimate && 4 * estimate <= 5 * objects, "{estimate} of {objects}");
    seen.update(START.after(Millis(1)));
    assert_eq!(seen.estimate(), 0, "objects that are no longer used do not count");
}

/// A data centre whose servers cannot keep all objects warm uses the servers of its region, also if a VM has not yet seen
/// more objects than its own data centre could keep.
#[test]
fn a_small_data_centre_uses_its_region_for_many_objects() {
    let mut world = World::with(DispatchSettings::default(), &[]);
    for zone in ["north-a", "north-b"] {
        for number in 0..20 {
            let mut record = backend(&format!("{zone}-{number}"), zone);
            record.slots = Slots(4);
            world.dispatcher.on_backend(record, START);
        }
    }
    let (mut state, mut seen) = (3, BTreeSet::new());
    let mut used: BTreeSet<BackendId> = BTreeSet::new();
    for round in 0..240 {
        let object = random(&mut state, 480);
        seen.insert(object);
        let backend = world.serve(object, Millis(300));
        if round % 20 == 0 {
            world.dispatcher.tick(world.now);
            world.now = world.now.before(Millis(20 * 300));
        }
        if 200 <= round {
            used.insert(backend);
        }
    }
    let kept = DispatchSettings::default().warm_objects * 20;
    assert!(seen.len() < kept, "{} objects seen, {kept} can be kept", seen.len());
    let others = used.iter().filter(|it| it.as_str().starts_with("north-b")).count();
    assert!(10 <= others && 10 <= used.len() - others, "{others} of {} servers", used.len());
}
