//! Test fixture: entry VMs that share backend servers of one service without talking.

use std::collections::BTreeMap;

use th_protocol::{BackendId, Millis, RequestRate, Slots, Time};
use th_steer::dispatch::{
    Attempt, AttemptOutcome, BackendRecord, DispatchSettings, Dispatcher, Job, Placement, Rejection,
};

use super::{START, backend, entry, id, route, table, topology};

/// Time between two steps of the simulation.
const STEP: Millis = Millis(10);
const WARM_WORK: Millis = Millis(100);
const COLD_WORK: Millis = Millis(300);
pub(crate) const SLOTS: Slots = Slots(4);
/// Objects for each server, fewer than it keeps warm.
const OBJECTS: u64 = 6;
/// Requests a second for each server; about half of what it can run.
const DEMAND: f64 = 12.0;
/// Time from a VM's first answer with a limit, from which its requests count.
const NOTICE: Millis = Millis(500);
/// The window over which requests are counted.
pub(crate) const WINDOW: Millis = Millis(4_000);

/// A request at its server.
pub(crate) struct Run {
    pub(crate) end: Time,
    pub(crate) vm: usize,
    pub(crate) job: Job,
    pub(crate) attempt: Attempt,
}

/// A request that reached a limited server.
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) vm: usize,
    pub(crate) backend: BackendId,
}

/// Entry VMs that share backend servers without talking.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Dispatcher>,
    pub(crate) servers: u64,
    pub(crate) now: Time,
    pub(crate) runs: Vec<Run>,
    pub(crate) waiting: BTreeMap<(usize, u64), Job>,
    pub(crate) warm: BTreeMap<(BackendId, u64), ()>,
    /// Limits that servers state with their answers.
    pub(crate) limits: BTreeMap<BackendId, RequestRate>,
    /// When each VM first got an answer with a limit, by server.
    pub(crate) told: BTreeMap<(usize, BackendId), Time>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) sent: Vec<(Time, BackendId)>,
    /// Time that each rejected request had waited.
    pub(crate) rejected: Vec<(Rejection, Millis)>,
    pub(crate) served: u64,
    pub(crate) random_state: u64,
}

impl Fleet {
    /// VMs and servers are spread over the data centres of the north in turn.
    pub(crate) fn new(vms: usize, servers: u64) -> Fleet {
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

    pub(crate) fn random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random_state >> 33) as f64 / f64::from(1u32 << 31)
    }

    pub(crate) fn apply(&mut self, vm: usize, job: Job, placement: Placement) {
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

    pub(crate) fn end_due_runs(&mut self) {
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

    pub(crate) fn send_new(&mut self, vm: usize) {
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
            start_by: None,
            tried: Vec::new(),
            organisation: None,
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
    pub(crate) fn run(&mut self, time: Millis, load: f64) {
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
    pub(crate) fn most_arrivals(&self, backend: &BackendId, from: Time) -> usize {
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
    pub(crate) fn sent_since(&self, backend: &BackendId, from: Time) -> usize {
        self.sent.iter().filter(|it| it.1 == *backend && from <= it.0).count()
    }

    /// When a server first stated its limit.
    pub(crate) fn first_told(&self, backend: &BackendId) -> Time {
        let times = self.told.iter().filter(|((_, it), _)| it == backend);
        times.map(|(_, told)| *told).min().unwrap()
    }
}
