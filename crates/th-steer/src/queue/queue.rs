//! A bounded queue that is fair between customers and respects deadlines.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Bytes, CustomerId, Millis, Reason, Slots, Time};

use super::{
    flow::Flow,
    request::{Popped, Pushed, QueueId, QueueRejection, QueuedRequest},
    settings::{QueueOrder, QueueSettings},
};

/// Customer of a flow; `None` for the flow shared by all requests whose customer has no weight, or
/// that have no customer.
type FlowId = Option<CustomerId>;

#[derive(Debug, Clone)]
struct Waiting<T> {
    flow: FlowId,
    /// Latest time at which it may still get a slot.
    latest_start: Time,
    request: QueuedRequest<T>,
}

/// Requests of one service that wait for a slot.
///
/// Start-time fair queueing: each customer is a flow whose virtual time advances by the expected
/// slot time of its requests divided by its weight, and the flow with the earliest virtual time is
/// served next. Each operation takes O(log n).
#[derive(Debug, Clone)]
pub struct Queue<T> {
    settings: QueueSettings,
    next_id: u64,
    virtual_time: u64,
    bytes: Bytes,
    /// Sum of the expected slot times of all waiting requests.
    expected_work: Millis,
    waiting: BTreeMap<QueueId, Waiting<T>>,
    flows: BTreeMap<FlowId, Flow>,
    /// Customers with waiting requests, by virtual start time.
    by_start: BTreeSet<(u64, FlowId)>,
    /// Customers with waiting requests, by the number of requests per unit of weight.
    by_load: BTreeSet<(u64, FlowId)>,
    /// Requests by the latest time at which they may start.
    by_latest: BTreeSet<(Time, QueueId)>,
    /// Sum of the weights of all customers with waiting requests.
    active_weight: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue without weights; all customers share one flow of weight one.
    pub fn new(settings: QueueSettings) -> Queue<T> {
        Queue {
            settings,
            next_id: 0,
            virtual_time: 0,
            bytes: Bytes::ZERO,
            expected_work: Millis::ZERO,
            waiting: BTreeMap::new(),
            flows: BTreeMap::from([(None, Flow::new(1))]),
            by_start: BTreeSet::new(),
            by_load: BTreeSet::new(),
            by_latest: BTreeSet::new(),
            active_weight: 0,
        }
    }

    /// Applies the bundle's weights. Waiting requests of customers that are no longer in
    /// the bundle keep their positions.
    pub fn set_weights(&mut self, weights: &BTreeMap<CustomerId, u32>) {
        let ids: Vec<FlowId> = self.flows.keys().cloned().collect();
        for id in ids {
            let named = id.as_ref().is_none_or(|customer| weights.contains_key(customer));
            let empty = self.flows[&id].ids.is_empty();
            if !named && empty {
                self.flows.remove(&id);
            }
        }
        for (customer, weight) in weights {
            let id = Some(customer.clone());
            self.unindex(&id);
            let flow = self.flows.entry(id.clone()).or_insert_with(|| Flow::new(*weight));
            flow.turn.weight = (*weight).max(1);
            self.index(&id);
        }
    }

    /// Adds a request, or rejects it at once if it could not finish in time or the queue is full.
    ///
    /// `slots` is the number of requests from this queue that the service runs at once.
    pub fn push(&mut self, request: QueuedRequest<T>, slots: Slots, now: Time) -> Pushed<T> {
        let flow = self.flow_of(request.customer.as_ref());
        let wait = self.flow_wait(&flow, slots);
        if let Some((reason, retry_after)) = self.rejection_reason(&request, wait, now) {
            let outcome = Err(rejection(reason, retry_after, request.item));
            return Pushed { outcome, evicted: Vec::new() };
        }
        let evicted = self.evict_for(&flow, request.size, wait);
        if !self.has_capacity(request.size) {
            let retry_after = wait.max(request.service_time);
            let outcome = Err(rejection(Reason::QueueFull, retry_after, request.item));
            return Pushed { outcome, evicted };
        }
        let id = self.insert(flow, request, now);
        Pushed { outcome: Ok(id), evicted }
    }

    /// Returns why a request with an expected wait of `wait` must be rejected, and after what time
    /// to retry it.
    fn rejection_reason(
        &self,
        request: &QueuedRequest<T>,
        wait: Millis,
        now: Time,
    ) -> Option<(Reason, Millis)> {
        if request.deadline < now.after(request.tail_latency) {
            return Some((Reason::Deadline, wait.max(request.service_time)));
        }
        let start = request.deadline.before(request.tail_latency);
        let allowed = Millis(self.settings.wait_share.of(start.since(now).0));
        if allowed < wait {
            return Some((Reason::Deadline, wait - allowed));
        }
        if self.settings.max_wait < wait {
            return Some((Reason::QueueFull, wait - self.settings.max_wait));
        }
        let fits = request.size <= self.settings.max_bytes && 0 < self.settings.max_length;
        (!fits).then_some((Reason::QueueFull, wait.max(request.service_time)))
    }

    /// Returns the request that gets a free slot, and removes those that can no longer finish in
    /// time.
    pub fn pop(&mut self, now: Time) -> Popped<T> {
        let expired = self.expire(now);
        let next = self.take_next();
        Popped { next, expired }
    }

    /// Removes and returns the requests that can no longer finish in time or have waited longer
    /// than the limit.
    pub fn expire(&mut self, now: Time) -> Vec<QueueRejection<T>> {
        let mut expired = Vec::new();
        while let Some((latest_start, id)) = self.by_latest.first().copied() {
            if now <= latest_start {
                break;
            }
            let request = self.remove(id).expect("both indexes hold the same requests");
            expired.push(rejection(Reason::Deadline, request.service_time, request.item));
        }
        expired
    }

