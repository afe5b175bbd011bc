//! The owner's decision on a request, and the state that it checks before sending the first byte.

use th_protocol::{Incarnation, Reason, Time, VmId};

use super::operation::{Operation, Received};

/// What the owner decides on a request with a ticket and an idempotency key.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome<A> {
    /// The first request for the operation: run it.
    Fresh(Operation<Received>),
    /// The same operation is in progress; begin again once it ends.
    InFlight,
    /// The operation ran, and this is its retained answer.
    Answered(A),
    /// The operation may have run, and will not be run again.
    Unknown(Reason),
    /// Only this entry VM may dispatch the operation.
    Forward(VmId),
    /// The request is rejected and was not run.
    Rejected(Reason),
}

/// State that is read again right before an operation's first byte is sent, since the process may
/// have been paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Checkpoint {
    /// The current time on the owner's clock.
    pub now: Time,
    /// The newest incarnation of this VM that the process knows of.
    pub incarnation: Incarnation,
    /// The request's deadline on the owner's clock.
    pub deadline: Time,
}
