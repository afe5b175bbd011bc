//! Where a request goes next.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use th_protocol::{
    MemberState, Millis, Notice, PeerRecord, Permille, Reason, RegionId, Slots, Time, ZoneId,
};

use super::{Call, Engine, Peer, Placement, Run, Wake, notices};
use crate::{
    backend::Rejection,
    limit::{CapId, Rejection as CapRejection},
    queue::QueuedRequest,
    retry::remaining,
};

/// Stands for the latency of a service of which none is known.
const UNKNOWN_SERVICE: Millis = Millis(20);
/// When a request that nothing is known about may come back.
const USUAL_RETRY: Millis = Millis(1_000);

/// Data centres that may refuse a request before it is tried nowhere else.
const MAX_REFUSALS: usize = 2;

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiter {
    pub(crate) number: u64,
    pub(crate) call: Call,
    pub(crate) idempotent: bool,
}

/// Why a request cannot run at a place.
#[derive(Debug, Clone, Copy)]
struct Obstacle {
    reason: Reason,
    retry: Millis,
}

impl From<CapRejection> for Obstacle {
    fn from(it: CapRejection) -> Obstacle {
        Obstacle { reason: it.reason, retry: it.retry_after }
    }
}

impl<A: Clone> Engine<A> {
    /// Decides where a request goes: to a backend server here, to another data centre of this
    /// region, into the queue, to another region, or nowhere.
    pub fn place(&mut self, run: &mut Run, now: Time) -> Placement {
        let Some(left) = remaining(run.call.deadline, now) else {
            return self.no_place(&run.call, Reason::Deadline, USUAL_RETRY, now);
        };
        let waiting = self.queues.get(&run.call.service).is_some_and(|it| !it.is_empty());
        let mut here = Obstacle { reason: Reason::NoSlot, retry: USUAL_RETRY };
        if !waiting || run.call.forwarded {
            match self.place_here(&run.call, run.spec.idempotent, left, now) {
                Ok(place) => return place,
                Err(it) => here = it,
            }
        }
        if run.call.forwarded {
            return self.no_place(&run.call, here.reason, here.retry, now);
        }
        let elsewhere = match self.place_elsewhere(run, now) {
            Ok(place) => return place,
            Err(it) => it,
        };
        if self.frees_up(here, now) {
            return self.enqueue(run, now);
        }
        let binding = elsewhere.unwrap_or(here);
        self.no_place(&run.call, binding.reason, binding.retry, now)
    }

    /// A backend server of this data centre for a second try of a slow request.
    pub fn place_hedge(&mut self, run: &Run, now: Time) -> Option<Placement> {
        let left = remaining(run.call.deadline, now)?;
        self.place_here(&run.call, run.spec.idempotent, left, now).ok()
    }

    /// The region that this VM is in.
    pub fn region(&self) -> Option<&RegionId> {
        self.capacity.region()
    }

    fn no_place(&mut self, call: &Call, reason: Reason, retry: Millis, now: Time) -> Placement {
        let notice = notices::refused(reason, retry);
        self.explain_refusal(call, &notice, now);
        Placement::Reject(notice)
    }

    /// A backend server of this data centre, with a slot taken.
    fn place_here(
        &mut self,
        call: &Call,
        idempotent: bool,
        left: Millis,
        now: Time,
    ) -> Result<Placement, Obstacle> {
        let limit = match self.capacity.room(&call.service, left, now) {
            Ok(limit) => limit,
            Err(_) if self.capacity.holdings(now).is_empty() => {
                return Err(Obstacle { reason: Reason::NoSlot, retry: USUAL_RETRY });
            }
            Err(_) => return Err(Obstacle { reason: Reason::RegionCap, retry: USUAL_RETRY }),
        };
        let chosen = self.backends.choose(&call.service, idempotent, now, &mut self.rng);
        let choice = match chosen {
            Ok(choice) => choice,
            Err(Rejection::NoBackend) => {
                let rest = self.backends.backoff_until(&call.service, now);
                let retry = rest.map_or(USUAL_RETRY, |until| until.since(now));
                return Err(Obstacle { reason: Reason::NoBackend, retry });
            }
            Err(Rejection::NoSlot) => {
                let retry = self.usual_time(call);
                return Err(Obstacle { reason: Reason::NoSlot, retry });
            }
        };
        let taken = self.capacity.acquire(choice.attempt, &call.service, &choice.backend, limit);
        taken.expect("the room was checked in the same step");
        Ok(Placement::Backend(choice))
    }

