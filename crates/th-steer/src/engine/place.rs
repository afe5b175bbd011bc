//! Placement of requests: at a backend server, at another entry VM or in the queue.

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

/// Latency assumed for a service without measurements.
const DEFAULT_LATENCY: Millis = Millis(20);
/// Retry delay suggested to the caller if no better estimate is known.
const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Number of data centres that may reject a request before it is sent to no further one.
const MAX_REJECTIONS: usize = 2;

/// A queued request that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiter {
    pub(crate) number: u64,
    pub(crate) call: Call,
    pub(crate) idempotent: bool,
}

/// Why a request cannot be placed somewhere.
#[derive(Debug, Clone, Copy)]
struct Obstacle {
    reason: Reason,
    retry_after: Millis,
}

impl From<CapRejection> for Obstacle {
    fn from(it: CapRejection) -> Obstacle {
        Obstacle { reason: it.reason, retry_after: it.retry_after }
    }
}

impl<A: Clone> Engine<A> {
    /// Decides where a request is sent. It tries the backend servers of this data centre, then other
    /// data centres of this region, then other regions, then the queue of this VM.
    pub fn place(&mut self, run: &mut Run, now: Time) -> Placement {
        let Some(time_left) = remaining(run.call.deadline, now) else {
            return self.reject_placement(&run.call, Reason::Deadline, DEFAULT_RETRY_AFTER, now);
        };
        let waiting = self.queues.get(&run.call.service).is_some_and(|it| !it.is_empty());
        let mut local = Obstacle { reason: Reason::NoSlot, retry_after: DEFAULT_RETRY_AFTER };
        if !waiting || run.call.forwarded {
            match self.place_local(&run.call, run.spec.idempotent, time_left, now) {
                Ok(place) => return place,
                Err(it) => local = it,
            }
        }
        if run.call.forwarded {
            return self.reject_placement(&run.call, local.reason, local.retry_after, now);
        }
        let remote = match self.place_remote(run, now) {
            Ok(place) => return place,
            Err(it) => it,
        };
        if self.will_free_up(local, now) {
            return self.enqueue(run, now);
        }
        let binding = remote.unwrap_or(local);
        self.reject_placement(&run.call, binding.reason, binding.retry_after, now)
    }

    /// Returns a backend server of this data centre for a hedged attempt.
    pub fn place_hedge(&mut self, run: &Run, now: Time) -> Option<Placement> {
        let time_left = remaining(run.call.deadline, now)?;
        self.place_local(&run.call, run.spec.idempotent, time_left, now).ok()
    }

    /// The region that this VM is in.
    pub fn region(&self) -> Option<&RegionId> {
        self.capacity.region()
    }

    fn reject_placement(
        &mut self,
        call: &Call,
        reason: Reason,
        retry_after: Millis,
        now: Time,
    ) -> Placement {
        let notice = notices::refused(reason, retry_after);
        self.explain_rejection(call, &notice, now);
        Placement::Reject(notice)
    }

    /// Chooses a backend server of this data centre and acquires a slot.
    fn place_local(
        &mut self,
        call: &Call,
        idempotent: bool,
        time_left: Millis,
        now: Time,
    ) -> Result<Placement, Obstacle> {
        let limit = match self.capacity.check_caps(&call.service, time_left, now) {
            Ok(limit) => limit,
            Err(_) if self.capacity.holdings(now).is_empty() => {
                return Err(Obstacle { reason: Reason::NoSlot, retry_after: DEFAULT_RETRY_AFTER });
            }
            Err(_) => {
                return Err(Obstacle {
                    reason: Reason::RegionCap,
                    retry_after: DEFAULT_RETRY_AFTER,
                });
            }
        };
        let chosen = self.backends.choose(&call.service, idempotent, now, &mut self.rng);
        let choice = match chosen {
            Ok(choice) => choice,
            Err(Rejection::NoBackend) => {
                let backoff = self.backends.backoff_until(&call.service, now);
                let retry_after = backoff.map_or(DEFAULT_RETRY_AFTER, |until| until.since(now));
                return Err(Obstacle { reason: Reason::NoBackend, retry_after });
            }
            Err(Rejection::NoSlot) => {
                let retry_after = self.expected_time(call);
                return Err(Obstacle { reason: Reason::NoSlot, retry_after });
            }
        };
        let taken = self.capacity.acquire(choice.attempt, &call.service, &choice.backend, limit);
        taken.expect("the caps were checked in the same step");
        Ok(Placement::Backend(choice))
    }

    fn expected_time(&self, call: &Call) -> Millis {
        self.retry.hedge_after(&call.service).unwrap_or(DEFAULT_LATENCY)
    }

