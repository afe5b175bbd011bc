//! Backend servers that limit the requests that they accept from all entry VMs together. No VM sees what the others
//! send, so each must keep to a part of the limit, and callers must be served elsewhere meanwhile.

mod dispatch_world;

use std::collections::BTreeMap;

use dispatch_world::{START, backend, entry, id, route, table, topology};
use rstest::rstest;
use th_protocol::{BackendId, Millis, RequestRate, Slots, Time};
use th_steer::dispatch::{
    Attempt, AttemptOutcome, BackendRecord, DispatchSettings, Dispatcher, Job, Placement, Rejection,
};

/// Time between two steps of the simulation.
const STEP: Millis = Millis(10);
const WARM_WORK: Millis = Millis(100);
const COLD_WORK: Millis = Millis(300);
const SLOTS: Slots = Slots(4);
/// Objects for each server, fewer than it keeps warm.
const OBJECTS: u64 = 6;
/// Requests a second for each server; about half of what it can run.
const DEMAND: f64 = 12.0;
/// Time for all objects to become warm.
const WARM_UP: Millis = Millis(8_000);
const LIMITED_TIME: Millis = Millis(20_000);
/// Time from the first answer with a limit, from which the limit must be kept.
const SETTLE: Millis = Millis(3_000);
/// Time from a VM's first answer with a limit, from which its requests count.
const NOTICE: Millis = Millis(500);
/// The window over which requests are counted.
const WINDOW: Millis = Millis(4_000);

/// The largest number of requests in a window that the users allow for a limit.
fn allowed(limit: RequestRate) -> usize {
    (1.5 * limit.requests() * WINDOW.0 as f64 / 1_000.0 + 5.0) as usize
}

/// A request at its server.
struct Run {
    end: Time,
    vm: usize,
    job: Job,
    attempt: Attempt,
}

/// A request that reached a limited server.
struct Arrival {
    at: Time,
    vm: usize,
    backend: BackendId,
}

/// Entry VMs that share backend servers without talking.
struct Fleet {
    vms: Vec<Dispatcher>,
    servers: u64,
    now: Time,
    runs: Vec<Run>,
    waiting: BTreeMap<(usize, u64), Job>,
    warm: BTreeMap<(BackendId, u64), ()>,
    /// Limits that servers state with their answers.
    limits: BTreeMap<BackendId, RequestRate>,
    /// When each VM first got an answer with a limit, by server.
    told: BTreeMap<(usize, BackendId), Time>,
    arrivals: Vec<Arrival>,
    sent: Vec<(Time, BackendId)>,
    /// Time that each rejected request had waited.
    rejected: Vec<(Rejection, Millis)>,
    served: u64,
    random_state: u64,
}

impl Fleet {
    /// VMs and servers are spread over the data centres of the north in turn.
    fn new(vms: usize, servers: u64) -> Fleet {
        let zones = ["north-a", "north-b"];
        let mut dispatchers = Vec::new();
        for own in 0..vms {
            let settings = DispatchSettings::default();
            let (vm, zone) = (id(&format!("entry-{own}")), id(zones[own % 2]));
            let mut dispatcher = Dispatcher::new(settings, vm, zone, topology());
            for other in 0..vms {
                let name = format!("entry-{other}");
                dispatcher.on_entry(entry(&name, zones[other % 2], other as u16 + 1));
            }
            assert!(dispatcher.on_routes(table(1, vec![route("look")])));
            for server in 0..servers {
                let name = format!("b-{server}");
                let record =
                    BackendRecord { slots: SLOTS, ..backend(&name, zones[server as usize % 2]) };
                dispatcher.on_backend(record, START);
            }
            dispatchers.push(dispatcher);
        }
        Fleet {
            vms: dispatchers,
            servers,
            now: START,
            runs: Vec::new(),
            waiting: BTreeMap::new(),
            warm: BTreeMap::new(),
            limits: BTreeMap::new(),
            told: BTreeMap::new(),
            arrivals: Vec::new(),
            sent: Vec::new(),
            rejected: Vec::new(),
            served: 0,
            random_state: 11,
        }
    }

