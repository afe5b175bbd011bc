//! The cost of running a request at a backend server, and the choice of the cheapest server.
//!
//! Handles objects that are warm at few backend servers, where serving all requests cold would need more slots than
//! there are. Each object has a few preferred servers in each pool (a data centre, or a region if a data centre cannot
//! keep all objects warm); requests leave their pool only when it has no usable server.

use std::collections::BTreeMap;

use th_protocol::{Millis, Time};

use super::{
    job::Job,
    settings::DispatchSettings,
    table::{BackendTable, RowId},
    work::WorkTimes,
};
use crate::route::mix;

/// Factor on the cost of cold work at a server that is not preferred for the object, because it evicts another object.
const EVICTION_FACTOR: f64 = 2.0;
/// Cost in milliseconds of each rank in an object's order of backend servers, so that equal servers are used in order.
const RANK_COST_MS: f64 = 1.0;
/// Cost of each rank where an object is cold, as a fraction of the cold work. It exceeds the random differences between
/// measured server times, so that VMs warm the same servers without coordination.
const COLD_RANK_FACTOR: f64 = 0.25;

/// Inputs of the cost estimate besides the request and the backend servers.
pub(crate) struct CostInputs<'a> {
    pub(crate) settings: &'a DispatchSettings,
    pub(crate) work: &'a WorkTimes,
    /// Number of objects of the service that were requested recently.
    pub(crate) objects: usize,
    pub(crate) now: Time,
}

/// A pool of backend servers that may run a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) backends: Vec<RowId>,
    /// Cost of sending a request there.
    pub(crate) distance: Millis,
    /// Whether the pool is in another region.
    pub(crate) cross_region: bool,
    /// Whether the pool mainly serves other VMs, so that only an object's preferred servers there are used, and these
    /// are assumed to have it warm.
    pub(crate) foreign: bool,
}

/// A backend server that may run a request.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) row: RowId,
    /// Expected milliseconds until the answer, plus the costs of distance and eviction.
    pub(crate) cost: f64,
    /// Expected milliseconds of waiting for a slot.
    pub(crate) wait: f64,
    /// Expected milliseconds of work.
    pub(crate) work: f64,
    pub(crate) warm: bool,
    /// Whether it has a free slot now.
    pub(crate) free: bool,
    pub(crate) cross_region: bool,
}

/// Numbers of waiting requests, by the backend server for which each waits and by rank.
#[derive(Debug, Default)]
pub(crate) struct WaitCounts {
    counts: BTreeMap<RowId, BTreeMap<u32, u32>>,
}

impl WaitCounts {
    pub(crate) fn add(&mut self, row: RowId, rank: u32) {
        *self.counts.entry(row).or_default().entry(rank).or_default() += 1;
    }

    /// Number of requests that are served before a new request of the rank.
    pub(crate) fn ahead(&self, row: RowId, rank: u32) -> u32 {
        self.counts.get(&row).map_or(0, |it| it.range(..=rank).map(|(_, count)| count).sum())
    }
}

/// The number of preferred backend servers of an object in a pool.
pub(crate) fn preferred_count(
    backends: usize,
    objects: usize,
    settings: &DispatchSettings,
) -> usize {
    (settings.warm_objects * backends / objects.max(1)).clamp(1, backends.max(1))
}

/// The pool's backend servers in an object's order of preference. Rendezvous hashing keeps the order of most objects
/// when servers are added or removed.
pub(crate) fn rank_backends(object: Option<u64>, pool: &Pool, rows: &BackendTable) -> Vec<RowId> {
    let Some(object) = object else {
        return pool.backends.clone();
    };
    let mut order: Vec<(u64, RowId)> = Vec::with_capacity(pool.backends.len());
    for id in &pool.backends {
        if let Some(row) = rows.get(*id) {
            order.push((mix(row.hash ^ object), *id));
        }
    }
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, id)| id).collect()
}

/// Returns the cheapest backend server of a pool, regardless of whether it has a free slot.
pub(crate) fn cheapest(
    job: &Job,
    pool: &Pool,
    rows: &mut BackendTable,
    wait_counts: &WaitCounts,
    inputs: &CostInputs<'_>,
) -> Option<Candidate> {
    let (route, settings, now) = (&job.route, inputs.settings, inputs.now);
    let object = job.object.filter(|_| route.sticky);
    let cold = inputs.work.expected(&route.name, false, route.objective);
    let warm = inputs.work.expected(&route.name, true, route.objective);
    let preferred_count = preferred_count(pool.backends.len(), inputs.objects, settings);
    let mut best: Option<Candidate> = None;
    for (rank, id) in rank_backends(object, pool, rows).into_iter().enumerate() {
        let is_preferred = object.is_none() || rank < preferred_count;
        if pool.foreign && !is_preferred {
            break;
        }
        let Some(row) = rows.get_mut(id) else {
            continue;
        };
        // Requests do not wait for a cold server's rate.
        if row.is_paused(now) {
            continue;
        }
        let is_warm = object.is_some_and(|it| pool.foreign || row.warm.contains(it));
        let slowdown = row.slowdown(now);
        let work = if is_warm { warm } else { cold } * slowdown;
        let slot =
            row.estimate_slot(wait_counts.ahead(id, job.rank()), warm * slowdown, settings, now);
        let rank_cost =
            if is_warm || object.is_none() { RANK_COST_MS } else { cold * COLD_RANK_FACTOR };
        let mut cost = slot.wait + work + pool.distance.0 as f64 + rank_cost * rank as f64;
        if !is_warm && !is_preferred {
            cost += cold * EVICTION_FACTOR;
        }
        if row.is_unresponsive(now) {
            cost += cold;
        }
        // Without a probe, a new server or one that has failed would never be warm enough to be chosen. Only an object
        // that prefers the server above all others probes it: the work is not lost, because the object stays there.
        let is_first = object.is_none() || rank == 0;
        if row.needs_probe(now) && slot.free && is_first && route.idempotent && !pool.foreign {
            cost = 0.0;
        }
        if best.as_ref().is_some_and(|it| it.cost <= cost) {
            continue;
        }
        best = Some(Candidate {
            row: id,
            cost,
            wait: slot.wait,
            work,
            warm: is_warm,
            free: slot.free,
            cross_region: pool.cross_region,
        });
    }
    best
}

/// Converts a cost to whole milliseconds.
pub(crate) fn millis(value: f64) -> Millis {
    Millis(value.clamp(0.0, 1e9) as u64)
}