    /// Chooses an entry VM of another data centre: in this region first, then in regions that the cap
    /// on shifts and the link's cap allow. The error is `None` if no other data centre has free
    /// capacity.
    fn place_remote(&mut self, run: &mut Run, now: Time) -> Result<Placement, Option<Obstacle>> {
        let Some(home) = self.capacity.region().cloned() else {
            return Err(None);
        };
        if MAX_REJECTIONS <= run.rejected_by.len() {
            return Err(None);
        }
        let mut binding = None;
        for (zone, region) in self.zones_with_capacity(run, &home, now) {
            let Some(record) = self.live_entry(&zone) else {
                continue;
            };
            if let Err(it) = self.charge_shift(run, &home, &region, now) {
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

    /// Charges a request that is sent to another region to the cap on shifts, or returns why it is not
    /// allowed. Nothing is charged within one region.
    fn charge_shift(
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

    /// Data centres that serve the service and have recently reported free capacity: this region's
    /// first, then by the largest free share.
    fn zones_with_capacity(
        &self,
        run: &Run,
        home: &RegionId,
        now: Time,
    ) -> Vec<(ZoneId, RegionId)> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let Some(service) = bundle.services.get(&run.call.service) else {
            return Vec::new();
        };
        let mut free: BTreeMap<ZoneId, Permille> = BTreeMap::new();
        for digest in self.headroom.digests(now) {
            if digest.age < self.settings.digest_age {
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
            // This data centre is considered only if this VM has no shard: another VM there may own one.
            let own = *zone == self.me.zone;
            if own && !self.capacity.holdings(now).is_empty() {
                continue;
            }
            let free_share = free.get(zone).copied().unwrap_or(Permille::ZERO);
            if free_share == Permille::ZERO {
                continue;
            }
            zones.push((spec.region != *home, std::cmp::Reverse(free_share), zone, &spec.region));
        }
        zones.sort();
        zones.into_iter().map(|(_, _, zone, region)| (zone.clone(), region.clone())).collect()
    }

    /// Chooses a live entry VM of a data centre at random.
    fn live_entry(&mut self, zone: &ZoneId) -> Option<PeerRecord> {
        let mut live = Vec::new();
        for record in self.members.records() {
            if record.zone == *zone && record.state == MemberState::Live {
                live.push(record);
            }
        }
        live.choose(&mut self.rng).map(|it| (*it).clone())
    }

    /// Whether the obstacle consists only of other requests in progress, so that waiting helps.
    fn will_free_up(&self, obstacle: Obstacle, now: Time) -> bool {
        let busy = matches!(obstacle.reason, Reason::NoSlot | Reason::RegionCap);
        busy && !self.capacity.holdings(now).is_empty()
    }

    /// Queues a request for a slot of this data centre.
    fn enqueue(&mut self, run: &Run, now: Time) -> Placement {
        let expected = self.expected_time(&run.call);
        let slots = self.service_slots(run, now);
        self.waiter_count += 1;
        let item = Waiter {
            number: self.waiter_count,
            call: run.call.clone(),
            idempotent: run.spec.idempotent,
        };
        let request = QueuedRequest {
            customer: run.call.customer.clone(),
            deadline: run.call.deadline,
            service_time: expected,
            tail_latency: expected,
            size: run.call.size,
            item,
        };
        let Some(queue) = self.queues.get_mut(&run.call.service) else {
            return self.reject_placement(&run.call, Reason::NoService, DEFAULT_RETRY_AFTER, now);
        };
        let pushed = queue.push(request, slots, now);
        let number = self.waiter_count;
        for it in pushed.evicted {
            self.wake_rejected(it.item, it.reason, it.retry_after, now);
        }
        match pushed.outcome {
            Ok(_) => Placement::Queued(number),
            Err(it) => self.reject_placement(&run.call, it.reason, it.retry_after, now),
        }
    }

    /// The number of slots that this VM may use under the service's cap.
    fn service_slots(&self, run: &Run, now: Time) -> Slots {
        let Some(region) = self.capacity.region() else {
            return Slots::ZERO;
        };
        let id = CapId::Service(run.call.service.clone(), region.clone());
        Slots(self.capacity.spendable(&id, Millis::ZERO, now) as u32)
    }

    fn wake_rejected(&mut self, waiter: Waiter, reason: Reason, retry_after: Millis, now: Time) {
        let place = self.reject_placement(&waiter.call, reason, retry_after, now);
        self.wakes.push(Wake { waiter: waiter.number, place });
    }

    /// Gives free slots to queued requests, and rejects those that can no longer meet their deadline.
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
                self.wake_rejected(it.item, it.reason, it.retry_after, now);
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
            let time_left = call.deadline.since(now);
            let place = match self.place_local(&call, idempotent, time_left, now) {
                Ok(place) => place,
                Err(it) => self.reject_placement(&call, it.reason, it.retry_after, now),
            };
            self.wakes.push(Wake { waiter: number, place });
        }
    }

    /// Whether one more request of the service could run here now.
    fn has_slot(&mut self, service: &th_protocol::ServiceId, now: Time) -> bool {
        let span = self.queues.get(service).map_or(Millis::ZERO, |_| DEFAULT_RETRY_AFTER);
        self.capacity.check_caps(service, span, now).is_ok() && self.backends.has_slot(service, now)
    }

    /// Returns the answer to a queued request whose wait ends because this VM is stopping.
    pub fn reject_waiter(&mut self, call: &Call, now: Time) -> Notice {
        let notice = notices::not_run(Reason::Stopping);
        self.explain_rejection(call, &notice, now);
        notice
    }
}
