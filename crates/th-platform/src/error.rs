//! Errors of calls to the platform's service.

use std::fmt;

use thiserror::Error;

/// The result of a call that reads.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The call at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Reading a value.
    Read,
    /// Compare-and-swap.
    Cas,
    /// Taking a lease.
    Lease,
    /// Keeping a lease alive.
    KeepAlive,
    /// Reading all values under a prefix.
    Range,
    /// Ending a lease.
    EndLease,
    /// Waiting for changes.
    Watch,
    /// Reading the list of VMs.
    VmList,
}

impl Step {
    /// Every step.
    pub const ALL: &[Step] = &[
        Step::Read,
        Step::Cas,
        Step::Lease,
        Step::KeepAlive,
        Step::Range,
        Step::EndLease,
        Step::Watch,
        Step::VmList,
    ];
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Step::Read => "read",
            Step::Cas => "cas",
            Step::Lease => "lease",
            Step::KeepAlive => "keep-alive",
            Step::Range => "range",
            Step::EndLease => "end-lease",
            Step::Watch => "watch",
            Step::VmList => "vm-list",
        })
    }
}

/// A call that brought no answer, or an answer that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{step} at {peer}: {cause}")]
pub struct PlatformError {
    /// The call.
    pub step: Step,
    /// The address of the service.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}
