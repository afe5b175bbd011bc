//! Table of the backend servers that one entry VM may use.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::Rng;
use th_protocol::{
    AttemptId, BackendId, Bundle, Connections, LeavingNotice, LoadReport, Millis, Permille,
    Service, ServiceId, Slots, Time, ZoneId,
};

use super::{
    BackendSettings, Drain, Generation, Health, Outcome, Pool,
    candidate::{Candidate, sample_cheapest},
};

/// Assumed latency of a server without own outcomes.
const UNKNOWN_LATENCY: Millis = Millis(10);

#[derive(Debug)]
struct Row {
    service: ServiceId,
    address: SocketAddr,
    /// Slots that this VM may use.
    slots: Slots,
    /// Connections that this VM may open.
    connections: Connections,
    /// Slots in use by this VM.
    busy: u32,
    health: Health,
    drain: Drain,
    pool: Pool,
    last_probe: Option<Time>,
    /// Whether the VM list has ever had the server.
    listed: bool,
    /// Whether [`Backends::take_leaving_update`] has reported that the server is leaving.
    announced: bool,
}

#[derive(Debug)]
struct Attempt {
    backend: BackendId,
    generation: Generation,
}

/// The backend server chosen for a request, with one of its slots taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The attempt that holds the slot.
    pub attempt: AttemptId,
    /// The server.
    pub backend: BackendId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The pool of connections to use.
    pub generation: Generation,
}

/// Why no server can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The service has no server here that may take requests.
    NoBackend,
    /// Some servers may take requests, but every slot or connection allowed to this VM is in use.
    NoSlot,
}

/// The backend servers of the data centres that this VM serves.
#[derive(Debug)]
pub struct Backends {
    settings: BackendSettings,
    zones: BTreeSet<ZoneId>,
    /// Every server of the last bundle, in all data centres.
    known_servers: Option<BTreeSet<BackendId>>,
    rows: BTreeMap<BackendId, Row>,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt: AttemptId,
}

impl Backends {
    /// Creates an empty table; attempt ids count up from `first`.
    pub fn new(settings: BackendSettings, zone: ZoneId, first: AttemptId) -> Backends {
        let zones = BTreeSet::from([zone]);
        let (rows, attempts) = (BTreeMap::new(), BTreeMap::new());
        Backends { settings, zones, known_servers: None, rows, attempts, next_attempt: first }
    }

    /// Sets the data centres whose servers are in the table from the next bundle on, and returns
    /// whether they changed.
    pub fn set_zones(&mut self, zones: BTreeSet<ZoneId>) -> bool {
        let changed = self.zones != zones;
        self.zones = zones;
        changed
    }

    /// Applies a bundle: adds new servers, without an allowance, and updates the others. A server
    /// that is new in this bundle starts cold. Servers of the first bundle or of a data centre that
    /// is adopted have been in use and start warm. A server that is no longer in the bundle is
    /// leaving, and is removed once it has no request in flight.
    pub fn on_bundle(&mut self, bundle: &Bundle, now: Time) {
        let mut present = BTreeMap::new();
        for (service, spec) in &bundle.services {
            for (id, backend) in &spec.backends {
                if self.zones.contains(&backend.zone) {
                    present.insert(id, (service, backend));
                }
            }
        }
        for (id, row) in &mut self.rows {
            if !present.contains_key(id) {
                row.drain.on_bundle(bundle.version, true, now);
            }
        }
        let known = self.known_servers.replace(all_servers(bundle));
        for (id, (service, backend)) in present {
            let was_known = known.as_ref().is_none_or(|it| it.contains(id));
            let health = if was_known { Health::warm } else { Health::new };
            let row = self.rows.entry(id.clone()).or_insert_with(|| Row {
                service: service.clone(),
                address: backend.address,
                slots: Slots::ZERO,
                connections: Connections::ZERO,
                busy: 0,
                health: health(self.settings.health.clone(), now),
                drain: Drain::default(),
                pool: Pool::new(self.settings.pool.clone()),
                last_probe: None,
                listed: false,
                announced: false,
            });
            if row.address != backend.address {
                row.address = backend.address;
                row.pool.retire(row.pool.current());
            }
            row.service = service.clone();
            row.drain.on_bundle(bundle.version, backend.leaving, now);
        }
        for row in self.rows.values_mut() {
            update_idle(row, now);
        }
        self.rows.retain(|id, row| {
            let zone_of = |spec: &Service| spec.backends.get(id).map(|it| it.zone.clone());
            let zone = bundle.services.values().find_map(zone_of);
            zone.is_some_and(|it| self.zones.contains(&it)) || row.busy != 0
        });
    }

