//! Requests and results of a queue.

use th_protocol::{Bytes, CustomerId, Millis, Reason, Time};

/// Identifies a waiting request; ids increase in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// The customer on whose behalf it is made. Customers that are not in the bundle share one
    /// flow.
    pub customer: Option<CustomerId>,
    /// Time by which its answer must be complete.
    pub deadline: Time,
    /// Expected time that it holds a slot: the mean of recent requests.
    pub service_time: Millis,
    /// High quantile, such as the p99, of the time that such requests take. A request starts no
    /// later than this before its deadline.
    pub tail_latency: Millis,
    /// Memory that the request holds.
    pub size: Bytes,
    /// Value by which the owner of the queue identifies the request.
    pub item: T,
}

/// A request that the queue rejected, evicted or expired; it was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueRejection<T> {
    /// Why the request was not served.
    pub reason: Reason,
    /// Time after which to retry the request.
    pub retry_after: Millis,
    /// The item of the request.
    pub item: T,
}

/// Result of adding a request to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pushed<T> {
    /// The id of the waiting request, or why it was rejected.
    pub outcome: Result<QueueId, QueueRejection<T>>,
    /// Requests of customers above their share that were evicted to make space.
    pub evicted: Vec<QueueRejection<T>>,
}

/// Requests that leave the queue when a slot is free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Popped<T> {
    /// The request to run next; it can finish in time.
    pub next: Option<QueuedRequest<T>>,
    /// Requests that can no longer finish in time.
    pub expired: Vec<QueueRejection<T>>,
}