    /// Removes a request that its caller cancelled.
    pub fn cancel(&mut self, id: QueueId) -> Option<QueuedRequest<T>> {
        self.remove(id)
    }

    /// Returns how long a new request of a customer is expected to wait.
    pub fn expected_wait(&self, customer: Option<&CustomerId>, slots: Slots) -> Millis {
        let flow = self.flow_of(customer);
        self.flow_wait(&flow, slots)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the memory that the waiting requests hold.
    pub fn bytes(&self) -> Bytes {
        self.bytes
    }

    fn flow_of(&self, customer: Option<&CustomerId>) -> FlowId {
        let id = customer.cloned();
        if self.flows.contains_key(&id) { id } else { None }
    }

    /// Returns the expected wait of a new request: the time for the customer's own waiting requests
    /// at its share of the slots, or for all waiting requests if that is less. It is zero if the
    /// newest request is served first.
    fn flow_wait(&self, id: &FlowId, slots: Slots) -> Millis {
        let count = self.waiting.len() as u64;
        let first = count == 0 || self.settings.order == QueueOrder::Newest;
        if first {
            return Millis::ZERO;
        }
        let slots = u64::from(slots.0.max(1));
        let all_ahead = self.expected_work.0 / slots;
        let flow = &self.flows[id];
        let ahead = flow.ids.len() as u64;
        let own = u64::from(flow.turn.weight);
        let active = if ahead == 0 { self.active_weight + own } else { self.active_weight };
        let mean = self.expected_work.0 / count;
        let share = (ahead.saturating_mul(active) / own).saturating_mul(mean) / slots;
        Millis(all_ahead.min(share))
    }

    /// Evicts the newest requests of customers that have more waiting requests per unit of weight
    /// than `flow`, until `size` fits or there is no such customer.
    fn evict_for(
        &mut self,
        flow: &FlowId,
        size: Bytes,
        retry_after: Millis,
    ) -> Vec<QueueRejection<T>> {
        let mut evicted = Vec::new();
        while !self.has_capacity(size) {
            let Some(request) = self.evictable(flow).and_then(|id| self.remove(id)) else {
                break;
            };
            evicted.push(rejection(
                Reason::QueueFull,
                retry_after.max(request.service_time),
                request.item,
            ));
        }
        evicted
    }

    fn has_capacity(&self, size: Bytes) -> bool {
        self.waiting.len() < self.settings.max_length
            && self.bytes + size <= self.settings.max_bytes
    }

    /// Returns the newest request of the customer with the most requests per unit of weight, if
    /// that is more than `flow` would have with one more request.
    fn evictable(&self, flow: &FlowId) -> Option<QueueId> {
        let (load, heaviest) = self.by_load.last()?;
        let own = self.flows[flow].load() + self.flows[flow].cost(1);
        if *load <= own {
            return None;
        }
        self.flows[heaviest].ids.last().copied()
    }

    fn insert(&mut self, flow: FlowId, request: QueuedRequest<T>, now: Time) -> QueueId {
        let id = QueueId(self.next_id);
        self.next_id += 1;
        let latest_start =
            request.deadline.before(request.tail_latency).min(now.after(self.settings.max_wait));
        self.bytes += request.size;
        self.expected_work += request.service_time;
        self.by_latest.insert((latest_start, id));
        self.unindex(&flow);
        let entry = self.flows.get_mut(&flow).expect("the flow exists");
        if entry.ids.is_empty() {
            entry.turn.start = entry.turn.start.max(self.virtual_time);
        }
        entry.ids.insert(id);
        self.index(&flow);
        self.waiting.insert(id, Waiting { flow, latest_start, request });
        id
    }

    fn take_next(&mut self) -> Option<QueuedRequest<T>> {
        let (start, flow) = self.by_start.first().cloned()?;
        let id = self.flows[&flow].next(self.settings.order)?;
        let request = self.remove(id)?;
        self.virtual_time = start;
        self.unindex(&flow);
        let entry = self.flows.get_mut(&flow).expect("the flow exists");
        entry.turn.take(start, request.service_time.0);
        self.index(&flow);
        Some(request)
    }

    fn remove(&mut self, id: QueueId) -> Option<QueuedRequest<T>> {
        let Waiting { flow, latest_start, request } = self.waiting.remove(&id)?;
        self.bytes = self.bytes - request.size;
        self.expected_work = self.expected_work - request.service_time;
        self.by_latest.remove(&(latest_start, id));
        self.unindex(&flow);
        self.flows.get_mut(&flow).expect("the flow exists").ids.remove(&id);
        self.index(&flow);
        Some(request)
    }

    /// Removes a customer from the indexes, before its flow changes.
    fn unindex(&mut self, id: &FlowId) {
        let Some(flow) = self.flows.get(id) else {
            return;
        };
        if self.by_start.remove(&(flow.turn.start, id.clone())) {
            self.by_load.remove(&(flow.load(), id.clone()));
            self.active_weight -= u64::from(flow.turn.weight);
        }
    }

    /// Adds a customer with waiting requests to the indexes.
    fn index(&mut self, id: &FlowId) {
        let Some(flow) = self.flows.get(id) else {
            return;
        };
        if flow.ids.is_empty() {
            return;
        }
        self.by_start.insert((flow.turn.start, id.clone()));
        self.by_load.insert((flow.load(), id.clone()));
        self.active_weight += u64::from(flow.turn.weight);
    }
}

fn rejection<T>(reason: Reason, retry_after: Millis, item: T) -> QueueRejection<T> {
    QueueRejection { reason, retry_after, item }
}
