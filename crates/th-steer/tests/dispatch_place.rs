//! Placement of requests without tickets: by object, load, distance and server failures.

mod dispatch_world;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_world::{START, World, backend, id, route, table};
use rstest::rstest;
use th_protocol::{BackendId, Millis, Slots, Time};
use th_steer::dispatch::{
    AttemptOutcome, BackendRecord, DispatchSettings, Placement, Rejection, Serving,
};

const WORK: Millis = Millis(300);

const NORTH_SERVERS: &[(&str, &str)] =
    &[("b-1", "north-a"), ("b-2", "north-a"), ("b-3", "north-a"), ("b-4", "north-a")];

/// Guards against cold requests for objects that are requested repeatedly: each request must be sent to the server that
/// has its object warm.
#[test]
fn requests_for_an_object_return_to_its_server() {
    let mut world = World::new(NORTH_SERVERS);
    let mut first: BTreeMap<u64, BackendId> = BTreeMap::new();
    for object in 0..30 {
        first.insert(object, world.serve(object, WORK));
    }
    // In the first round each new server is probed once, and the number of objects is not yet known.
    for _ in 0..3 {
        for object in 0..30 {
            first.insert(object, world.serve(object, WORK));
        }
    }
    for _ in 0..5 {
        for object in 0..30 {
            assert_eq!(world.serve(object, WORK), first[&object], "object {object}");
        }
    }
    let used: BTreeSet<_> = first.values().collect();
    assert_eq!(used.len(), 4, "objects are spread over all servers");
}

/// Guards against overload by one popular object: its server gets no more requests than it has slots, and the others
/// wait or are sent elsewhere.
#[test]
fn slots_are_never_exceeded() {
    let mut world = World::new(NORTH_SERVERS);
    let mut running: BTreeMap<BackendId, u32> = BTreeMap::new();
    for _ in 0..40 {
        let job = world.job(7);
        if let Placement::Send { attempt, .. } = world.place(&job).0 {
            *running.entry(attempt.backend).or_default() += 1;
        }
    }
    for (backend, count) in running {
        assert!(count <= 2, "{backend} holds {count} of 2 slots");
    }
}

#[test]
fn few_objects_move_when_a_server_is_added() {
    let mut world = World::new(NORTH_SERVERS);
    let mut before: BTreeMap<u64, BackendId> = BTreeMap::new();
    for _ in 0..2 {
        for object in 0..40 {
            before.insert(object, world.serve(object, WORK));
        }
    }
    world.dispatcher.on_backend(backend("b-5", "north-a"), world.now);
    let mut moved = 0;
    for object in 0..40 {
        moved += u32::from(world.serve(object, WORK) != before[&object]);
    }
    // A fifth of the objects prefers the new server; the others stay.
    assert!(moved <= 16, "{moved} of 40 objects moved");
}

#[test]
fn a_new_server_gets_requests() {
    let mut world = World::new(NORTH_SERVERS);
    for _ in 0..3 {
        for object in 0..12 {
            world.serve(object, WORK);
        }
    }
    world.dispatcher.on_backend(backend("b-5", "north-a"), world.now);
    let new_server: BackendId = id("b-5");
    let tried = (0..12).find(|it| world.serve(*it, WORK) == new_server);
    let object = tried.expect("one of the objects prefers the new server");
    assert_eq!(world.serve(object, WORK), new_server, "the object stays there");
}

#[rstest]
#[case::draining(BackendRecord { serving: Serving::Draining, ..backend("b-1", "north-a") })]
#[case::other_service(BackendRecord { service: id("hub"), ..backend("b-1", "north-a") })]
fn a_draining_or_reassigned_server_gets_no_requests(#[case] record: BackendRecord) {
    let mut world = World::new(&[("b-1", "north-a")]);
    world.serve(1, WORK);
    world.dispatcher.on_backend(record, world.now);
    let job = world.job(1);
    let (placement, _) = world.place(&job);
    assert!(matches!(placement, Placement::Reject(Rejection::NoBackend, _)), "{placement:?}");
}

