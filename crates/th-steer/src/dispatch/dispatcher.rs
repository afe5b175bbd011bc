//! The state of dispatch at one entry VM.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use th_protocol::{BackendId, Bytes, Mbit, Millis, ServiceId, Slots, Time, VmId, ZoneId};

use super::{
    addresses::{HOST_COUNT_DECAY, HostCounts},
    admission::Waiting,
    backend::{Attempt, AttemptOutcome},
    crashes::CrashTable,
    job::{Job, Placement},
    links::Traffic,
    lookup::Topology,
    lookups::HomeUse,
    objects::ObjectsInUse,
    place::{WaitCounts, millis},
    reach::Reach,
    record::{BackendRecord, EntryRecord},
    retry::RetryWindow,
    round_robin::RoundRobin,
    route::{Route, RouteTable},
    server_share::Members,
    settings::DispatchSettings,
    spill::SpillWindow,
    statements::RememberedStatements,
    table::BackendTable,
    work::WorkTimes,
};
use crate::organisation::{Denial, FairShares, KeyDigest, Organisation, admit};

/// A request that was expected to be cold counts as warm if it took at most this many times the expected warm time.
/// Warm work takes about a third of cold work, so this is about the geometric mean of the two.
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
    /// Registered VMs that did not respond to probes.
    pub(crate) unresponsive: BTreeSet<VmId>,
    /// The entry VMs that share the rates of servers.
    pub(crate) members: Members,
    pub(crate) remembered: RememberedStatements,
    pub(crate) work: WorkTimes,
    pub(crate) round_robins: BTreeMap<String, RoundRobin>,
    pub(crate) retries: BTreeMap<ServiceId, RetryWindow>,
    pub(crate) objects: BTreeMap<ServiceId, ObjectsInUse>,
    pub(crate) host_counts: BTreeMap<String, HostCounts>,
    /// By host.
    pub(crate) home_use: BTreeMap<String, HomeUse>,
    pub(crate) spill: SpillWindow,
    pub(crate) waiting: Waiting,
    pub(crate) fair_shares: FairShares,
    /// Waiting requests by target server and rank, as of the last pass over all of them, plus those that arrived since.
    pub(crate) wait_counts: WaitCounts,
    /// When this VM stops: the time by which all requests must be answered.
    pub(crate) closes: Option<Time>,
    pub(crate) last_attempt: u64,
    pub(crate) last_waiter: u64,
    pub(crate) traffic: Traffic,
    pub(crate) reach: Reach,
    pub(crate) crashes: CrashTable,
    /// Number of look-ups answered; it shifts the sampling offset, so that rounding evens out over look-ups.
    pub(crate) lookups: u32,
}

