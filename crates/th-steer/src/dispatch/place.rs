//! The cost of running a request at a backend server, and the choice of the cheapest.
//!
//! Pattern answered: objects that are warm at few backend servers, with more cold work than there are slots.

use std::collections::BTreeMap;

use th_protocol::{BackendId, Millis, RegionId, Time, ZoneId};

use super::{backend::BackendRow, job::Job, settings::DispatchSettings, work::WorkTimes};
use crate::route::mix;

/// Cold work away from an object's own backend servers displaces another object, so it counts this many times.
const DISPLACE: f64 = 2.0;

/// What the choice depends on beside the request and the backend servers.
pub(crate) struct Scene<'a> {
    pub(crate) settings: &'a DispatchSettings,
    pub(crate) work: &'a WorkTimes,
    pub(crate) zone: &'a ZoneId,
    pub(crate) region: Option<&'a RegionId>,
    /// Objects of the service that were lately asked for.
    pub(crate) objects: usize,
    /// Whether requests may be sent to other regions now.
    pub(crate) away: bool,
    pub(crate) now: Time,
}

/// A backend server that may run a request.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) backend: BackendId,
    /// Expected milliseconds until the answer, with costs of distance and displacement.
    pub(crate) cost: f64,
    /// Expected milliseconds of waiting for a slot.
    pub(crate) wait: f64,
    /// Expected milliseconds of work.
    pub(crate) work: f64,
    pub(crate) warm: bool,
    /// Whether it has a free slot now.
    pub(crate) free: bool,
    pub(crate) remote: bool,
}

/// The rank of each backend server for an object, by rendezvous hashing: few objects move when servers come or go.
fn ranks(object: u64, rows: &[&BackendRow]) -> BTreeMap<BackendId, usize> {
    let mut order: Vec<(u64, &BackendId)> = Vec::with_capacity(rows.len());
    for row in rows {
        order.push((mix(row.hash ^ object), &row.record.id));
    }
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().enumerate().map(|(rank, (_, id))| (id.clone(), rank)).collect()
}

/// The backend servers among which an object has its own: those of the data centre if they can keep all objects warm,
/// else those of the region, else all.
fn keepers<'a>(rows: &[&'a BackendRow], scene: &Scene<'_>) -> (Vec<&'a BackendRow>, usize) {
    let room = |rows: &[&BackendRow]| scene.settings.warm_objects * rows.len();
    let local: Vec<_> = rows.iter().copied().filter(|it| it.record.zone == *scene.zone).collect();
    let region: Vec<_> =
        rows.iter().copied().filter(|it| it.region.as_ref() == scene.region).collect();
    let chosen = if scene.objects <= room(&local) && !local.is_empty() {
        local
    } else if !region.is_empty() {
        region
    } else {
        rows.to_vec()
    };
    let copies = (room(&chosen) / scene.objects.max(1)).clamp(1, chosen.len().max(1));
    (chosen, copies)
}

/// The cheapest backend server for a request, whether it has a free slot or not. `heading` counts the requests that
/// wait for each server ahead of this one.
pub(crate) fn cheapest(
    job: &Job,
    rows: &mut BTreeMap<BackendId, BackendRow>,
    usable: &[BackendId],
    heading: &BTreeMap<BackendId, u32>,
    rate: f64,
    scene: &Scene<'_>,
) -> Option<Candidate> {
    let route = &job.route;
    let cold = scene.work.expected(&route.name, false, route.objective);
    let warm = scene.work.expected(&route.name, true, route.objective);
    let mut own: BTreeMap<BackendId, usize> = BTreeMap::new();
    let mut copies = usize::MAX;
    if let Some(object) = job.object.filter(|_| route.sticky) {
        let listed: Vec<&BackendRow> = usable.iter().filter_map(|it| rows.get(it)).collect();
        let (keepers, count) = keepers(&listed, scene);
        own = ranks(object, &keepers);
        copies = count;
    }
    let mut best: Option<Candidate> = None;
    for id in usable {
        let Some(row) = rows.get_mut(id) else {
            continue;
        };
        let remote = row.region.as_ref() != scene.region;
        if remote && !scene.away {
            continue;
        }
        let is_warm = job.object.is_some_and(|it| route.sticky && row.warm.contains(it));
        let is_own = copies == usize::MAX || own.get(id).is_some_and(|rank| *rank < copies);
        let work = if is_warm { warm } else { cold } * row.effort(scene.now);
        let load = row.load(scene.settings, scene.now) + heading.get(id).copied().unwrap_or(0);
        let slots = row.record.slots.0.max(1);
        let full = slots <= load;
        let wait = if full {
            f64::from(load - slots + 1) / f64::from(slots) * warm * row.effort(scene.now)
        } else {
            0.0
        };
        let paced = !row.is_cold(scene.now) || row.pace.is_open(rate, scene.now);
        let mut cost = wait + work;
        if !is_warm && !is_own {
            cost += cold * DISPLACE;
        }
        if remote {
            cost += scene.settings.region_cost.0 as f64;
        } else if row.record.zone != *scene.zone {
            cost += scene.settings.zone_cost.0 as f64;
        }
        if row.is_silent(scene.now) {
            cost += cold;
        }
        let candidate = Candidate {
            backend: id.clone(),
            cost,
            wait,
            work,
            warm: is_warm,
            free: !full && paced,
            remote,
        };
        // A cold server that takes no more now is no place to wait for.
        if !paced {
            continue;
        }
        if best.as_ref().is_none_or(|it| candidate.cost < it.cost) {
            best = Some(candidate);
        }
    }
    best
}

/// Whole milliseconds of a cost.
pub(crate) fn millis(value: f64) -> Millis {
    Millis(value.clamp(0.0, 1e9) as u64)
}
