//! The state of dispatch at one entry VM.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use th_protocol::{BackendId, Bytes, ServiceId, Slots, Time, VmId, ZoneId};

use super::{
    addresses::{HOST_COUNT_DECAY, HostCounts},
    backend::{Attempt, AttemptOutcome},
    job::{Job, Placement},
    links::Traffic,
    lookup::Topology,
    place::{WaitCounts, millis},
    record::{BackendRecord, EntryRecord},
    remote_copy::ObjectUse,
    retry::RetryWindow,
    round_robin::RoundRobin,
    route::{Route, RouteTable},
    settings::DispatchSettings,
    spill::SpillWindow,
    table::BackendTable,
    waiting::Waiting,
    work::WorkTimes,
};

/// A request that was taken to be cold and took at most this many times the time of warm work was warm; half-way to
/// cold work in logarithms, as warm work takes about a third of it.
const WARM_THRESHOLD: f64 = 1.8;

/// Dispatch at one entry VM.
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) vm: VmId,
    pub(crate) zone: ZoneId,
    pub(crate) topology: Topology,
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) backends: BackendTable,
    pub(crate) evacuated: BTreeSet<ZoneId>,
    pub(crate) entries: BTreeMap<VmId, EntryRecord>,
    pub(crate) work: WorkTimes,
    pub(crate) round_robins: BTreeMap<String, RoundRobin>,
    pub(crate) retries: BTreeMap<ServiceId, RetryWindow>,
    pub(crate) objects: BTreeMap<ServiceId, BTreeMap<u64, ObjectUse>>,
    pub(crate) host_counts: BTreeMap<String, HostCounts>,
    pub(crate) spill: SpillWindow,
    pub(crate) waiting: Waiting,
    /// The requests that wait, as the last look at all of them found, and those that came since.
    pub(crate) wait_counts: WaitCounts,
    pub(crate) last_attempt: u64,
    pub(crate) last_waiter: u64,
    pub(crate) traffic: Traffic,
    /// Look-ups answered, by which each takes its part of the rounding.
    pub(crate) lookups: u32,
}

impl Dispatcher {
    /// A VM that knows no routes and no backend servers.
    pub fn new(
        settings: DispatchSettings,
        vm: VmId,
        zone: ZoneId,
        topology: Topology,
    ) -> Dispatcher {
        Dispatcher {
            settings,
            vm,
            zone,
            topology,
            routes: None,
            backends: BackendTable::default(),
            evacuated: BTreeSet::new(),
            entries: BTreeMap::new(),
            work: WorkTimes::default(),
            round_robins: BTreeMap::new(),
            retries: BTreeMap::new(),
            objects: BTreeMap::new(),
            host_counts: BTreeMap::new(),
            spill: SpillWindow::default(),
            waiting: Waiting::default(),
            wait_counts: WaitCounts::default(),
            last_attempt: 0,
            last_waiter: 0,
            traffic: Traffic::default(),
            lookups: 0,
        }
    }

    /// Takes changed settings over.
    pub fn set_settings(&mut self, settings: DispatchSettings) {
        self.settings = settings;
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Puts newer routes in force; false where the present ones are as new.
    pub fn on_routes(&mut self, table: RouteTable) -> bool {
        if self.routes.as_ref().is_some_and(|it| table.version() <= it.version()) {
            return false;
        }
        self.routes = Some(Arc::new(table));
        true
    }

    /// Takes in what a backend server says of itself.
    pub fn on_backend(&mut self, record: BackendRecord, now: Time) {
        self.backends.put(record, now);
    }

    /// Forgets a backend server.
    pub fn on_backend_removed(&mut self, id: &BackendId) {
        self.backends.remove(id);
    }

    /// Sets the data centres whose backend servers get no more work.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneId>) {
        self.evacuated = zones;
    }

    /// The data centres whose backend servers get no more work.
    pub fn evacuated(&self) -> &BTreeSet<ZoneId> {
        &self.evacuated
    }

    /// Takes in an entry VM.
    pub fn on_entry(&mut self, record: EntryRecord) {
        self.entries.insert(record.vm.clone(), record);
    }

    /// Forgets an entry VM.
    pub fn on_entry_removed(&mut self, vm: &VmId) {
        self.entries.remove(vm);
    }