impl Dispatcher {
    /// Creates a dispatcher without routes and backend servers.
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
            unresponsive: BTreeSet::new(),
            members: Members::default(),
            remembered: RememberedStatements::default(),
            work: WorkTimes::default(),
            round_robins: BTreeMap::new(),
            retries: BTreeMap::new(),
            objects: BTreeMap::new(),
            host_counts: BTreeMap::new(),
            home_use: BTreeMap::new(),
            spill: SpillWindow::default(),
            waiting: Waiting::default(),
            fair_shares: FairShares::default(),
            wait_counts: WaitCounts::default(),
            closes: None,
            last_attempt: 0,
            last_waiter: 0,
            traffic: Traffic::default(),
            reach: Reach::default(),
            crashes: CrashTable::default(),
            lookups: 0,
        }
    }

    /// Applies changed settings.
    pub fn set_settings(&mut self, settings: DispatchSettings) {
        self.settings = settings;
    }

    /// Begins a planned stop. From now on a request is only sent if it is likely to be answered by `end`; the others are
    /// rejected, also those that wait.
    pub fn close_by(&mut self, end: Time) {
        self.closes = Some(end);
    }

    /// By when a request must be answered: its deadline, or the end of a planned stop if that comes first.
    pub fn answer_by(&self, job: &Job) -> Time {
        self.closes.map_or(job.deadline, |it| it.min(job.deadline))
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Puts newer routes in force; returns false if the routes in force have the same or a higher version.
    pub fn on_routes(&mut self, table: RouteTable) -> bool {
        if self.routes.as_ref().is_some_and(|it| table.version() <= it.version()) {
            return false;
        }
        self.routes = Some(Arc::new(table));
        true
    }

    /// Returns the organisation of a request to a route, by the key that it carries and what was known of the store `age`
    /// ago; `None` if the request needs no key.
    pub fn admit(
        &self,
        route: &Route,
        key: Option<&KeyDigest>,
        age: Millis,
    ) -> Result<Option<Arc<Organisation>>, Denial> {
        let table = self.routes.as_ref().and_then(|it| it.organisations());
        match table.filter(|_| !route.public) {
            Some(table) => admit(table, key, age, self.settings.key_age).map(Some),
            None => Ok(None),
        }
    }

    /// Applies the record that a backend server registered.
    pub fn on_backend(&mut self, record: BackendRecord, now: Time) {
        let before = self.backends.id(&record.id).and_then(|it| self.backends.get(it));
        let was_cold = before.is_some_and(|it| it.is_cold(now));
        let stated = self.remembered.take(&record);
        let id = self.backends.put(record, now);
        if let (Some(stated), Some(row)) = (stated, self.backends.get_mut(id)) {
            row.stated = stated;
        }
        let row = self.backends.get(id);
        let is_unpaced = row.is_some_and(|it| it.is_cold(now) && it.cold_pace.is_none());
        let turned_cold = !was_cold && row.is_some_and(|it| it.is_cold(now));
        if is_unpaced || turned_cold {
            self.start_cold_pace(id, now);
        }
    }

    /// Removes a backend server.
    pub fn on_backend_removed(&mut self, id: &BackendId) {
        if let Some(row) = self.backends.remove(id) {
            self.remembered.keep(&row);
        }
    }

    /// Sets the data centres whose backend servers get no new requests.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneId>) {
        self.evacuated = zones;
    }

    /// The data centres whose backend servers get no new requests.
    pub fn evacuated(&self) -> &BTreeSet<ZoneId> {
        &self.evacuated
    }

    /// Adds or updates an entry VM.
    pub fn on_entry(&mut self, record: EntryRecord) {
        self.members.add(&record);
        self.unresponsive.remove(&record.vm);
        self.entries.insert(record.vm.clone(), record);
    }

    /// Removes an entry VM.
    pub fn on_entry_removed(&mut self, vm: &VmId) {
        self.entries.remove(vm);
        self.unresponsive.remove(vm);
    }

    /// The entry VMs, with the capacities of their links as far as known.
    pub fn entry_links(&self) -> BTreeMap<VmId, Option<Mbit>> {
        self.entries.values().map(|it| (it.vm.clone(), it.link)).collect()
    }

    /// The record of an entry VM.
    pub fn entry(&self, vm: &VmId) -> Option<&EntryRecord> {
        self.entries.get(vm)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Chooses the service of a new request by the weights of its route.
    pub fn choose_service(&mut self, route: &Route) -> Option<ServiceId> {
        match route.services.as_slice() {
            [] => None,
            [only] => Some(only.service.clone()),
            shares => self.round_robins.entry(route.name.clone()).or_default().next(shares),
        }
    }

    /// Counts a new request, for the retry budget, the home regions of its host and the objects in use.
    pub fn on_request(&mut self, job: &Job, now: Time) {
        let window = self.settings.retry_window;
        self.retries.entry(job.service.clone()).or_default().count_first(window, now);
        let counts = self.host_counts.entry(job.route.host.clone()).or_default();
        counts.total += 1.0;
        counts.with_homes += if job.route.home_regions.is_empty() { 0.0 } else { 1.0 };
        if let Some(object) = job.object.filter(|_| job.route.sticky) {
            self.objects.entry(job.service.clone()).or_default().add(object, now);
        }
    }

    /// Takes one retry from the budget; returns false if the route's attempts, the deadline or the budget forbid it.
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

    /// Places a request or queues it; the returned number identifies a queued request in [`Dispatcher::place_waiting`].
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

    /// Places a hedged attempt while the first attempt still runs, if the retry budget allows it and a slot is free.
    pub fn place_hedge(&mut self, job: &Job, now: Time) -> Option<(Attempt, SocketAddr)> {
        if !self.take_retry(job, now) {
            return None;
        }
        match self.decide(job, &mut WaitCounts::default(), now) {
            Placement::Send { attempt, address } => Some((attempt, address)),
            Placement::Wait | Placement::Reject(..) => None,
        }
    }

    /// Removes a waiting request whose caller has closed its connection.
    pub fn cancel_wait(&mut self, waiter: u64) {
        self.waiting.remove(waiter);
    }

    /// Places waiting requests for which slots have become free, and rejects those that cannot meet their deadline or
    /// have no usable backend server left; considers only the first `most` in the order of service.
    pub fn place_waiting(&mut self, most: usize, now: Time) -> Vec<(u64, Placement)> {
        if self.waiting.len() == 0 {
            self.wait_counts = WaitCounts::default();
            return Vec::new();
        }
        let mut wait_counts = WaitCounts::default();
        let mut placed = Vec::new();
        for number in self.waiting.order(&self.fair_shares, &self.work, now).into_iter().take(most)
        {
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

    /// Updates the traffic averages, lets the request counts of hosts decay, and drops objects that are no longer
    /// requested and the statistics of removed routes and services.
    pub fn tick(&mut self, now: Time) {
        let share = self.own_share();
        self.traffic.tick(share, now);
        self.members.update(&self.entries, now);
        self.remembered.update(now);
        self.crashes.tick(now);
        self.fair_shares.forget_idle();
        self.update_limits(now);
        self.update_cold_paces(now);
        let start = now.before(self.settings.object_age);
        for objects in self.objects.values_mut() {
            objects.update(start);
        }
        self.update_home_use(now);
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

    /// Releases the slot of an attempt and updates the statistics with its outcome. Returns whether the server is avoided
    /// from now on because it drags, or used again; `None` if neither changed.
    pub fn on_attempt_end(
        &mut self,
        job: &Job,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<bool> {
        let mut attempt = attempt.clone();
        if outcome == AttemptOutcome::Answered {
            let took = now.since(attempt.sent);
            let route = &job.route;
            let warm = self.work.expected(&route.name, true, route.objective);
            // Another VM may have warmed the object; the short time then says nothing about the server's speed.
            if !attempt.warm && took.0 as f64 <= warm * WARM_THRESHOLD {
                attempt.warm = true;
                attempt.expected = millis(warm);
            }
            // One slow server must not raise what is expected of all.
            self.work.add(&route.name, attempt.warm, took.min(attempt.drag));
        }
        let row = self.backends.by_id_mut(&attempt.backend)?;
        let before = row.is_avoided();
        row.end(&attempt, outcome, &self.settings, now);
        let changed = (before != row.is_avoided()).then_some(!before);
        self.on_sign(&attempt.backend, outcome, now);
        changed
    }

    /// Releases the slot of an attempt that was never sent.
    pub fn release_slot(&mut self, attempt: &Attempt, now: Time) {
        if let Some(row) = self.backends.by_id_mut(&attempt.backend) {
            row.end(attempt, AttemptOutcome::Abandoned, &self.settings, now);
        }
    }

    /// Counts bytes that passed this VM's link in one direction.
    pub fn on_traffic(&mut self, bytes: Bytes) {
        self.traffic.add(bytes);
    }

    /// The backend servers that this VM avoids because its own requests dragged there.
    pub fn dragging(&self) -> Vec<BackendId> {
        let rows = self.backends.iter().filter(|it| it.is_avoided());
        rows.map(|it| it.record.id.clone()).collect()
    }

    /// The record of a backend server.
    pub fn backend(&self, id: &BackendId) -> Option<&BackendRecord> {
        let row = self.backends.id(id).and_then(|it| self.backends.get(it));
        row.map(|it| &it.record)
    }

    /// The entry VMs of this VM's data centre that other VMs can ask, with the addresses for that; includes this VM.
    pub fn peers(&self) -> BTreeMap<VmId, SocketAddr> {
        let near = self.entries.values().filter(|it| it.zone == self.zone);
        near.filter_map(|it| Some((it.vm.clone(), it.peers?))).collect()
    }

    /// The VMs of [`Dispatcher::peers`], with the capacities of their links as far as known.
    pub fn peer_links(&self) -> BTreeMap<VmId, Option<Mbit>> {
        let near = self.entries.values().filter(|it| it.zone == self.zone && it.peers.is_some());
        near.map(|it| (it.vm.clone(), it.link)).collect()
    }

    /// Applies the load that a backend server reported with an answer.
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
