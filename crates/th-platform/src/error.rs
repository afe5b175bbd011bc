//! Errors of calls to the platform's service.

use std::fmt;

use thiserror::Error;

/// The result of a call that reads.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The call at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
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

impl CallKind {
    /// Every kind.
    pub const ALL: &[CallKind] = &[
        CallKind::Read,
        CallKind::Cas,
        CallKind::Lease,
        CallKind::KeepAlive,
        CallKind::Range,
        CallKind::EndLease,
        CallKind::Watch,
        CallKind::VmList,
    ];
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            CallKind::Read => "read",
            CallKind::Cas => "cas",
            CallKind::Lease => "lease",
            CallKind::KeepAlive => "keep-alive",
            CallKind::Range => "range",
            CallKind::EndLease => "end-lease",
            CallKind::Watch => "watch",
            CallKind::VmList => "vm-list",
        })
    }
}

/// A call that brought no answer, or an answer that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind} at {peer}: {cause}")]
pub struct PlatformError {
    /// The call.
    pub kind: CallKind,
    /// The address of the service.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}
