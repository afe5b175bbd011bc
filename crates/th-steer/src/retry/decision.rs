//! What a retry or hedge is decided from, and the decision.

use th_protocol::{Millis, Slots, Time};

/// A try that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether running the operation twice is the same as running it once.
    pub idempotent: bool,
    /// Whether it is certain that the try ran nothing.
    pub not_executed: bool,
    /// Whether the request came from another entry VM, which decides about retries itself.
    pub forwarded: bool,
    /// Tries so far, this one included.
    pub attempts: u32,
    /// The request's deadline.
    pub deadline: Time,
    /// How long another try is expected to take.
    pub expected: Millis,
}

/// A try that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowAttempt {
    /// Whether the operation is an idempotent read.
    pub idempotent: bool,
    /// Whether the request came from another entry VM.
    pub forwarded: bool,
    /// Tries so far.
    pub attempts: u32,
    /// When the try was sent.
    pub sent: Time,
    /// Slots that are free after everything that waits has got one.
    pub free: Slots,
}

/// Whether to try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this wait.
    After(Millis),
    /// Give up.
    Stop(RetryStop),
}

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStop {
    /// It may have run and must not run twice.
    MayHaveRun,
    /// Another entry VM decides about its retries.
    Forwarded,
    /// It has had all its tries.
    MaxAttempts,
    /// Another try could not finish before its deadline.
    Deadline,
    /// The service's budget is spent.
    Budget,
}
