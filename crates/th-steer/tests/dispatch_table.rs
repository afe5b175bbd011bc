//! The table of backend servers, tested through placement: servers that are added, moved and removed.

mod dispatch_world;

use dispatch_world::{START, World, backend, id, route, table};
use th_protocol::{BackendId, Millis, Time};
use th_steer::dispatch::{AttemptOutcome, BackendRecord, Placement, Rejection, WeightedService};

const WORK: Millis = Millis(50);

/// Guards against state that leaks between servers when a table row is reused: the new server must not inherit running
/// requests or failures of the removed one.
#[test]
fn a_reused_row_keeps_no_state_of_the_removed_server() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let job = world.job(1);
    let attempt = world.send(&job);
    world.dispatcher.on_backend_removed(&id::<BackendId>("b-1"));
    world.dispatcher.on_backend(backend("b-2", "north-a"), world.now);
    // The failed request of the removed server does not count for the new one.
    world.end(&job, &attempt, AttemptOutcome::Unreachable, WORK);
    assert_eq!(world.send(&job).backend, id::<BackendId>("b-2"));
    assert_eq!(world.send(&job).backend, id::<BackendId>("b-2"));
    assert!(world.place(&job).1.is_some(), "two slots, both in use");
}

#[test]
fn a_server_that_changes_service_or_data_centre_is_reindexed() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let mut other = route("hub");
    other.prefix = "/hub/".to_owned();
    other.services = vec![WeightedService { service: id("hub"), weight: 1.0 }];
    assert!(world.dispatcher.on_routes(table(2, vec![route("look"), other.clone()])));
    let moved = BackendRecord { service: id("hub"), ..backend("b-1", "south-a") };
    world.dispatcher.on_backend(moved, Time(START.0 + 1));
    let no_backend = Placement::Reject(Rejection::NoBackend, Millis(1_500));
    let job = world.job(1);
    assert_eq!(world.place(&job).0, no_backend);
    let job = world.job_of(other, 1);
    assert_eq!(world.send(&job).backend, id::<BackendId>("b-1"));
    world.dispatcher.set_evacuated([id("south-a")].into());
    assert_eq!(world.place(&job).0, no_backend);
}

/// Guards against leaked slots: one that was reserved for a caller that has closed its connection must become free
/// again.
#[test]
fn a_released_slot_is_used_again() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let job = world.job(1);
    let (_one, two) = (world.send(&job), world.send(&job));
    assert!(world.place(&job).1.is_some(), "both slots are in use");
    world.dispatcher.release_slot(&two, world.now);
    assert_eq!(world.dispatcher.place_waiting(1, world.now).len(), 1);
}
