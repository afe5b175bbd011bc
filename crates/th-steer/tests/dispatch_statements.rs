//! What backend servers state in their answers: that they leave, or want no requests for a while.

mod dispatch_world;

use dispatch_world::{World, backend, id};
use rstest::rstest;
use th_protocol::{BackendId, Millis};
use th_steer::dispatch::{AttemptOutcome, BackendRecord, Placement, Rejection, Serving};

const PAUSE: Millis = Millis(2_500);

fn place(world: &mut World) -> Placement {
    let job = world.job(7);
    world.place(&job).0
}

/// The servers that get requests for many objects.
fn used(world: &mut World) -> Vec<BackendId> {
    let mut used = Vec::new();
    for object in 0..40 {
        used.push(world.serve(object, Millis(20)));
    }
    used.sort();
    used.dedup();
    used
}

/// Guards against requests to a server that said that it leaves: new ones, and as a last resort.
#[test]
fn a_leaving_server_gets_no_requests() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "north-a")]);
    assert_eq!(used(&mut world).len(), 2);
    assert!(world.dispatcher.on_leaving(&id("b-1")));
    assert!(!world.dispatcher.on_leaving(&id("b-1")), "it is no news");
    assert_eq!(used(&mut world), [id("b-2")]);
    world.dispatcher.on_leaving(&id("b-2"));
    assert!(matches!(place(&mut world), Placement::Reject(Rejection::NoBackend, _)));
}

/// Guards against a server that is used again because its entry is written again, or vanishes and comes back.
#[rstest]
#[case::written_again(false, 1, false)]
#[case::back(true, 1, false)]
#[case::started_anew(false, 2, true)]
#[case::back_and_started_anew(true, 2, true)]
fn only_a_new_start_ends_the_leaving(
    #[case] vanishes: bool,
    #[case] started: u64,
    #[case] is_used: bool,
) {
    let mut world = World::new(&[("b-1", "north-a")]);
    world.dispatcher.on_leaving(&id("b-1"));
    if vanishes {
        world.dispatcher.on_backend_removed(&id("b-1"));
        world.dispatcher.tick(world.now);
        world.now = world.now.after(Millis(30_000));
        world.dispatcher.tick(world.now);
    }
    for serving in [Serving::Draining, Serving::Ready] {
        let record = BackendRecord { serving, started: Some(started), ..backend("b-1", "north-a") };
        world.dispatcher.on_backend(record, world.now);
    }
    assert_eq!(matches!(place(&mut world), Placement::Send { .. }), is_used);
}

/// Guards against a request that waits for a server which leaves meanwhile.
#[test]
fn a_waiting_request_does_not_get_a_leaving_server() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let jobs = [world.job(1), world.job(2), world.job(3)];
    let attempts = [world.send(&jobs[0]), world.send(&jobs[1])];
    let (placement, waiter) = world.place(&jobs[2]);
    assert_eq!(placement, Placement::Wait);
    world.dispatcher.on_leaving(&id("b-1"));
    world.end(&jobs[0], &attempts[0], AttemptOutcome::Answered, Millis(20));
    let placed = world.dispatcher.place_waiting(usize::MAX, world.now);
    assert!(
        matches!(placed[..], [(number, Placement::Reject(Rejection::NoBackend, _))] if Some(number) == waiter),
        "{placed:?}"
    );
}

/// Guards against requests to a server during the pause that it asked for, and against all of them at its end.
#[test]
fn a_pausing_server_gets_one_request_at_the_end_of_its_pause() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "north-a")]);
    world.dispatcher.on_rest(&id("b-1"), PAUSE, world.now);
    assert_eq!(used(&mut world), [id("b-2")]);
    world.dispatcher.on_leaving(&id("b-2"));
    let (rest, expected) = (world.now.since(dispatch_world::START), Millis(2_500));
    match place(&mut world) {
        Placement::Reject(Rejection::NoBackend, back) => assert_eq!(back, expected - rest),
        other => panic!("{other:?}"),
    }
    world.now = dispatch_world::START.after(PAUSE);
    let first = world.job(1);
    let attempt = world.send(&first);
    assert!(matches!(place(&mut world), Placement::Reject(Rejection::NoBackend, _)));
    world.end(&first, &attempt, AttemptOutcome::Answered, Millis(20));
    assert!(matches!(place(&mut world), Placement::Send { .. }));
    assert!(matches!(place(&mut world), Placement::Send { .. }));
}

/// Guards against a pause that counts as a failure, after which the server would be avoided.
#[test]
fn a_pause_is_no_failure() {
    let mut world = World::new(&[("b-1", "north-a")]);
    for _ in 0..10 {
        let job = world.job(1);
        let attempt = world.send(&job);
        world.dispatcher.on_rest(&id("b-1"), Millis(100), world.now);
        world.end(&job, &attempt, AttemptOutcome::Paused, Millis(1));
        assert!(matches!(place(&mut world), Placement::Reject(Rejection::NoBackend, _)));
        world.now = world.now.after(Millis(100));
    }
    assert_eq!(world.serve(1, Millis(20)), id("b-1"));
}

/// Guards against a server that is never used again because it named an absurd pause.
#[test]
fn a_pause_has_a_limit() {
    let mut world = World::new(&[("b-1", "north-a")]);
    world.dispatcher.on_rest(&id("b-1"), Millis(u64::MAX), world.now);
    assert!(matches!(place(&mut world), Placement::Reject(..)));
    world.now = world.now.after(Millis(60_000));
    assert!(matches!(place(&mut world), Placement::Send { .. }));
}
