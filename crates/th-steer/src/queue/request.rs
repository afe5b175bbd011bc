//! What goes into a queue and comes out of it.

use th_protocol::{Bytes, CustomerId, Millis, Reason, Time};

/// A request's place in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// On whose behalf it is made. Customers that the bundle does not name share one place.
    pub customer: Option<CustomerId>,
    /// When its answer has to be complete.
    pub deadline: Time,
    /// How long it is expected to hold its slot: the mean of recent ones.
    pub service_time: Millis,
    /// How long nearly all of its kind take, such as the p99; it starts no later than this before its deadline.
    pub tail_latency: Millis,
    /// Memory that it holds.
    pub size: Bytes,
    /// What the caller of the queue knows it by.
    pub item: T,
}

/// A request that the queue refused or gave up; it was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueRejection<T> {
    /// Why.
    pub reason: Reason,
    /// When it is worth another try.
    pub retry_after: Millis,
    /// The request's item.
    pub item: T,
}

/// What became of a request that was offered to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pushed<T> {
    /// Its place, or why it was refused.
    pub outcome: Result<QueueId, QueueRejection<T>>,
    /// Requests of customers above their share that were given up to make room.
    pub evicted: Vec<QueueRejection<T>>,
}

/// What leaves the queue when a slot is free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Popped<T> {
    /// The request to run next, which can finish in time.
    pub next: Option<QueuedRequest<T>>,
    /// Requests that can no longer finish in time.
    pub expired: Vec<QueueRejection<T>>,
}
