//! A bounded queue that is fair between customers and keeps to deadlines.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Bytes, CustomerId, Millis, Reason, Slots, Time};

use super::{
    lane::Lane,
    request::{Popped, Pushed, QueueId, QueueRejection, QueuedRequest},
    settings::{QueueOrder, QueueSettings},
};

type LaneId = Option<CustomerId>;

#[derive(Debug, Clone)]
struct Waiting<T> {
    lane: LaneId,
    /// Latest moment at which it may still be given a slot.
    latest: Time,
    request: QueuedRequest<T>,
}

/// Requests of one service that wait for a slot.
///
/// Start-time fair queueing: each customer moves on in virtual time by the slot time that its requests are expected
/// to take, divided by its weight, and the one that is furthest behind goes next. Each step takes O(log n).
#[derive(Debug, Clone)]
pub struct Queue<T> {
    settings: QueueSettings,
    next: u64,
    clock: u64,
    bytes: Bytes,
    /// Expected slot time of all that wait.
    work: Millis,
    waiting: BTreeMap<QueueId, Waiting<T>>,
    lanes: BTreeMap<LaneId, Lane>,
    /// Customers with requests, by virtual start.
    order: BTreeSet<(u64, LaneId)>,
    /// Customers with requests, by requests for each unit of weight.
    loads: BTreeSet<(u64, LaneId)>,
    /// Requests by the latest moment at which they may start.
    latest: BTreeSet<(Time, QueueId)>,
    /// Weight of all customers with requests.
    active: u64,
}

impl<T> Queue<T> {
    /// An empty queue in which no customer has a weight of its own.
    pub fn new(settings: QueueSettings) -> Queue<T> {
        Queue {
            settings,
            next: 0,
            clock: 0,
            bytes: Bytes::ZERO,
            work: Millis::ZERO,
            waiting: BTreeMap::new(),
            lanes: BTreeMap::from([(None, Lane::new(1))]),
            order: BTreeSet::new(),
            loads: BTreeSet::new(),
            latest: BTreeSet::new(),
            active: 0,
        }
    }

    /// Takes over the bundle's weights. Requests of customers that it no longer names keep their places.
    pub fn set_weights(&mut self, weights: &BTreeMap<CustomerId, u32>) {
        let ids: Vec<LaneId> = self.lanes.keys().cloned().collect();
        for id in ids {
            let named = id.as_ref().is_none_or(|customer| weights.contains_key(customer));
            let empty = self.lanes[&id].ids.is_empty();
            if !named && empty {
                self.lanes.remove(&id);
            }
        }
        for (customer, weight) in weights {
            let id = Some(customer.clone());
            self.unlist(&id);
            let lane = self.lanes.entry(id.clone()).or_insert_with(|| Lane::new(*weight));
            lane.weight = (*weight).max(1);
            self.list(&id);
        }
    }

    /// Takes a request in, or refuses it at once where it could not finish in time or finds no room.
    ///
    /// `slots` is how many requests the service runs at once for this queue.
    pub fn push(&mut self, request: QueuedRequest<T>, slots: Slots, now: Time) -> Pushed<T> {
        let lane = self.known_lane(request.customer.as_ref());
        let wait = self.wait(&lane, slots);
        if let Some((reason, retry_after)) = self.obstacle(&request, wait, now) {
            let outcome = Err(refusal(reason, retry_after, request.item));
            return Pushed { outcome, evicted: Vec::new() };
        }
        let evicted = self.make_room(&lane, request.size, wait);
        if !self.has_room(request.size) {
            let retry_after = wait.max(request.service_time);
            let outcome = Err(refusal(Reason::QueueFull, retry_after, request.item));
            return Pushed { outcome, evicted };
        }
        let id = self.insert(lane, request, now);
        Pushed { outcome: Ok(id), evicted }
    }

    /// Why a request that would wait for `wait` is refused at once, and when it is worth another try.
    fn obstacle(
        &self,
        request: &QueuedRequest<T>,
        wait: Millis,
        now: Time,
    ) -> Option<(Reason, Millis)> {
        if request.deadline < now.after(request.tail_latency) {
            return Some((Reason::Deadline, wait.max(request.service_time)));
        }
        let start = request.deadline.before(request.tail_latency);
        let allowed = Millis(self.settings.patience.of(start.since(now).0));
        if allowed < wait {
            return Some((Reason::Deadline, wait - allowed));
        }
        if self.settings.age < wait {
            return Some((Reason::QueueFull, wait - self.settings.age));
        }
        let fits = request.size <= self.settings.bytes && 0 < self.settings.length;
        (!fits).then_some((Reason::QueueFull, wait.max(request.service_time)))
    }

    /// The request to give a free slot to, and those that can no longer finish in time.
    pub fn pop(&mut self, now: Time) -> Popped<T> {
        let refused = self.expire(now);
        let next = self.take_next();
        Popped { next, refused }
    }

    /// Gives up the requests that can no longer finish in time, or have waited too long.
    pub fn expire(&mut self, now: Time) -> Vec<QueueRejection<T>> {
        let mut refused = Vec::new();
        while let Some((latest, id)) = self.latest.first().copied() {
            if now <= latest {
                break;
            }
            let request = self.remove(id).expect("both indexes name the same requests");
            refused.push(refusal(Reason::Deadline, request.service_time, request.item));
        }
        refused
    }