    fn usual_time(&self, call: &Call) -> Millis {
        self.retry.hedge_after(&call.service).unwrap_or(UNKNOWN_SERVICE)
    }

    /// An entry VM of another data centre: in this region first, then where the cap on shifts and
    /// the link let it go. `None` where there is no other with room.
    fn place_elsewhere(&mut self, run: &mut Run, now: Time) -> Result<Placement, Option<Obstacle>> {
        let Some(home) = self.capacity.region().cloned() else {
            return Err(None);
        };
        if MAX_REFUSALS <= run.rejected_by.len() {
            return Err(None);
        }
        let mut binding = None;
        for (zone, region) in self.zones_with_room(run, &home, now) {
            let Some(record) = self.live_entry(&zone) else {
                continue;
            };
            if let Err(it) = self.may_cross(run, &home, &region, now) {
                binding = Some(it);
                continue;
            }
            let charge = match self.capacity.charge(&region, run.call.size, now) {
                Ok(charge) => charge,
                Err(it) => {
                    binding = Some(it.into());
                    continue;
                }
            };
            let (vm, address) = (record.vm, record.address);
            return Ok(Placement::Peer(Peer { vm, zone, region, address, charge }));
        }
        Err(binding)
    }

    fn may_cross(
        &mut self,
        run: &Run,
        home: &RegionId,
        region: &RegionId,
        now: Time,
    ) -> Result<(), Obstacle> {
        if home == region {
            return Ok(());
        }
        let Some(routing) = &mut self.routing else {
            return Ok(());
        };
        Ok(routing.try_move(&run.call.service, home, region, now)?)
    }