    /// Sets how many slots and connections of a server this VM may use.
    pub fn set_allowance(&mut self, backend: &BackendId, slots: Slots, connections: Connections) {
        let Some(row) = self.rows.get_mut(backend) else { return };
        row.slots = slots;
        row.connections = connections;
        row.pool.shrink(connections);
    }

    /// Sets how many slots and connections of every server this VM may use. Servers that are not
    /// in `allowances` may not be used.
    pub fn set_allowances(&mut self, allowances: &BTreeMap<BackendId, (Slots, Connections)>) {
        for (id, row) in &mut self.rows {
            let (slots, connections) = allowances.get(id).copied().unwrap_or_default();
            row.slots = slots;
            row.connections = connections;
            row.pool.shrink(connections);
        }
    }

    /// Chooses a server and takes one of its slots. A request that is not `idempotent` may use only
    /// some connections, see [`Pool::may_use`].
    pub fn choose(
        &mut self,
        service: &ServiceId,
        idempotent: bool,
        now: Time,
        rng: &mut impl Rng,
    ) -> Result<Choice, Rejection> {
        let ignore_ejections = self.ignores_ejections(service);
        let mut candidates = Vec::new();
        let mut usable = false;
        for (id, row) in &self.rows {
            if row.service != *service || row.drain.leaving() {
                continue;
            }
            if row.health.is_backing_off(now)
                || (row.health.ejected_until().is_some() && !ignore_ejections)
            {
                continue;
            }
            usable = true;
            if let Some(candidate) = candidate(id, row, now) {
                candidates.push(candidate);
            }
        }
        while let Some(id) = sample_cheapest(&candidates, self.settings.samples, rng) {
            if let Some(choice) = self.take_slot(&id, idempotent, now) {
                return Ok(choice);
            }
            candidates.retain(|candidate| candidate.id != id);
        }
        Err(if usable { Rejection::NoSlot } else { Rejection::NoBackend })
    }

    /// Returns whether a server has a free slot for a request of the service.
    pub fn has_slot(&self, service: &ServiceId, now: Time) -> bool {
        let ignore_ejections = self.ignores_ejections(service);
        for (id, row) in &self.rows {
            if row.service != *service || row.drain.leaving() || row.health.is_backing_off(now) {
                continue;
            }
            if row.health.ejected_until().is_some() && !ignore_ejections {
                continue;
            }
            if candidate(id, row, now).is_some() {
                return true;
            }
        }
        false
    }

    /// Returns when the first backoff of the service's servers ends, for the Retry-After header.
    pub fn backoff_until(&self, service: &ServiceId, now: Time) -> Option<Time> {
        let mut first: Option<Time> = None;
        for row in self.rows.values() {
            if row.service != *service || row.drain.leaving() {
                continue;
            }
            let Some(until) = row.health.backoff_until(now) else { continue };
            first = Some(first.map_or(until, |old| old.min(until)));
        }
        first
    }

