//! Who waits for a slot and who gets it, under loads that slots cannot serve in time.

mod dispatch_world;

use std::collections::BTreeMap;

use dispatch_world::{World, backend, route};
use th_protocol::{Millis, Time};
use th_steer::dispatch::{Attempt, AttemptOutcome, Job, Placement, Rejection, Route};

/// The one server of the tests has two slots, so it serves 20 of these requests a second.
const WORK: Millis = Millis(100);
const SERVED_A_SECOND: u64 = 20;
const OBJECT: u64 = 7;
const STEP: Millis = Millis(5);

/// A request that must be answered within 250 ms and is given up after 2 s.
fn quick_route() -> Route {
    Route { objective: Millis(250), timeout: Millis(2_000), attempts: 1, ..route("look") }
}

/// A world with one server that has the object warm, and takes [`WORK`] for a request.
fn warm_world() -> World {
    let mut world = World::new(&[("b-1", "north-a")]);
    for _ in 0..30 {
        let job = world.job_of(quick_route(), OBJECT);
        let attempt = world.send(&job);
        world.end(&job, &attempt, AttemptOutcome::Answered, WORK);
    }
    world
}

/// Counts of the answers of a run.
#[derive(Debug, Default)]
struct Answers {
    in_time: u64,
    late: u64,
}

/// Sends `rate` requests a second for a while, with the routes in turn, and runs what gets a slot. Returns the answers by
/// route.
fn run(world: &mut World, routes: &[Route], rate: u64, time: Millis) -> BTreeMap<String, Answers> {
    let mut answers: BTreeMap<String, Answers> = BTreeMap::new();
    let mut waiting: BTreeMap<u64, Job> = BTreeMap::new();
    let mut runs: Vec<(Time, Job, Attempt)> = Vec::new();
    let (start, end) = (world.now, world.now.after(time));
    let mut sent = 0;
    while world.now < end || !runs.is_empty() || !waiting.is_empty() {
        world.now = world.now.after(STEP);
        let (due, left) = runs.into_iter().partition(|it| it.0 <= world.now);
        runs = left;
        let due: Vec<_> = due;
        for (_, job, attempt) in due {
            world.dispatcher.on_attempt_end(&job, &attempt, AttemptOutcome::Answered, world.now);
            let counts = answers.entry(job.route.name.clone()).or_default();
            if world.now <= job.objective_deadline() {
                counts.in_time += 1;
            } else {
                counts.late += 1;
            }
        }
        for (number, placement) in world.dispatcher.place_waiting(usize::MAX, world.now) {
            let job = waiting.remove(&number).unwrap();
            if let Placement::Send { attempt, .. } = placement {
                runs.push((world.now.after(WORK), job, attempt));
            }
        }
        while world.now < end && sent * 1_000 < rate * world.now.since(start).0 {
            let job = world.job_of(routes[sent as usize % routes.len()].clone(), OBJECT);
            sent += 1;
            match world.place(&job) {
                (Placement::Send { attempt, .. }, _) => {
                    runs.push((world.now.after(WORK), job, attempt));
                }
                (_, Some(number)) => {
                    waiting.insert(number, job);
                }
                (_, None) => {}
            }
        }
    }
    answers
}

/// Handles a burst of 1.7 times what the slots can serve: the slots must go to requests that are answered in time, as
/// long as there are any.
#[test]
fn a_burst_leaves_the_slots_to_requests_that_can_be_in_time() {
    let mut world = warm_world();
    let time = Millis(3_000);
    let rate = SERVED_A_SECOND * 17 / 10;
    let answers = run(&mut world, &[quick_route()], rate, time);
    let answers = &answers["look"];
    let possible = SERVED_A_SECOND * time.0 / 1_000;
    assert!(possible * 9 / 10 <= answers.in_time, "{answers:?} of {possible} that can be in time");
}

/// Handles a kind of request at 2.4 times its usual rate, beside a more urgent one that alone would fit: the urgent one
/// must be served in time.
#[test]
fn an_urgent_kind_stays_in_time_beside_a_kind_that_is_asked_for_too_often() {
    let mut world = warm_world();
    let urgent = Route { rank: 0, name: "book".to_owned(), ..quick_route() };
    let usual = quick_route();
    let routes = [urgent, usual.clone(), usual.clone(), usual];
    let time = Millis(3_000);
    let rate = SERVED_A_SECOND * 24 / 10;
    let answers = run(&mut world, &routes, rate, time);
    let urgent = &answers["book"];
    let asked = rate * time.0 / 1_000 / routes.len() as u64;
    assert!(asked * 9 / 10 <= urgent.in_time, "{answers:?} of {asked} urgent ones");
    assert!(answers["look"].in_time >= SERVED_A_SECOND * 3 / 10, "{answers:?}");
}

/// Handles a queue in which the oldest request can no longer be in time although its objective has not ended.
#[test]
fn a_request_whose_work_no_longer_fits_gives_way() {
    let mut world = warm_world();
    let blocking = [world.job_of(quick_route(), OBJECT), world.job_of(quick_route(), OBJECT)];
    let running = blocking.each_ref().map(|it| world.send(it));
    let old = world.job_of(quick_route(), OBJECT);
    let (_, old) = world.place(&old);
    world.now = world.now.after(Millis(180));
    let new = world.job_of(quick_route(), OBJECT);
    let (_, new) = world.place(&new);
    world.end(&blocking[0], &running[0], AttemptOutcome::Answered, Millis(10));
    let placed = world.dispatcher.place_waiting(usize::MAX, world.now);
    let first = placed.first().map(|it| it.0);
    assert_eq!(first, new, "the older request {old:?} cannot be in time any more");
}