    /// Data centres that serve the service and were lately seen with room, this region's first,
    /// then those with the most room.
    fn zones_with_room(&self, run: &Run, home: &RegionId, now: Time) -> Vec<(ZoneId, RegionId)> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let Some(service) = bundle.services.get(&run.call.service) else {
            return Vec::new();
        };
        let mut free: BTreeMap<ZoneId, Permille> = BTreeMap::new();
        for digest in self.headroom.digests(now) {
            if digest.age < self.settings.digest {
                free.insert(digest.zone, digest.free);
            }
        }
        let mut zones = Vec::new();
        for (zone, spec) in &bundle.zones {
            let target = service.regions.get(&spec.region);
            let serves = service.backends.values().any(|it| it.zone == *zone && !it.leaving);
            if run.rejected_by.contains(zone) || !serves || target.is_none_or(|it| it.weight == 0) {
                continue;
            }
            // Another VM of this data centre may own the shard that this one lacks.
            let own = *zone == self.me.zone;
            if own && !self.capacity.holdings(now).is_empty() {
                continue;
            }
            let room = free.get(zone).copied().unwrap_or(Permille::ZERO);
            if room == Permille::ZERO {
                continue;
            }
            zones.push((spec.region != *home, std::cmp::Reverse(room), zone, &spec.region));
        }
        zones.sort();
        zones.into_iter().map(|(_, _, zone, region)| (zone.clone(), region.clone())).collect()
    }

    /// A live entry VM of a data centre, at random.
    fn live_entry(&mut self, zone: &ZoneId) -> Option<PeerRecord> {
        let mut live = Vec::new();
        for record in self.members.records() {
            if record.zone == *zone && record.state == MemberState::Live {
                live.push(record);
            }
        }
        live.choose(&mut self.rng).map(|it| (*it).clone())
    }

    /// Whether what stands in a request's way here is the work of other requests, which ends.
    fn frees_up(&self, obstacle: Obstacle, now: Time) -> bool {
        let busy = matches!(obstacle.reason, Reason::NoSlot | Reason::RegionCap);
        busy && !self.capacity.holdings(now).is_empty()
    }

    /// Lets a request wait for a slot here.
    fn enqueue(&mut self, run: &Run, now: Time) -> Placement {
        let usual = self.usual_time(&run.call);
        let slots = self.service_slots(run, now);
        self.waiters += 1;
        let item = Waiter {
            number: self.waiters,
            call: run.call.clone(),
            idempotent: run.spec.idempotent,
        };
        let request = QueuedRequest {
            customer: run.call.customer.clone(),
            deadline: run.call.deadline,
            service_time: usual,
            tail_latency: usual,
            size: run.call.size,
            item,
        };
        let Some(queue) = self.queues.get_mut(&run.call.service) else {
            return self.no_place(&run.call, Reason::NoService, USUAL_RETRY, now);
        };
        let pushed = queue.push(request, slots, now);
        let number = self.waiters;
        for it in pushed.evicted {
            self.wake_refused(it.item, it.reason, it.retry_after, now);
        }
        match pushed.outcome {
            Ok(_) => Placement::Queued(number),
            Err(it) => self.no_place(&run.call, it.reason, it.retry_after, now),
        }
    }

    /// Slots of the service that this VM may use.
    fn service_slots(&self, run: &Run, now: Time) -> Slots {
        let Some(region) = self.capacity.region() else {
            return Slots::ZERO;
        };
        let id = CapId::Service(run.call.service.clone(), region.clone());
        Slots(self.capacity.spendable(&id, Millis::ZERO, now) as u32)
    }

    fn wake_refused(&mut self, waiter: Waiter, reason: Reason, retry: Millis, now: Time) {
        let place = self.no_place(&waiter.call, reason, retry, now);
        self.wakes.push(Wake { waiter: waiter.number, place });
    }

    /// Gives free slots to requests that wait, and refuses those that can no longer finish in time.
    pub(crate) fn serve_queues(&mut self, now: Time) {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve_queue(&service, now);
        }
    }

    pub(crate) fn serve_queue(&mut self, service: &th_protocol::ServiceId, now: Time) {
        loop {
            let Some(queue) = self.queues.get_mut(service) else {
                return;
            };
            for it in queue.expire(now) {
                self.wake_refused(it.item, it.reason, it.retry_after, now);
            }
            if !self.has_slot(service, now) {
                return;
            }
            let Some(queue) = self.queues.get_mut(service) else {
                return;
            };
            let Some(request) = queue.pop(now).next else {
                return;
            };
            let Waiter { number, call, idempotent } = request.item;
            let left = call.deadline.since(now);
            let place = match self.place_here(&call, idempotent, left, now) {
                Ok(place) => place,
                Err(it) => self.no_place(&call, it.reason, it.retry, now),
            };
            self.wakes.push(Wake { waiter: number, place });
        }
    }

    /// Whether one more request of the service could run here now.
    fn has_slot(&mut self, service: &th_protocol::ServiceId, now: Time) -> bool {
        let span = self.queues.get(service).map_or(Millis::ZERO, |_| USUAL_RETRY);
        self.capacity.room(service, span, now).is_ok() && self.backends.has_slot(service, now)
    }

    /// The final answer to a request whose wait must end because this VM stops.
    pub fn reject_waiter(&mut self, call: &Call, now: Time) -> Notice {
        let notice = notices::not_run(Reason::Stopping);
        self.explain_refusal(call, &notice, now);
        notice
    }
}