    fn random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random_state >> 33) as f64 / f64::from(1u32 << 31)
    }

    fn apply(&mut self, vm: usize, job: Job, placement: Placement) {
        let attempt = match placement {
            Placement::Send { attempt, .. } => attempt,
            Placement::Reject(rejection, _) => {
                self.rejected.push((rejection, self.now.since(job.arrived)));
                return;
            }
            Placement::Wait => return,
        };
        let backend = attempt.backend.clone();
        self.sent.push((self.now, backend.clone()));
        if self.limits.contains_key(&backend) {
            self.arrivals.push(Arrival { at: self.now, vm, backend: backend.clone() });
        }
        let is_cold = self.warm.insert((backend, job.object.unwrap()), ()).is_none();
        let work = if is_cold { COLD_WORK } else { WARM_WORK };
        let work = Millis((work.0 as f64 * (0.9 + 0.2 * self.random())) as u64);
        self.runs.push(Run { end: self.now.after(work), vm, job, attempt });
    }

    fn end_due_runs(&mut self) {
        let (due, left) =
            std::mem::take(&mut self.runs).into_iter().partition(|it| it.end <= self.now);
        self.runs = left;
        let due: Vec<Run> = due;
        for Run { vm, job, attempt, .. } in due {
            let dispatcher = &mut self.vms[vm];
            let backend = attempt.backend.clone();
            let busy = self.runs.iter().filter(|it| it.attempt.backend == backend).count() as u32;
            dispatcher.on_load(&backend, Slots(busy), self.now);
            let limit = self.limits.get(&backend).copied();
            dispatcher.on_limit(&backend, limit, self.now);
            dispatcher.on_attempt_end(&job, &attempt, AttemptOutcome::Answered, self.now);
            self.served += 1;
            if limit.is_some() {
                self.told.entry((vm, backend)).or_insert(self.now);
            }
        }
    }

    fn send_new(&mut self, vm: usize) {
        let object = (self.random() * (self.servers * OBJECTS) as f64) as u64;
        let mut route = route("look");
        route.timeout = Millis(2_000);
        let deadline = self.now.after(route.timeout);
        let service = route.services[0].service.clone();
        let job = Job {
            route: route.into(),
            service,
            object: Some(object),
            arrived: self.now,
            deadline,
            tried: Vec::new(),
        };
        self.vms[vm].on_request(&job, self.now);
        let (placement, waiter) = self.vms[vm].place(job.clone(), self.now);
        match waiter {
            Some(number) => {
                self.waiting.insert((vm, number), job);
            }
            None => self.apply(vm, job, placement),
        }
    }

    /// Runs callers' requests at `load` times the usual demand.
    fn run(&mut self, time: Millis, load: f64) {
        let end = self.now.after(time);
        let step_demand = load * DEMAND * self.servers as f64 * STEP.0 as f64 / 1_000.0;
        while self.now < end {
            self.now = self.now.after(STEP);
            self.end_due_runs();
            for vm in 0..self.vms.len() {
                if self.now.0.is_multiple_of(1_000) {
                    self.vms[vm].tick(self.now);
                }
                for (number, placement) in self.vms[vm].place_waiting(usize::MAX, self.now) {
                    let job = self.waiting.remove(&(vm, number)).unwrap();
                    self.apply(vm, job, placement);
                }
            }
            let mut count = step_demand as u64;
            count += u64::from(self.random() < step_demand.fract());
            for _ in 0..count {
                let vm = (self.random() * self.vms.len() as f64) as usize;
                self.send_new(vm);
            }
        }
    }

    /// Returns the largest number of requests that reached a server in any window after `from`, from VMs that it had
    /// told its limit.
    fn most_arrivals(&self, backend: &BackendId, from: Time) -> usize {
        let mut counted = Vec::new();
        for it in &self.arrivals {
            let told = self.told.get(&(it.vm, it.backend.clone()));
            let is_told = told.is_some_and(|told| told.after(NOTICE) <= it.at);
            if it.backend == *backend && is_told && from <= it.at {
                counted.push(it.at);
            }
        }
        let mut most = 0;
        for first in &counted {
            let window = *first..first.after(WINDOW);
            most = most.max(counted.iter().filter(|it| window.contains(*it)).count());
        }
        most
    }

    /// Returns how many requests reached a server since `from`, whether it limited them or not.
    fn sent_since(&self, backend: &BackendId, from: Time) -> usize {
        self.sent.iter().filter(|it| it.1 == *backend && from <= it.0).count()
    }

    /// When a server first stated its limit.
    fn first_told(&self, backend: &BackendId) -> Time {
        let times = self.told.iter().filter(|((_, it), _)| it == backend);
        times.map(|(_, told)| *told).min().unwrap()
    }
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
