//! What the owner says to a request, and what it checks before the first byte goes out.

use th_protocol::{Incarnation, Reason, Time, VmId};

use super::operation::{Operation, Received};

/// What becomes of a request that carries a ticket and a key.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome<A> {
    /// The first of its kind: carry it out.
    Fresh(Operation<Received>),
    /// The same operation is in progress; ask again once it ends.
    InFlight,
    /// It ran; this is its answer.
    Answered(A),
    /// It may have run, and will not run from here on.
    Unknown(Reason),
    /// Only this entry VM may dispatch it.
    Forward(VmId),
    /// This request was not run.
    Rejected(Reason),
}

/// What is known right before an operation's first byte goes out; read anew, since the process may have been paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Checkpoint {
    /// The present time on the owner's clock.
    pub now: Time,
    /// The newest incarnation of this VM that the process knows of.
    pub incarnation: Incarnation,
    /// The request's deadline on the owner's clock.
    pub deadline: Time,
}