#[test]
fn an_evacuated_data_centre_gets_no_requests_until_restored() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "south-a")]);
    world.serve(1, WORK);
    world.dispatcher.set_evacuated(BTreeSet::from([id("north-a")]));
    for object in 0..5 {
        assert_eq!(world.serve(object, WORK), id::<BackendId>("b-2"));
    }
    world.dispatcher.set_evacuated(BTreeSet::new());
    assert_eq!(world.serve(1, WORK), id::<BackendId>("b-1"));
}

#[test]
fn requests_stay_in_the_home_regions_of_their_route() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "south-a")]);
    let mut with_homes = route("look");
    with_homes.home_regions.insert(id("south"));
    for object in 0..10 {
        let job = world.job_of(with_homes.clone(), object);
        let attempt = world.send(&job);
        assert_eq!(attempt.backend, id::<BackendId>("b-2"));
        world.end(&job, &attempt, AttemptOutcome::Answered, WORK);
    }
}

#[test]
fn an_unreachable_server_is_ejected_and_probed_again() {
    let mut world = World::new(NORTH_SERVERS);
    for object in 0..20 {
        world.serve(object, WORK);
    }
    let job = world.job(3);
    let attempt = world.send(&job);
    world.end(&job, &attempt, AttemptOutcome::Unreachable, Millis(1));
    let bad = attempt.backend;
    for object in 0..20 {
        assert_ne!(world.serve(object, Millis(10)), bad);
    }
    world.now = world.now.after(Millis(5_000));
    let mut seen = BTreeSet::new();
    for object in 0..20 {
        seen.insert(world.serve(object, Millis(10)));
    }
    assert!(seen.contains(&bad), "{bad} is not probed again");
}

#[test]
fn with_all_servers_ejected_one_is_used() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let job = world.job(1);
    let attempt = world.send(&job);
    world.end(&job, &attempt, AttemptOutcome::Unreachable, Millis(1));
    let job = world.job(2);
    assert!(matches!(world.place(&job).0, Placement::Send { .. }));
}

/// Guards against priority inversion under overload: waiting requests must be served by rank.
#[test]
fn the_higher_rank_gets_the_free_slot() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let mut held = Vec::new();
    for object in 0..2 {
        let job = world.job(object);
        held.push((job.clone(), world.send(&job)));
    }
    let low = world.job(5);
    let (_, low) = world.place(&low);
    let mut urgent = route("call");
    urgent.rank = 0;
    let high = world.job_of(urgent, 6);
    let (_, high) = world.place(&high);
    assert!(low.is_some() && high.is_some(), "both wait");
    let (job, attempt) = held.pop().unwrap();
    world.end(&job, &attempt, AttemptOutcome::Answered, WORK);
    let placed = world.dispatcher.place_waiting(usize::MAX, world.now);
    assert_eq!(placed.len(), 1);
    assert_eq!(Some(placed[0].0), high);
}

#[test]
fn a_waiting_request_is_rejected_at_its_deadline() {
    let mut world = World::new(&[("b-1", "north-a")]);
    for object in 0..2 {
        let job = world.job(object);
        world.send(&job);
    }
    let job = world.job(3);
    let (_, waiter) = world.place(&job);
    let placed = world.dispatcher.place_waiting(usize::MAX, job.deadline);
    assert_eq!(placed.len(), 1);
    assert_eq!(Some(placed[0].0), waiter);
    assert!(matches!(placed[0].1, Placement::Reject(Rejection::Expired, _)));
}

#[test]
fn a_request_that_would_be_late_is_rejected_at_once() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let mut rejected = None;
    for object in 0..60 {
        let job = world.job(object);
        if let Placement::Reject(Rejection::TooLate, backoff) = world.place(&job).0 {
            rejected = Some(backoff);
            break;
        }
    }
    let settings = DispatchSettings::default();
    let backoff = rejected.expect("60 requests for 2 slots cannot all finish within 1.5 s");
    assert!(
        settings.backoff_min <= backoff && backoff <= settings.backoff_max,
        "retry after {backoff}"
    );
}