/// Handles servers that turn away requests at random: callers must be able to come back while they can still be in time.
#[test]
fn callers_come_back_at_once_while_slots_are_free() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "north-a")]);
    let mut job = world.job_of(quick_route(), OBJECT);
    let attempt = world.send(&job);
    world.end(&job, &attempt, AttemptOutcome::Shed, Millis(2));
    job.tried.push(attempt.backend);
    let comeback = world.dispatcher.comeback(&job, world.now);
    let left = job.objective_deadline().since(world.now.after(comeback));
    assert!(WORK.plus(WORK) <= left, "{comeback} leaves {left} of the objective");
}

/// Handles servers that are full: callers who came back at once would only be turned away again.
#[test]
fn callers_stay_away_while_all_slots_are_taken() {
    let mut world = warm_world();
    for _ in 0..2 {
        let job = world.job_of(quick_route(), OBJECT);
        world.send(&job);
    }
    world.dispatcher.on_backend(backend("b-far", "south-a"), world.now);
    let job = world.job_of(quick_route(), OBJECT);
    let comeback = world.dispatcher.comeback(&job, world.now);
    let half = Millis(WORK.0 / 2);
    assert!(half <= comeback, "{comeback} is before the first slot is free");
}

/// A planned stop while more requests wait than can be served before it ends.
///
/// Guards against requests that wait until the stop ends and get no answer: those that can't be served are rejected at once,
/// and the others are served.
#[test]
fn a_stop_rejects_at_once_what_it_cannot_finish() {
    const WAITING: u64 = 60;
    const STOP: Millis = Millis(1_000);
    let mut world = warm_world();
    let route = Route { timeout: Millis(60_000), objective: Millis(10_000), ..quick_route() };
    let mut waiting: BTreeMap<u64, Job> = BTreeMap::new();
    let mut runs: Vec<(Time, Job, Attempt)> = Vec::new();
    for _ in 0..WAITING {
        let job = world.job_of(route.clone(), OBJECT);
        match world.place(&job) {
            (Placement::Send { attempt, .. }, _) => {
                runs.push((world.now.after(WORK), job, attempt))
            }
            (placement, number) => {
                assert_eq!(placement, Placement::Wait);
                waiting.insert(number.unwrap(), job);
            }
        }
    }
    let (start, end) = (world.now, world.now.after(STOP));
    world.dispatcher.close_by(end);
    let (mut served, mut rejected) = (0, 0);
    while world.now < end {
        for (number, placement) in world.dispatcher.place_waiting(usize::MAX, world.now) {
            let job = waiting.remove(&number).unwrap();
            match placement {
                Placement::Send { attempt, .. } => {
                    runs.push((world.now.after(WORK), job, attempt));
                }
                Placement::Reject(rejection, retry_after) => {
                    assert_eq!((rejection, retry_after), (Rejection::Stopping, Millis(150)));
                    rejected += 1;
                    // Another VM can still serve it in time.
                    let after = world.now.since(start);
                    let at_once = after == Millis::ZERO;
                    assert!(
                        at_once || rejected > WAITING / 2,
                        "rejection {rejected} after {after}"
                    );
                }
                Placement::Wait => unreachable!("it is in the queue"),
            }
        }
        world.now = world.now.after(STEP);
        let (due, left): (Vec<_>, Vec<_>) = runs.into_iter().partition(|it| it.0 <= world.now);
        runs = left;
        for (_, job, attempt) in due {
            world.dispatcher.on_attempt_end(&job, &attempt, AttemptOutcome::Answered, world.now);
            served += 1;
        }
    }
    assert!(waiting.is_empty() && runs.is_empty(), "{} wait, {} run", waiting.len(), runs.len());
    assert_eq!(served + rejected, WAITING);
    assert!(SERVED_A_SECOND * 8 / 10 <= served, "served {served}, rejected {rejected}");
    let late = world.job_of(route, OBJECT);
    assert!(matches!(world.place(&late).0, Placement::Reject(Rejection::Stopping, _)));
}

/// A request that another VM passed on, at servers whose slots stay taken for longer than it may wait.
///
/// Guards against a wait until the deadline, which the VM that passed it on may not live to see.
#[test]
fn a_passed_on_request_waits_for_a_bounded_time() {
    const MAX_WAIT: Millis = Millis(500);
    let mut world = warm_world();
    let route = Route { timeout: Millis(60_000), objective: Millis(10_000), ..quick_route() };
    for _ in 0..2 {
        let job = world.job_of(route.clone(), OBJECT);
        world.send(&job);
    }
    let limited = |world: &World| {
        let start_by = Some(world.now.after(MAX_WAIT));
        Job { start_by, ..world.job_of(route.clone(), OBJECT) }
    };
    let patient = world.job_of(route.clone(), OBJECT);
    let job = limited(&world);
    let (placement, number) = world.place(&job);
    assert_eq!(placement, Placement::Wait);
    assert_eq!(world.place(&patient).0, Placement::Wait);
    let end = world.now.after(MAX_WAIT);
    let mut rejected = Vec::new();
    while world.now <= end {
        rejected.extend(world.dispatcher.place_waiting(usize::MAX, world.now));
        world.now = world.now.after(STEP);
    }
    assert!(
        matches!(rejected[..], [(it, Placement::Reject(Rejection::LongWait, _))] if Some(it) == number),
        "{rejected:?}"
    );
    // Requests that must wait longer than that are rejected as they come.
    for _ in 0..SERVED_A_SECOND {
        world.place(&patient);
    }
    let late = limited(&world);
    assert!(matches!(world.place(&late).0, Placement::Reject(Rejection::LongWait, _)));
}