    /// Ends an attempt and releases its slot. Returns false if the attempt is not known.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        latency: Millis,
        now: Time,
    ) -> bool {
        let Some(Attempt { backend, generation }) = self.attempts.remove(&attempt) else {
            return false;
        };
        let Some(row) = self.rows.get_mut(&backend) else { return false };
        row.busy = row.busy.saturating_sub(1);
        row.health.on_outcome(outcome, latency, now);
        if outcome.is_progress() {
            row.pool.on_progress(generation, now);
        }
        if matches!(outcome, Outcome::Timeout | Outcome::Cut | Outcome::ConnectFailed) {
            row.pool.retire(generation);
        }
        row.pool.release(generation);
        update_idle(row, now);
        true
    }

    /// Records that an attempt has made no progress since `last`. Returns whether this retired its
    /// generation of connections.
    pub fn on_stall(&mut self, attempt: AttemptId, last: Time, now: Time) -> bool {
        let Some(attempt) = self.attempts.get(&attempt) else { return false };
        let Some(row) = self.rows.get_mut(&attempt.backend) else { return false };
        let retired = row.pool.on_stall(attempt.generation, last, now);
        if retired {
            row.health.on_stall(now);
        }
        retired
    }

    /// Applies a load report, the answer to a request that was sent at `requested`.
    pub fn on_report(
        &mut self,
        backend: &BackendId,
        report: LoadReport,
        requested: Time,
        now: Time,
    ) {
        let Some(row) = self.rows.get_mut(backend) else { return };
        row.drain.on_server_report(report.leaving, requested, now);
        row.health.on_report(report, now);
        update_idle(row, now);
    }

    /// Records that the server announced in the header of an answer that it is leaving.
    pub fn on_leaving(&mut self, backend: &BackendId, now: Time) {
        let Some(row) = self.rows.get_mut(backend) else { return };
        row.drain.on_server_report(true, now, now);
        update_idle(row, now);
    }

    /// Applies the platform's list of VMs, which maps each server to whether it is live. A server
    /// that was listed before and no longer is counts as leaving.
    pub fn on_vm_list(&mut self, list: &BTreeMap<BackendId, bool>, now: Time) {
        for (id, row) in &mut self.rows {
            let live = list.get(id).copied();
            if live.is_none() && !row.listed {
                continue;
            }
            row.listed = true;
            row.drain.on_vm_list(live.unwrap_or(false), now);
            update_idle(row, now);
        }
    }

    /// Applies evidence that a peer passed on.
    pub fn on_notice(&mut self, notice: &LeavingNotice, now: Time) {
        let Some(row) = self.rows.get_mut(&notice.backend) else { return };
        row.drain.on_notice(notice.source, notice.age, now);
        update_idle(row, now);
    }

    /// Returns the evidence to send with heartbeats, at most `limit` notices, the most recent
    /// first.
    pub fn notices(&self, limit: usize, now: Time) -> Vec<LeavingNotice> {
        let mut notices = Vec::new();
        for (id, row) in &self.rows {
            for (source, seen) in row.drain.notices(now) {
                let age = now.since(seen);
                notices.push(LeavingNotice { backend: id.clone(), source, age });
            }
        }
        notices.sort_by_key(|notice| notice.age);
        notices.truncate(limit);
        notices
    }

    /// Returns whether a server has started to leave since the last call, which must be announced
    /// to peers at once.
    pub fn take_leaving_update(&mut self) -> bool {
        let mut update = false;
        for row in self.rows.values_mut() {
            let leaving = row.drain.leaving();
            update |= leaving && !row.announced;
            row.announced = leaving;
        }
        update
    }

    /// Applies the result of a probe of a server's health endpoint.
    pub fn on_probe(&mut self, backend: &BackendId, passed: bool, now: Time) {
        let Some(row) = self.rows.get_mut(backend) else { return };
        row.health.on_probe(passed, now);
    }

    /// Returns the servers to probe now: those whose ejection period has ended and those without a
    /// recent own outcome.
    pub fn due_probes(&mut self, now: Time) -> Vec<(BackendId, SocketAddr)> {
        let vm_count = u64::from(self.settings.vm_count.max(1));
        let interval = Millis(self.settings.probe_interval.0.saturating_mul(vm_count));
        let mut due = Vec::new();
        for (id, row) in &mut self.rows {
            if row.last_probe.is_some_and(|at| now.since(at) < interval) {
                continue;
            }
            let wanted = match row.health.ejected_until() {
                Some(until) => until <= now,
                None => row.health.outcome_age(now).is_none_or(|age| interval <= age),
            };
            if !wanted {
                continue;
            }
            row.last_probe = Some(now);
            due.push((id.clone(), row.address));
        }
        due
    }

    /// Returns the drain state of a server.
    pub fn drain(&self, backend: &BackendId) -> Option<&Drain> {
        self.rows.get(backend).map(|row| &row.drain)
    }

    /// Returns the health of a server.
    pub fn health(&self, backend: &BackendId) -> Option<&Health> {
        self.rows.get(backend).map(|row| &row.health)
    }

    /// Returns the connection pools of a server.
    pub fn pool(&self, backend: &BackendId) -> Option<&Pool> {
        self.rows.get(backend).map(|row| &row.pool)
    }

    /// Returns how many slots of a server this VM uses.
    pub fn busy(&self, backend: &BackendId) -> Slots {
        Slots(self.rows.get(backend).map_or(0, |row| row.busy))
    }

    /// Returns each server and whether it is leaving.
    pub fn states(&self) -> impl Iterator<Item = (&BackendId, bool)> {
        self.rows.iter().map(|(id, row)| (id, row.drain.leaving()))
    }

    fn take_slot(&mut self, id: &BackendId, idempotent: bool, now: Time) -> Option<Choice> {
        let row = self.rows.get_mut(id)?;
        let generation = row.pool.take(idempotent, row.connections, now)?;
        row.busy += 1;
        let attempt = self.next_attempt;
        self.next_attempt = attempt.plus(AttemptId(1));
        self.attempts.insert(attempt, Attempt { backend: id.clone(), generation });
        Some(Choice { attempt, backend: id.clone(), address: row.address, generation })
    }

    /// Returns whether so many servers of the service are ejected that ejections must be ignored
    /// (panic mode).
    fn ignores_ejections(&self, service: &ServiceId) -> bool {
        let (mut all, mut available) = (0u64, 0u64);
        for row in self.rows.values() {
            if row.service != *service || row.drain.leaving() {
                continue;
            }
            all += 1;
            available += u64::from(row.health.ejected_until().is_none());
        }
        available * 1000 < all * u64::from(self.settings.panic_threshold.0)
    }
}

