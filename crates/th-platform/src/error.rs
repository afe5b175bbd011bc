//! Errors of calls to the platform's service.

use std::fmt;

use thiserror::Error;

/// The result of a read call.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The kind of a call to the platform's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Reads a value.
    Read,
    /// Writes a value by compare-and-swap.
    Cas,
    /// Takes a lease.
    Lease,
    /// Extends a lease.
    KeepAlive,
    /// Reads all values under a prefix.
    Range,
    /// Ends a lease.
    EndLease,
    /// Waits for changes under a prefix.
    Watch,
    /// Reads the list of VMs.
    VmList,
}

impl CallKind {
    /// All kinds of calls.
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

/// A call that got no answer, or an answer that could not be understood.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind} at {peer}: {cause}")]
pub struct PlatformError {
    /// The kind of call that failed.
    pub kind: CallKind,
    /// The address of the service.
    pub peer: String,
    /// The underlying error.
    pub cause: String,
}