    /// An entry VM that is known.
    pub fn entry(&self, vm: &VmId) -> Option<&EntryRecord> {
        self.entries.get(vm)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The service of a new request by the weights of its route.
    pub fn choose_service(&mut self, route: &Route) -> Option<ServiceId> {
        match route.services.as_slice() {
            [] => None,
            [only] => Some(only.service.clone()),
            shares => self.round_robins.entry(route.name.clone()).or_default().next(shares),
        }
    }

    /// Counts a new request, which later retries depend on.
    pub fn on_request(&mut self, job: &Job, now: Time) {
        let window = self.settings.retry_window;
        self.retries.entry(job.service.clone()).or_default().count_first(window, now);
        let counts = self.host_counts.entry(job.route.host.clone()).or_default();
        counts.total += 1.0;
        counts.with_homes += if job.route.home_regions.is_empty() { 0.0 } else { 1.0 };
        if let Some(object) = job.object.filter(|_| job.route.sticky) {
            let objects = self.objects.entry(job.service.clone()).or_default();
            objects.entry(object).or_insert(ObjectUse { last: now, remote_uses: 0 }).last = now;
        }
    }

    /// Whether a request may be sent again, by its route and the budget.
    pub fn take_retry(&mut self, job: &Job, now: Time) -> bool {
        if job.route.attempts as usize <= job.tried.len() || job.deadline <= now {
            return false;
        }
        let settings = &self.settings;
        let vms = self.entries.len().max(1) as f64;
        let slack = settings.retry_slack * settings.safety_factor / vms;
        let share = settings.retry_share * settings.safety_factor;
        let window = self.retries.entry(job.service.clone()).or_default();
        window.take_retry(share, slack, settings.retry_window, now)
    }

    /// Places a request, or lets it wait; the number of a wait comes back from [`Dispatcher::place_waiting`].
    pub fn place(&mut self, job: Job, now: Time) -> (Placement, Option<u64>) {
        let mut wait_counts = std::mem::take(&mut self.wait_counts);
        let placement = self.decide(&job, &mut wait_counts, now);
        self.wait_counts = wait_counts;
        if placement != Placement::Wait {
            return (placement, None);
        }
        self.last_waiter += 1;
        self.waiting.insert(self.last_waiter, job);
        (Placement::Wait, Some(self.last_waiter))
    }

    /// Places a request a second time while its first try goes on, where the budget allows and a slot is free.
    pub fn place_hedge(&mut self, job: &Job, now: Time) -> Option<(Attempt, SocketAddr)> {
        if !self.take_retry(job, now) {
            return None;
        }
        match self.decide(job, &mut WaitCounts::default(), now) {
            Placement::Send { attempt, address } => Some((attempt, address)),
            Placement::Wait | Placement::Reject(..) => None,
        }
    }

    /// Takes a waiting request out, since its caller left.
    pub fn cancel_wait(&mut self, waiter: u64) {
        self.waiting.remove(waiter);
    }

    /// Places waiting requests where slots have become free, and refuses those whose time is up; looks at the first
    /// `most` of them.
    pub fn place_waiting(&mut self, most: usize, now: Time) -> Vec<(u64, Placement)> {
        if self.waiting.len() == 0 {
            self.wait_counts = WaitCounts::default();
            return Vec::new();
        }
        let mut wait_counts = WaitCounts::default();
        let mut placed = Vec::new();
        for number in self.waiting.order(now).into_iter().take(most) {
            let Some(job) = self.waiting.remove(number) else {
                continue;
            };
            match self.decide(&job, &mut wait_counts, now) {
                Placement::Wait => self.waiting.insert(number, job),
                it => placed.push((number, it)),
            }
        }
        if self.waiting.len() <= most {
            self.wait_counts = wait_counts;
        }
        placed
    }

    /// Forgets objects that nobody asks for, and what was learned of routes and services that are gone.
    pub fn tick(&mut self, now: Time) {
        let share = self.own_share();
        self.traffic.tick(share, now);
        let start = now.before(self.settings.object_age);
        for objects in self.objects.values_mut() {
            objects.retain(|_, it| start <= it.last);
        }
        for counts in self.host_counts.values_mut() {
            counts.total *= HOST_COUNT_DECAY;
            counts.with_homes *= HOST_COUNT_DECAY;
        }
        if let Some(routes) = self.routes.clone() {
            self.host_counts.retain(|host, _| !routes.of_host(host).is_empty());
            self.objects.retain(|service, _| routes.cold_rate(service).is_some());
            self.retries.retain(|service, _| routes.cold_rate(service).is_some());
            let names: BTreeSet<&str> = routes.iter().map(|it| it.name.as_str()).collect();
            self.work.retain(|route| names.contains(route));
            self.round_robins.retain(|route, _| names.contains(route.as_str()));
        }
    }

    /// Gives a slot back and learns from the attempt.
    pub fn on_attempt_end(
        &mut self,
        job: &Job,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        let mut attempt = attempt.clone();
        if outcome == AttemptOutcome::Answered {
            let took = now.since(attempt.sent);
            let route = &job.route;
            let warm = self.work.expected(&route.name, true, route.objective);
            // Another VM may have warmed the object; then the server is not a fast one.
            if !attempt.warm && took.0 as f64 <= warm * WARM_THRESHOLD {
                attempt.warm = true;
                attempt.expected = millis(warm);
            }
            self.work.add(&route.name, attempt.warm, took);
        }
        if let Some(row) = self.backends.by_id_mut(&attempt.backend) {
            row.end(&attempt, outcome, &self.settings, now);
        }
    }

    /// Gives back the slot of an attempt that was not made.
    pub fn release_slot(&mut self, attempt: &Attempt, now: Time) {
        if let Some(row) = self.backends.by_id_mut(&attempt.backend) {
            row.end(attempt, AttemptOutcome::Abandoned, &self.settings, now);
        }
    }

    /// Takes note of bytes that passed this VM's link in one direction.
    pub fn on_traffic(&mut self, bytes: Bytes) {
        self.traffic.add(bytes);
    }

    /// Takes in the load that a backend server reported with an answer.
    pub fn on_load(&mut self, backend: &BackendId, busy: Slots, now: Time) {
        if let Some(row) = self.backends.by_id_mut(backend) {
            row.on_load(busy, &self.settings, now);
        }
    }

    /// This VM's id.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }
}