fn all_servers(bundle: &Bundle) -> BTreeSet<BackendId> {
    let mut all = BTreeSet::new();
    for service in bundle.services.values() {
        all.extend(service.backends.keys().cloned());
    }
    all
}

fn update_idle(row: &mut Row, now: Time) {
    if row.busy == 0 {
        row.drain.on_idle(now);
    }
}

/// Returns the server as a candidate if it has a free slot.
fn candidate(id: &BackendId, row: &Row, now: Time) -> Option<Candidate> {
    let share = row.health.warm_share(now);
    let warm = share.of(u64::from(row.slots.0)).max(1).min(u64::from(row.slots.0));
    let free = warm.saturating_sub(u64::from(row.busy));
    if free == 0 {
        return None;
    }
    let latency = row.health.latency().unwrap_or(UNKNOWN_LATENCY).0.max(1);
    let load = row.health.reported_load(now).unwrap_or(Permille::ZERO);
    let used = (u64::from(row.busy) + 1) * 1000 / warm;
    let cost = latency.saturating_mul(used).saturating_mul(1000 + u64::from(load.0));
    // One request at a time finds out whether an old latency still holds.
    let halvings = if row.busy == 0 { row.health.latency_halvings(now) } else { 0 };
    let cost = cost >> halvings;
    Some(Candidate { id: id.clone(), free: Slots(free as u32), cost })
}
