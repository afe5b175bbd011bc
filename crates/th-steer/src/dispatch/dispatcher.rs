//! The state of dispatch at one entry VM.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use th_protocol::{BackendId, Millis, Permille, RegionId, ServiceId, Slots, Time, VmId, ZoneId};

use super::{
    backend::{Attempt, BackendRow, End},
    job::{Job, Placement, Refusal},
    lookup::{Topology, lookup_shares, usable_slots},
    place::{Candidate, Heading, Pool, Scene, cheapest, millis},
    record::{BackendRecord, EntryRecord},
    retry::RetryWindow,
    route::{Route, RouteTable},
    settings::DispatchSettings,
    split::Split,
    waiting::Waiting,
    work::WorkTimes,
};

/// Addresses that a look-up names, repeated by their share; the most that callers take.
const LOOKUP_ADDRESSES: usize = 24;

/// Part of the expected work for which there must be time when a request that has waited is sent; work varies.
const LEAST_WORK: f64 = 0.8;
/// Requests of a host from which the share of those with homes is taken.
const HOMED_SAMPLE: f64 = 50.0;
/// With this share of requests on routes with homes, look-ups of the host keep to the homes: half of the part that may
/// go elsewhere.
const HOMED_SHARE: f64 = 0.025;
/// What is left of the counts after each tick; a share from the last minute.
const HOMED_DECAY: f64 = 0.98;

/// Requests of a host, and those on routes with homes; both fade.
#[derive(Debug, Default)]
struct Homed {
    all: f64,
    homed: f64,
}

/// Requests that were lately sent, and whether to another region.
#[derive(Debug, Default)]
struct Away {
    sent: VecDeque<(Time, bool)>,
}

impl Away {
    fn add(&mut self, remote: bool, window: Millis, now: Time) {
        self.sent.push_back((now, remote));
        let start = now.before(window + window);
        while self.sent.front().is_some_and(|(at, _)| *at < start) {
            self.sent.pop_front();
        }
    }

    /// Whether one more request may go to another region: the share of a window may exceed that of the window before
    /// it by `step` only.
    fn is_open(&self, step: Permille, window: Millis, now: Time) -> bool {
        let (middle, start) = (now.before(window), now.before(window + window));
        let (mut before, mut after) = ((0u64, 0u64), (0u64, 0u64));
        for (at, remote) in &self.sent {
            if *at < start {
                continue;
            }
            let counts = if *at < middle { &mut before } else { &mut after };
            counts.0 += u64::from(*remote);
            counts.1 += 1;
        }
        let share = (before.0 * 1_000).checked_div(before.1).unwrap_or(0);
        after.0 * 1_000 < (share + u64::from(step.0)) * after.1
    }
}

