//! The state of the ticket model.

use th_protocol::{AttemptId, Incarnation, Time};
use th_steer::{
    retry::Attempts,
    ticket::{Fingerprint, IdempotencyKey, Nonce, Ticket, TicketSettings, TicketTable},
};

/// The ticket's expiry on the owner's clock.
pub(crate) const EXPIRY: Time = Time(2);
/// The last time that the model explores.
pub(crate) const END_TIME: Time = Time(3);
/// Maximum number of dispatches of one request.
pub(crate) const MAX_ATTEMPTS: u8 = 2;
/// Difference between the first attempt ids of two processes.
pub(crate) const ATTEMPT_ID_STRIDE: u64 = 100;

/// The result of a request that was reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum CallerResult {
    NotRun,
    Unknown,
    Answer(u8),
}

/// The phase that a request is in. The numbers are indices of processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RequestPhase {
    Unsent,
    /// Sent, but not received by the owner yet.
    InTransit,
    Received(usize),
    Admitted(usize),
    Dispatched(usize, AttemptId),
    /// A repeat that waits until the operation in flight ends.
    Waiting(usize),
    Done,
}

impl RequestPhase {
    /// Returns the index of the process that has the request.
    pub(crate) fn process(self) -> Option<usize> {
        match self {
            RequestPhase::Received(at) | RequestPhase::Admitted(at) | RequestPhase::Waiting(at) => {
                Some(at)
            }
            RequestPhase::Dispatched(at, _) => Some(at),
            RequestPhase::Unsent | RequestPhase::InTransit | RequestPhase::Done => None,
        }
    }

    /// Returns whether the request was sent and has not ended.
    pub(crate) fn is_in_progress(self) -> bool {
        !matches!(self, RequestPhase::Unsent | RequestPhase::Done)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Request {
    pub(crate) phase: RequestPhase,
    pub(crate) result: Option<CallerResult>,
    /// The expiry of the ticket when the operation began.
    pub(crate) expiry: Time,
    pub(crate) attempts: u8,
    pub(crate) ran: bool,
}

/// The status of an attempt at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum AttemptStatus {
    /// Sent; the attempt may still run.
    Sent,
    Ran,
    Rejected,
}

/// An attempt whose answer has not arrived.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PendingAttempt {
    pub(crate) id: AttemptId,
    pub(crate) process: usize,
    pub(crate) request: usize,
    pub(crate) status: AttemptStatus,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Process {
    pub(crate) incarnation: Incarnation,
    pub(crate) table: TicketTable<u8>,
    pub(crate) attempts: Attempts<usize>,
    pub(crate) alive: bool,
    pub(crate) closed: bool,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketState {
    pub(crate) now: Time,
    pub(crate) processes: Vec<Process>,
    pub(crate) requests: Vec<Request>,
    pub(crate) pending: Vec<PendingAttempt>,
    pub(crate) violation: Option<&'static str>,
}

pub(crate) fn process(at: usize, incarnation: Incarnation) -> Process {
    let vm = "e1".parse().expect("a valid id");
    Process {
        incarnation,
        table: TicketTable::new(vm, incarnation, TicketSettings::default()),
        attempts: Attempts::new(AttemptId(at as u64 * ATTEMPT_ID_STRIDE)),
        alive: true,
        closed: false,
    }
}

pub(crate) fn ticket(expiry: Time) -> Ticket {
    Ticket {
        vm: "e1".parse().expect("a valid id"),
        incarnation: Incarnation(0),
        service: "desk".parse().expect("a valid id"),
        operation: "book".parse().expect("a valid id"),
        expiry,
        nonce: Nonce(0),
    }
}

pub(crate) fn key(operation: u8) -> IdempotencyKey {
    operation.to_string().parse().expect("digits are a key")
}

pub(crate) fn fingerprint(operation: u8) -> Fingerprint {
    Fingerprint::of(&[&[operation]])
}

pub(crate) fn pending_attempt(state: &mut TicketState, id: AttemptId) -> &mut PendingAttempt {
    let found = state.pending.iter_mut().find(|attempt| attempt.id == id);
    found.expect("the action names a pending attempt")
}

pub(crate) fn finish(state: &mut TicketState, at: usize, result: CallerResult) {
    state.requests[at].phase = RequestPhase::Done;
    state.requests[at].result.get_or_insert(result);
}