    /// Takes a request out whose caller went away.
    pub fn cancel(&mut self, id: QueueId) -> Option<QueuedRequest<T>> {
        self.remove(id)
    }

    /// How long a new request of a customer is expected to wait.
    pub fn expected_wait(&self, customer: Option<&CustomerId>, slots: Slots) -> Millis {
        let lane = self.known_lane(customer);
        self.wait(&lane, slots)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Memory that the waiting requests hold.
    pub fn bytes(&self) -> Bytes {
        self.bytes
    }

    fn known_lane(&self, customer: Option<&CustomerId>) -> LaneId {
        let id = customer.cloned();
        if self.lanes.contains_key(&id) { id } else { None }
    }

    /// Time until the slots get to a new request of a customer: behind its own requests at its share of the slots,
    /// or behind everything if that is less.
    fn wait(&self, id: &LaneId, slots: Slots) -> Millis {
        let count = self.waiting.len() as u64;
        let first = count == 0 || self.settings.order == QueueOrder::Newest;
        if first {
            return Millis::ZERO;
        }
        let slots = u64::from(slots.0.max(1));
        let whole = self.work.0 / slots;
        let lane = &self.lanes[id];
        let ahead = lane.ids.len() as u64;
        let own = u64::from(lane.weight);
        let active = if ahead == 0 { self.active + own } else { self.active };
        let mean = self.work.0 / count;
        let share = (ahead.saturating_mul(active) / own).saturating_mul(mean) / slots;
        Millis(whole.min(share))
    }

    /// Gives up the newest requests of customers with more than their share, until there is room or no such customer.
    fn make_room(
        &mut self,
        lane: &LaneId,
        size: Bytes,
        retry_after: Millis,
    ) -> Vec<QueueRejection<T>> {
        let mut evicted = Vec::new();
        while !self.has_room(size) {
            let Some(request) = self.displaceable(lane).and_then(|id| self.remove(id)) else {
                break;
            };
            evicted.push(refusal(
                Reason::QueueFull,
                retry_after.max(request.service_time),
                request.item,
            ));
        }
        evicted
    }

    fn has_room(&self, size: Bytes) -> bool {
        self.waiting.len() < self.settings.length && self.bytes + size <= self.settings.bytes
    }

    /// The newest request of the customer with the most requests for its weight, if that is more than `lane` has.
    fn displaceable(&self, lane: &LaneId) -> Option<QueueId> {
        let (load, heaviest) = self.loads.last()?;
        let own = self.lanes[lane].load() + self.lanes[lane].cost(1);
        if *load <= own {
            return None;
        }
        self.lanes[heaviest].ids.last().copied()
    }

    fn insert(&mut self, lane: LaneId, request: QueuedRequest<T>, now: Time) -> QueueId {
        let id = QueueId(self.next);
        self.next += 1;
        let latest =
            request.deadline.before(request.tail_latency).min(now.after(self.settings.age));
        self.bytes += request.size;
        self.work += request.service_time;
        self.latest.insert((latest, id));
        self.unlist(&lane);
        let row = self.lanes.get_mut(&lane).expect("the lane is known");
        if row.ids.is_empty() {
            row.start = row.start.max(self.clock);
        }
        row.ids.insert(id);
        self.list(&lane);
        self.waiting.insert(id, Waiting { lane, latest, request });
        id
    }

    fn take_next(&mut self) -> Option<QueuedRequest<T>> {
        let (start, lane) = self.order.first().cloned()?;
        let id = self.lanes[&lane].next(self.settings.order)?;
        let request = self.remove(id)?;
        self.clock = start;
        self.unlist(&lane);
        let row = self.lanes.get_mut(&lane).expect("the lane is known");
        row.start = start.saturating_add(row.cost(request.service_time.0));
        self.list(&lane);
        Some(request)
    }

    fn remove(&mut self, id: QueueId) -> Option<QueuedRequest<T>> {
        let Waiting { lane, latest, request } = self.waiting.remove(&id)?;
        self.bytes = self.bytes - request.size;
        self.work = self.work - request.service_time;
        self.latest.remove(&(latest, id));
        self.unlist(&lane);
        self.lanes.get_mut(&lane).expect("the lane is known").ids.remove(&id);
        self.list(&lane);
        Some(request)
    }

    /// Takes a customer out of the indexes, before it changes.
    fn unlist(&mut self, id: &LaneId) {
        let Some(lane) = self.lanes.get(id) else {
            return;
        };
        if self.order.remove(&(lane.start, id.clone())) {
            self.loads.remove(&(lane.load(), id.clone()));
            self.active -= u64::from(lane.weight);
        }
    }

    /// Puts a customer with requests into the indexes.
    fn list(&mut self, id: &LaneId) {
        let Some(lane) = self.lanes.get(id) else {
            return;
        };
        if lane.ids.is_empty() {
            return;
        }
        self.order.insert((lane.start, id.clone()));
        self.loads.insert((lane.load(), id.clone()));
        self.active += u64::from(lane.weight);
    }
}

fn refusal<T>(reason: Reason, retry_after: Millis, item: T) -> QueueRejection<T> {
    QueueRejection { reason, retry_after, item }
}
