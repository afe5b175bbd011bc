//! Inputs and results of decisions on retries and hedges.

use th_protocol::{Millis, Slots, Time};

/// A failed attempt, for the decision whether to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the operation is idempotent: executing it twice has the same effect as executing it
    /// once.
    pub idempotent: bool,
    /// Whether it is certain that the attempt executed nothing.
    pub not_executed: bool,
    /// Whether the request was forwarded by another entry VM, which decides on retries itself.
    pub forwarded: bool,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// The request's deadline.
    pub deadline: Time,
    /// Expected duration of another attempt.
    pub expected: Millis,
}

/// An attempt that has not been answered yet, for the decision whether to send a hedge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowAttempt {
    /// Whether the operation is an idempotent read.
    pub idempotent: bool,
    /// Whether the request was forwarded by another entry VM.
    pub forwarded: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// When the attempt was sent.
    pub sent: Time,
    /// Slots that would be free after every waiting request has got one.
    pub free: Slots,
}

/// Decision on a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this wait.
    After(Millis),
    /// Do not retry, for this reason.
    Stop(RetryStop),
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStop {
    /// The operation may have been executed and must not be executed twice.
    MayHaveRun,
    /// Another entry VM decides on its retries.
    Forwarded,
    /// The request has had the maximum number of attempts.
    MaxAttempts,
    /// Another attempt could not finish before the deadline.
    Deadline,
    /// The service's retry budget is exhausted.
    Budget,
}
