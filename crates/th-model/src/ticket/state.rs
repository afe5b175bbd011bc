//! What distinguishes one moment of the ticket model from another.

use th_protocol::{AttemptId, Incarnation, Time};
use th_steer::{
    retry::Attempts,
    ticket::{Fingerprint, IdempotencyKey, Nonce, Ticket, TicketSettings, TicketTable},
};

/// The ticket's expiry on the owner's clock.
pub(crate) const EXPIRY: Time = Time(2);
/// The last moment that the model looks at.
pub(crate) const END: Time = Time(3);
/// Dispatches of one request.
pub(crate) const TRIES: u8 = 2;
/// Distance between the first attempt ids of two processes.
pub(crate) const IDS: u64 = 100;

/// What a caller was told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Told {
    NotRun,
    Unknown,
    Answer(u8),
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Place {
    Unsent,
    /// On its way to the owner.
    Travels,
    Received(usize),
    Admitted(usize),
    Dispatched(usize, AttemptId),
    /// A repeat that waits for the operation in flight.
    Waits(usize),
    Done,
}

impl Place {
    /// The process that has it.
    pub(crate) fn process(self) -> Option<usize> {
        match self {
            Place::Received(at) | Place::Admitted(at) | Place::Waits(at) => Some(at),
            Place::Dispatched(at, _) => Some(at),
            Place::Unsent | Place::Travels | Place::Done => None,
        }
    }

    /// Whether it is under way.
    pub(crate) fn is_sent(self) -> bool {
        !matches!(self, Place::Unsent | Place::Done)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Request {
    pub(crate) place: Place,
    pub(crate) told: Option<Told>,
    /// The expiry on its ticket when it began.
    pub(crate) expiry: Time,
    pub(crate) tries: u8,
    pub(crate) ran: bool,
}

/// What became of an attempt at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Fate {
    /// Sent; it may still run.
    Sent,
    Ran,
    Refused,
}

/// An attempt whose answer has not come back.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Flight {
    pub(crate) id: AttemptId,
    pub(crate) process: usize,
    pub(crate) request: usize,
    pub(crate) fate: Fate,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Process {
    pub(crate) incarnation: Incarnation,
    pub(crate) table: TicketTable<u8>,
    pub(crate) attempts: Attempts<usize>,
    pub(crate) alive: bool,
    pub(crate) closed: bool,
}

/// All that distinguishes one moment from another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketState {
    pub(crate) now: Time,
    pub(crate) processes: Vec<Process>,
    pub(crate) requests: Vec<Request>,
    pub(crate) flights: Vec<Flight>,
    pub(crate) flaw: Option<&'static str>,
}

pub(crate) fn process(at: usize, incarnation: Incarnation) -> Process {
    let vm = "e1".parse().expect("a valid id");
    Process {
        incarnation,
        table: TicketTable::new(vm, incarnation, TicketSettings::default()),
        attempts: Attempts::new(AttemptId(at as u64 * IDS)),
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

pub(crate) fn print(operation: u8) -> Fingerprint {
    Fingerprint::of(&[&[operation]])
}

pub(crate) fn flight(state: &mut TicketState, id: AttemptId) -> &mut Flight {
    let found = state.flights.iter_mut().find(|flight| flight.id == id);
    found.expect("the action names a flight")
}

pub(crate) fn tell(state: &mut TicketState, at: usize, told: Told) {
    state.requests[at].place = Place::Done;
    state.requests[at].told.get_or_insert(told);
}