/// Dispatch at one entry VM.
pub struct Dispatcher {
    settings: DispatchSettings,
    vm: VmId,
    zone: ZoneId,
    topology: Topology,
    routes: Option<Arc<RouteTable>>,
    backends: BTreeMap<BackendId, BackendRow>,
    by_service: BTreeMap<ServiceId, BTreeSet<BackendId>>,
    evacuated: BTreeSet<ZoneId>,
    entries: BTreeMap<VmId, EntryRecord>,
    work: WorkTimes,
    splits: BTreeMap<String, Split>,
    retries: BTreeMap<ServiceId, RetryWindow>,
    objects: BTreeMap<ServiceId, BTreeMap<u64, Time>>,
    homed: BTreeMap<String, Homed>,
    away: Away,
    waiting: Waiting,
    /// The requests that wait, as the last look at all of them found, and those that came since.
    heading: Heading,
    attempts: u64,
    waiters: u64,
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
            backends: BTreeMap::new(),
            by_service: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            entries: BTreeMap::new(),
            work: WorkTimes::default(),
            splits: BTreeMap::new(),
            retries: BTreeMap::new(),
            objects: BTreeMap::new(),
            homed: BTreeMap::new(),
            away: Away::default(),
            waiting: Waiting::default(),
            heading: Heading::default(),
            attempts: 0,
            waiters: 0,
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
        let region = self.topology.zones.get(&record.zone).cloned();
        let id = record.id.clone();
        if let Some(row) = self.backends.get_mut(&id) {
            let before = row.record.service.clone();
            if before != record.service
                && let Some(ids) = self.by_service.get_mut(&before)
            {
                ids.remove(&id);
            }
            self.by_service.entry(record.service.clone()).or_default().insert(id);
            row.region = region;
            row.on_record(record, now);
            return;
        }
        self.by_service.entry(record.service.clone()).or_default().insert(id.clone());
        self.backends.insert(id, BackendRow::new(record, region, now));
    }

    /// Forgets a backend server.
    pub fn on_backend_gone(&mut self, id: &BackendId) {
        let Some(row) = self.backends.remove(id) else {
            return;
        };
        if let Some(ids) = self.by_service.get_mut(&row.record.service) {
            ids.remove(id);
        }
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
    pub fn on_entry_gone(&mut self, vm: &VmId) {
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
    pub fn service_of(&mut self, route: &Route) -> Option<ServiceId> {
        match route.services.as_slice() {
            [] => None,
            [only] => Some(only.service.clone()),
            shares => self.splits.entry(route.name.clone()).or_default().next(shares),
        }
    }

    /// Counts a new request, which later retries depend on.
    pub fn on_request(&mut self, job: &Job, now: Time) {
        let window = self.settings.retry_window;
        self.retries.entry(job.service.clone()).or_default().first(window, now);
        let seen = self.homed.entry(job.route.host.clone()).or_default();
        seen.all += 1.0;
        seen.homed += if job.route.homes.is_empty() { 0.0 } else { 1.0 };
        if let Some(object) = job.object.filter(|_| job.route.sticky) {
            self.objects.entry(job.service.clone()).or_default().insert(object, now);
        }
    }

    /// Whether a request may be sent again, by its route and the budget.
    pub fn may_retry(&mut self, job: &Job, now: Time) -> bool {
        if job.route.attempts as usize <= job.tried.len() || job.limit <= now {
            return false;
        }
        let settings = &self.settings;
        let vms = self.entries.len().max(1) as f64;
        let slack = settings.retry_slack * settings.safety / vms;
        let share = settings.retry_share * settings.safety;
        let window = self.retries.entry(job.service.clone()).or_default();
        window.take(share, slack, settings.retry_window, now)
    }

    /// Places a request, or lets it wait; the number of a wait comes back from [`Dispatcher::pump`].
    pub fn place(&mut self, job: Job, now: Time) -> (Placement, Option<u64>) {
        let mut heading = std::mem::take(&mut self.heading);
        let placement = self.decide(&job, &mut heading, now);
        self.heading = heading;
        if placement != Placement::Wait {
            return (placement, None);
        }
        self.waiters += 1;
        self.waiting.insert(self.waiters, job);
        (Placement::Wait, Some(self.waiters))
    }

    /// Places a request a second time while its first try goes on, where the budget allows and a slot is free.
    pub fn place_spare(&mut self, job: &Job, now: Time) -> Option<(Attempt, SocketAddr)> {
        if !self.may_retry(job, now) {
            return None;
        }
        match self.decide(job, &mut Heading::default(), now) {
            Placement::Send { attempt, address } => Some((attempt, address)),
            Placement::Wait | Placement::Refuse(..) => None,
        }
    }

    /// Takes a waiting request out, since its caller left.
    pub fn forget(&mut self, waiter: u64) {
        self.waiting.remove(waiter);
    }

    /// Places waiting requests where slots have become free, and refuses those whose time is up; looks at the first
    /// `most` of them.
    pub fn pump(&mut self, most: usize, now: Time) -> Vec<(u64, Placement)> {
        if self.waiting.len() == 0 {
            self.heading = Heading::default();
            return Vec::new();
        }
        let mut heading = Heading::default();
        let mut placed = Vec::new();
        for number in self.waiting.order(now).into_iter().take(most) {
            let Some(job) = self.waiting.remove(number) else {
                continue;
            };
            match self.decide(&job, &mut heading, now) {
                Placement::Wait => self.waiting.insert(number, job),
                it => placed.push((number, it)),
            }
        }
        if self.waiting.len() <= most {
            self.heading = heading;
        }
        placed
    }

    /// Forgets objects that nobody asks for, and what was learned of routes and services that are gone.
    pub fn tick(&mut self, now: Time) {
        let start = now.before(self.settings.object_age);
        for objects in self.objects.values_mut() {
            objects.retain(|_, last| start <= *last);
        }
        for seen in self.homed.values_mut() {
            seen.all *= HOMED_DECAY;
            seen.homed *= HOMED_DECAY;
        }
        if let Some(routes) = self.routes.clone() {
            self.homed.retain(|host, _| !routes.of_host(host).is_empty());
            self.objects.retain(|service, _| routes.cold_rate(service).is_some());
            self.retries.retain(|service, _| routes.cold_rate(service).is_some());
            let names: BTreeSet<&str> = routes.iter().map(|it| it.name.as_str()).collect();
            self.work.retain(|route| names.contains(route));
            self.splits.retain(|route, _| names.contains(route.as_str()));
        }
    }

    /// The backend servers that may run a request, by data centre.
    fn usable(&self, job: &Job) -> BTreeMap<ZoneId, Vec<BackendId>> {
        let mut usable: BTreeMap<ZoneId, Vec<BackendId>> = BTreeMap::new();
        for id in self.by_service.get(&job.service).into_iter().flatten() {
            let Some(row) = self.backends.get(id) else {
                continue;
            };
            let zone = &row.record.zone;
            let homes = &job.route.homes;
            let home = homes.is_empty() || row.region.as_ref().is_some_and(|it| homes.contains(it));
            if row.takes_work() && home && !job.tried.contains(id) && !self.evacuated.contains(zone)
            {
                usable.entry(zone.clone()).or_default().push(id.clone());
            }
        }
        usable
    }

    /// Leaves out the backend servers that failed lately, unless that leaves none.
    fn admitted(
        &self,
        usable: BTreeMap<ZoneId, Vec<BackendId>>,
        now: Time,
    ) -> BTreeMap<ZoneId, Vec<BackendId>> {
        let mut admitted = usable.clone();
        for ids in admitted.values_mut() {
            ids.retain(|it| self.backends.get(it).is_some_and(|row| row.is_admitted(now)));
        }
        admitted.retain(|_, ids| !ids.is_empty());
        if admitted.is_empty() { usable } else { admitted }
    }

    fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.topology.zones.get(zone)
    }

    /// This VM's own pool first: its data centre, or its region where the data centre cannot keep all objects warm.
    /// Then the other data centres of the region, and those of other regions.
    fn pools(&self, mut usable: BTreeMap<ZoneId, Vec<BackendId>>, objects: usize) -> Vec<Pool> {
        let settings = &self.settings;
        let region = self.region_of(&self.zone);
        let is_near = |zone: &ZoneId| self.region_of(zone) == region;
        let mut own = Pool::default();
        if let Some(local) = usable.get(&self.zone)
            && objects <= settings.warm_objects * local.len()
        {
            own.backends = usable.remove(&self.zone).unwrap_or_default();
        } else {
            for (zone, ids) in &usable {
                if is_near(zone) {
                    own.backends.extend(ids.iter().cloned());
                }
            }
            usable.retain(|zone, _| !is_near(zone));
        }
        let mut pools = vec![own];
        for (zone, backends) in usable {
            let remote = !is_near(&zone);
            let distance = if remote { settings.region_cost } else { settings.zone_cost };
            pools.push(Pool { backends, distance, remote, foreign: true });
        }
        pools
    }

    /// This VM's part of what a cold backend server takes in a second.
    fn cold_rate(&self, job: &Job) -> f64 {
        let rate = self.routes.as_ref().and_then(|it| it.cold_rate(&job.service)).unwrap_or(1.0);
        rate / self.entries.len().max(1) as f64
    }

    fn decide(&mut self, job: &Job, heading: &mut Heading, now: Time) -> Placement {
        if job.limit <= now {
            return Placement::Refuse(Refusal::Expired, self.settings.back_least);
        }
        let usable = self.usable(job);
        if usable.is_empty() {
            return Placement::Refuse(Refusal::NoBackend, self.settings.back_most);
        }
        let usable = self.admitted(usable, now);
        let Some(best) = self.choose(job, usable, heading, now) else {
            return Placement::Wait;
        };
        let left = job.limit.since(now).0 as f64;
        // Work that starts late is broken off at the limit, and then counts as run.
        let queued = 0.0 < best.wait || job.arrived < now;
        let needed = if queued { best.wait + best.work * LEAST_WORK } else { 0.0 };
        if left < needed {
            let back = millis(needed - left);
            let back = back.clamp(self.settings.back_least, self.settings.back_most);
            return Placement::Refuse(Refusal::TooLate, back);
        }
        if !best.free {
            heading.add(best.backend, job.route.rank);
            return Placement::Wait;
        }
        self.send(job, &best, now)
    }

    /// The cheapest backend server of this VM's pool, or of another pool where this one would answer too late.
    fn choose(
        &mut self,
        job: &Job,
        usable: BTreeMap<ZoneId, Vec<BackendId>>,
        heading: &Heading,
        now: Time,
    ) -> Option<Candidate> {
        let objects = self.objects.get(&job.service).map_or(0, BTreeMap::len);
        let pools = self.pools(usable, objects);
        let near = pools.iter().any(|it| !it.remote && !it.backends.is_empty());
        let settings = &self.settings;
        let away = !near || self.away.is_open(settings.away_share, settings.away_window, now);
        let rate = self.cold_rate(job);
        let scene = Scene { settings: &self.settings, work: &self.work, objects, rate, now };
        let mut best: Option<Candidate> = None;
        for pool in &pools {
            if best.is_some() {
                break;
            }
            if pool.remote && !away {
                continue;
            }
            let Some(found) = cheapest(job, pool, &mut self.backends, heading, &scene) else {
                continue;
            };
            if best.as_ref().is_none_or(|it| found.cost < it.cost) {
                best = Some(found);
            }
        }
        best
    }

    fn send(&mut self, job: &Job, best: &Candidate, now: Time) -> Placement {
        let Some(row) = self.backends.get_mut(&best.backend) else {
            return Placement::Wait;
        };
        self.attempts += 1;
        let attempt = Attempt {
            backend: best.backend.clone(),
            number: self.attempts,
            sent: now,
            warm: best.warm,
            expected: millis(best.work),
        };
        row.start(&attempt);
        if row.is_cold(now) {
            row.pace.spend();
        }
        if let Some(object) = job.object {
            row.warm.touch(object, self.settings.warm_objects);
        }
        self.away.add(best.remote, self.settings.away_window, now);
        Placement::Send { attempt, address: row.record.address }
    }

    /// Gives a slot back and learns from the attempt.
    pub fn on_end(&mut self, job: &Job, attempt: &Attempt, end: End, now: Time) {
        if end == End::Answered {
            self.work.add(&job.route.name, attempt.warm, now.since(attempt.sent));
        }
        if let Some(row) = self.backends.get_mut(&attempt.backend) {
            row.end(attempt, end, &self.settings, now);
        }
    }

    /// Takes in the load that a backend server reported with an answer.
    pub fn on_load(&mut self, backend: &BackendId, busy: Slots, now: Time) {
        if let Some(row) = self.backends.get_mut(backend) {
            row.on_load(busy, now);
        }
    }

    /// Takes in how long a backend server says that it stays cold.
    pub fn on_cold(&mut self, backend: &BackendId, left: Millis, now: Time) {
        if let Some(row) = self.backends.get_mut(backend) {
            row.cold_until = now.after(left);
        }
    }

    /// The entry VMs that a caller of a data centre is named, each as often as its share of the callers.
    pub fn lookup(&self, host: &str, zone: &ZoneId) -> Vec<SocketAddr> {
        let allowed = self.allowed_regions(host, zone);
        let mut by_zone: BTreeMap<ZoneId, Vec<&EntryRecord>> = BTreeMap::new();
        for entry in self.entries.values() {
            let region = self.topology.zones.get(&entry.zone);
            let allowed = allowed.as_ref().is_none_or(|it| region.is_some_and(|r| it.contains(r)));
            if allowed {
                by_zone.entry(entry.zone.clone()).or_default().push(entry);
            }
        }
        let zones: Vec<&ZoneId> = by_zone.keys().collect();
        let room = self.room(&zones);
        let shares = lookup_shares(zone, &self.topology, &room);
        let mut addresses = Vec::new();
        for (zone, share) in shares {
            let Some(entries) = by_zone.get(&zone) else {
                continue;
            };
            let count = (share * LOOKUP_ADDRESSES as f64).round() as usize;
            for index in 0..count {
                addresses.push(entries[index % entries.len()].callers);
            }
        }
        if addresses.is_empty() {
            addresses = by_zone.values().flatten().map(|it| it.callers).collect();
        }
        addresses
    }

    /// The share of the work that each data centre can carry: the mean of its shares of the services that routes use,
    /// by their slots. An entry may name a service that no route knows.
    fn room(&self, zones: &[&ZoneId]) -> BTreeMap<ZoneId, f64> {
        let mut room: BTreeMap<ZoneId, f64> = zones.iter().map(|it| ((*it).clone(), 0.0)).collect();
        let Some(routes) = &self.routes else {
            return room;
        };
        let mut slots: BTreeMap<&ServiceId, BTreeMap<&ZoneId, f64>> = BTreeMap::new();
        for row in self.backends.values() {
            let (zone, service) = (&row.record.zone, &row.record.service);
            let known = room.contains_key(zone) && routes.cold_rate(service).is_some();
            if row.takes_work() && known && !self.evacuated.contains(zone) {
                let pool = slots.entry(service).or_default().entry(zone).or_default();
                *pool += f64::from(row.record.slots.0);
            }
        }
        for pools in slots.values() {
            let all: f64 = pools.values().sum();
            let total: f64 = pools.values().map(|it| usable_slots(*it)).sum();
            for (zone, pool) in pools {
                if let Some(share) = room.get_mut(*zone)
                    && 0.0 < total
                {
                    *share += all * usable_slots(*pool) / total;
                }
            }
        }
        room
    }

    /// The regions that callers of a host may be sent to; `None` for all. The caller's own is always among them.
    ///
    /// A look-up does not tell the path. The homes of its routes count once requests come on such routes, or, before
    /// any came, where most of the host's routes have homes.
    fn allowed_regions(&self, host: &str, zone: &ZoneId) -> Option<BTreeSet<RegionId>> {
        let routes = self.routes.as_ref()?.of_host(host);
        let homed = routes.iter().filter(|it| !it.homes.is_empty());
        let count = homed.clone().count();
        let bound = match self.homed.get(host) {
            Some(seen) if HOMED_SAMPLE <= seen.all => HOMED_SHARE * seen.all <= seen.homed,
            _ => routes.len() < 2 * count,
        };
        if !bound {
            return None;
        }
        let mut allowed: Option<BTreeSet<RegionId>> = None;
        for route in homed {
            allowed = Some(match allowed {
                None => route.homes.clone(),
                Some(it) => it.intersection(&route.homes).cloned().collect(),
            });
        }
        let mut allowed = allowed?;
        allowed.extend(self.topology.zones.get(zone).cloned());
        Some(allowed)
    }

    /// This VM's id.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }
}