/// Guards against overload of a server that has just started: all VMs together must stay below its rate.
#[test]
fn a_cold_server_receives_at_most_its_rate() {
    let mut world = World::new(&[]);
    for index in 2..=4 {
        let name = format!("entry-{index}");
        world.dispatcher.on_entry(dispatch_world::entry(&name, "north-b", index));
    }
    let cold =
        BackendRecord { cold: Millis(60_000), slots: Slots(100), ..backend("b-1", "north-a") };
    world.dispatcher.on_backend(cold, world.now);
    let mut sent = 0;
    for step in 0..1_000 {
        world.now = START.after(Millis(step * 10));
        let job = world.job(step);
        if let Placement::Send { .. } = world.place(&job).0 {
            sent += 1;
        }
        world.dispatcher.place_waiting(usize::MAX, world.now);
    }
    // 10 s at 4 requests a second shared by four VMs, plus the initial token. Requests placed after a wait use the same
    // tokens.
    assert!(sent <= 11, "{sent} requests were sent");
}

#[test]
fn a_restart_under_the_same_id_clears_the_warm_set() {
    let mut world = World::new(&[("b-1", "north-a")]);
    world.serve(1, WORK);
    let job = world.job(1);
    let attempt = world.send(&job);
    assert!(attempt.warm);
    world.end(&job, &attempt, AttemptOutcome::Answered, WORK);
    let again = BackendRecord { started: Some(2), ..backend("b-1", "north-a") };
    world.dispatcher.on_backend(again, world.now);
    let job = world.job(1);
    assert!(!world.send(&job).warm);
}

#[test]
fn a_hedge_uses_another_server_within_the_attempt_limit() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "north-a")]);
    let mut job = world.job(1);
    let first = world.send(&job);
    job.tried.push(first.backend.clone());
    let (second, _) = world.dispatcher.place_hedge(&job, world.now).unwrap();
    assert_ne!(second.backend, first.backend);
    job.tried.push(second.backend);
    assert!(
        world.dispatcher.place_hedge(&job, world.now).is_none(),
        "the route allows two attempts"
    );
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut world = World::new(NORTH_SERVERS);
    assert!(world.dispatcher.on_routes(table(5, vec![route("look")])));
    assert!(!world.dispatcher.on_routes(table(4, vec![])));
    assert!(!world.dispatcher.on_routes(table(5, vec![])));
    assert_eq!(world.dispatcher.routes().unwrap().version().0, 5);
}

#[test]
fn the_longest_prefix_wins() {
    let mut narrow = route("narrow");
    narrow.prefix = "/look/deep/".to_owned();
    let table = table(1, vec![route("wide"), narrow]);
    let name = |path: &str| table.find("desk.example", path).map(|it| it.name.clone());
    assert_eq!(name("/look/deep/x"), Some("narrow".to_owned()));
    assert_eq!(name("/look/x"), Some("wide".to_owned()));
    assert_eq!(name("/look"), None);
    assert!(table.find("other.example", "/look/x").is_none());
}

/// Guards against sending queued requests that are too close to their deadline: one that the server would only abort
/// must be rejected before it runs, so that its caller can retry it.
#[test]
fn a_request_without_time_for_its_work_is_rejected() {
    let mut world = World::new(&[("b-1", "north-a")]);
    let mut held = Vec::new();
    for object in 0..2 {
        let job = world.job(object);
        held.push((job.clone(), world.send(&job)));
    }
    let job = world.job(3);
    let (_, waiter) = world.place(&job);
    assert!(waiter.is_some());
    let (first, attempt) = held.pop().unwrap();
    world.now = job.deadline.before(Millis(101));
    world.end(&first, &attempt, AttemptOutcome::Answered, Millis(1));
    let placed = world.dispatcher.place_waiting(usize::MAX, world.now);
    assert!(matches!(placed[0].1, Placement::Reject(Rejection::TooLate, _)), "{placed:?}");
}

#[test]
fn nothing_waits_while_slots_are_free() {
    let mut world = World::new(&[("b-1", "north-a")]);
    assert!(world.dispatcher.place_waiting(usize::MAX, Time(0)).is_empty());
    let job = world.job(1);
    world.send(&job);
    assert_eq!(world.dispatcher.waiting(), 0);
}
