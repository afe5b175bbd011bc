//! Backend servers that turn slow without failing. Callers must not be sent to the same slow server for long, and its
//! objects must move away and back without a wave of cold requests.

mod dispatch_world;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_world::{START, World, backend, route};
use rstest::rstest;
use th_protocol::{BackendId, Millis, Slots, Time};
use th_steer::dispatch::{Attempt, AttemptOutcome, DispatchSettings, Job, Placement};

const SERVERS: u64 = 20;
const SLOW_SERVERS: u64 = 4;
const OBJECTS: u64 = 120;
/// Shares of the route's latency objective, 600 ms, as on the users' sheets.
const WARM_WORK: u64 = 290;
const COLD_WORK: u64 = 960;
/// One request each; a load that the servers that are not slow can just carry.
const STEP: Millis = Millis(10);
/// Time for all objects to become warm.
const WARM_UP: Millis = Millis(20_000);
const SLOW_TIME: Millis = Millis(10_000);
/// Time within which slow servers must be found, and used again after they have recovered.
const REACTION: Millis = Millis(4_000);

/// A request at its server.
struct Run {
    end: Time,
    job: Job,
    attempt: Attempt,
}

/// An entry VM and servers that run its requests.
struct Simulation {
    world: World,
    runs: Vec<Run>,
    /// Requests that wait at the entry VM.
    waiting: BTreeMap<u64, Job>,
    warm: BTreeSet<(BackendId, u64)>,
    random_state: u64,
    idempotent: bool,
    /// Factor on the work of the slow servers.
    slowdown: u64,
    sent: u64,
    sent_to_slow: u64,
    cold: u64,
}

fn is_slow(backend: &BackendId) -> bool {
    let number: u64 = backend.as_str().trim_start_matches("b-").parse().unwrap();
    number < SLOW_SERVERS
}

impl Simulation {
    fn new(idempotent: bool) -> Simulation {
        let mut world = World::with(DispatchSettings::default(), &[]);
        for number in 0..SERVERS {
            let mut record = backend(&format!("b-{number}"), "north-a");
            record.slots = Slots(2);
            world.dispatcher.on_backend(record, START);
        }
        Simulation {
            world,
            runs: Vec::new(),
            waiting: BTreeMap::new(),
            warm: BTreeSet::new(),
            random_state: 11,
            idempotent,
            slowdown: 1,
            sent: 0,
            sent_to_slow: 0,
            cold: 0,
        }
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random_state >> 33) % limit
    }

    fn start(&mut self, job: Job, placement: Placement) {
        let Placement::Send { attempt, .. } = placement else {
            return;
        };
        let slow = is_slow(&attempt.backend);
        let is_cold = self.warm.insert((attempt.backend.clone(), job.object.unwrap()));
        self.sent += 1;
        self.sent_to_slow += u64::from(slow);
        self.cold += u64::from(is_cold);
        let work = if is_cold { COLD_WORK } else { WARM_WORK };
        let work = work * if slow { self.slowdown } else { 1 } * (90 + self.random_below(21)) / 100;
        // A server gives up at the deadline.
        let end = self.world.now.after(Millis(work)).min(job.deadline);
        self.runs.push(Run { end, job, attempt });
    }

    fn end_due_runs(&mut self) {
        let now = self.world.now;
        for index in (0..self.runs.len()).rev() {
            if now < self.runs[index].end {
                continue;
            }
            let run = self.runs.swap_remove(index);
            let timed_out = run.job.deadline <= run.end;
            let outcome = if timed_out { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
            self.world.end(&run.job, &run.attempt, outcome, Millis::ZERO);
        }
    }

    /// Sends requests for a while, and restarts the counts.
    fn run(&mut self, time: Millis) {
        (self.sent, self.sent_to_slow, self.cold) = (0, 0, 0);
        let end = self.world.now.after(time);
        while self.world.now < end {
            self.world.now = self.world.now.after(STEP);
            self.end_due_runs();
            for (number, placement) in
                self.world.dispatcher.place_waiting(usize::MAX, self.world.now)
            {
                let job = self.waiting.remove(&number).unwrap();
                self.start(job, placement);
            }
            let mut route = route("look");
            route.idempotent = self.idempotent;
            let object = self.random_below(OBJECTS);
            let job = self.world.job_of(route, object);
            let (placement, waiter) = self.world.place(&job);
            if let Some(number) = waiter {
                self.waiting.insert(number, job);
                continue;
            }
            self.start(job, placement);
        }
    }
}

#[rstest]
#[case::repeatable(true, 10)]
#[case::once_only(false, 10)]
#[case::half_as_slow(true, 5)]
fn slow_servers_lose_their_requests_and_get_them_back(
    #[case] idempotent: bool,
    #[case] slowdown: u64,
) {
    let mut simulation = Simulation::new(idempotent);
    simulation.run(WARM_UP);
    simulation.run(REACTION);
    let usual = simulation.sent_to_slow * 100 / simulation.sent;
    assert!(10 <= usual, "the servers carry {usual}% when they are fast");
    simulation.slowdown = slowdown;
    simulation.run(REACTION);
    simulation.run(SLOW_TIME.minus(REACTION));
    // One probe of each server at a time, each after a pause of at least the shortest ejection.
    let settings = DispatchSettings::default();
    let probe = settings.base_ejection.0 + slowdown.min(5) * WARM_WORK * 9 / 10;
    let most = SLOW_SERVERS * SLOW_TIME.minus(REACTION).0.div_ceil(probe);
    let probes = simulation.sent_to_slow;
    assert!(probes <= most, "{probes} requests of {} went to slow servers", simulation.sent);
    simulation.slowdown = 1;
    simulation.run(REACTION);
    simulation.run(REACTION);
    let (back, cold) = (simulation.sent_to_slow * 100 / simulation.sent, simulation.cold);
    assert!(usual / 2 <= back, "the servers carry {back}% after they have recovered");
    assert!(cold * 20 <= simulation.sent, "{cold} cold requests of {}", simulation.sent);
}

/// A hedged attempt hides a slow server from the callers. It must not hide it from the entry VM.
#[test]
fn a_server_that_hedged_attempts_overtake_is_avoided() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "north-a"), ("b-3", "north-a")]);
    let usual = world.serve(7, Millis(200));
    for outcome in [AttemptOutcome::Abandoned, AttemptOutcome::Overtaken] {
        for _ in 0..2 {
            let job = world.job(7);
            let attempt = world.send(&job);
            assert_eq!(attempt.backend, usual, "before {outcome:?}");
            world.end(&job, &attempt, outcome, Millis(420));
        }
    }
    assert_ne!(world.serve(7, Millis(200)), usual);
}

/// If most servers drag, as in an overload, the others could not take over their load.
#[test]
fn servers_stay_in_use_if_most_of_them_drag() {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "north-a"), ("b-3", "north-a")]);
    let mut used = BTreeSet::new();
    for object in 0..60 {
        let job = world.job(object);
        let attempt = world.send(&job);
        world.end(&job, &attempt, AttemptOutcome::Answered, Millis(1_450));
        used.insert(attempt.backend);
    }
    used.clear();
    for object in 0..60 {
        let job = world.job(object);
        let attempt = world.send(&job);
        world.end(&job, &attempt, AttemptOutcome::Answered, Millis(1_450));
        used.insert(attempt.backend);
    }
    assert_eq!(used.len(), 3);
}
