//! The life of operations under one ticket: repeats, forwards, crashes, pauses, late and crossed answers, stops.
//!
//! The owner's table, its tokens and the matching of answers are the production ones of `th-steer`. Tokens cannot be
//! part of a state, since they are not `Clone`; each step makes its token anew on a scratch table.

mod state;
mod steps;

use th_protocol::{AttemptId, Incarnation, Time};

use crate::Model;

pub use state::TicketState;
use state::{
    AttemptStatus, CallerResult, END_TIME, EXPIRY, MAX_ATTEMPTS, Request, RequestPhase, process,
};

/// A mistake put into the protocol, which the search has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketFault {
    /// The protocol as it is.
    None,
    /// A timeout after the dispatch is told as not run.
    NotRunAfterDispatch,
    /// A timeout after the dispatch leads to another try.
    RetryAfterTimeout,
    /// A restarted process takes the incarnation of the one before.
    SameIncarnation,
    /// Each use of a ticket puts its expiry off.
    ExpiryFromUse,
    /// An answer is taken for that of whichever attempt its connection was used for.
    AnyAnswer,
    /// A stopping process does not wait for operations in flight.
    EarlyExit,
}

/// The model: requests of one caller, all under the same ticket.
#[derive(Debug, Clone)]
pub struct TicketModel {
    /// The operation that each request asks for, and whether it comes through another entry VM.
    pub requests: Vec<(u8, bool)>,
    /// Processes of the owner that may be started, the first included.
    pub processes: usize,
    /// The mistake.
    pub fault: TicketFault,
}

/// One step of the protocol, or one fault. Requests, processes and flights are named by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketAction {
    /// The caller sends a request.
    Send(usize),
    /// A request reaches a process of the owner.
    Deliver(usize, usize),
    /// The caller's or forwarding VM's connection breaks; the owner goes on.
    Disconnect(usize),
    /// A waiting repeat asks again.
    Poll(usize),
    /// A received operation is admitted.
    Admit(usize),
    /// An admitted operation is dispatched, by a process that may not know of a later incarnation.
    Dispatch(usize, Incarnation),
    /// The owner gives a request up because its caller went away.
    Cancel(usize),
    /// No answer came in time.
    Timeout(usize),
    /// The backend server runs an attempt.
    Run(AttemptId),
    /// The backend server says that it will not run an attempt.
    Reject(AttemptId),
    /// The answer to the first attempt arrives on the connection of the second.
    Answer(AttemptId, AttemptId),
    /// Time passes; a process that does nothing meanwhile was paused.
    Tick,
    /// A process drops expired operations.
    Sweep(usize),
    /// A process dies.
    Crash(usize),
    /// Another process of the owner starts; the one before may be paused and alive.
    Start,
    /// A process begins a graceful stop.
    Close(usize),
    /// A process ends its graceful stop.
    Exit(usize),
}

impl Model for TicketModel {
    type State = TicketState;
    type Action = TicketAction;

    fn start(&self) -> TicketState {
        let request = Request {
            phase: RequestPhase::Unsent,
            result: None,
            expiry: EXPIRY,
            attempts: 0,
            ran: false,
        };
        TicketState {
            now: Time::ZERO,
            processes: vec![process(0, Incarnation(0))],
            requests: vec![request; self.requests.len()],
            pending: Vec::new(),
            violation: None,
        }
    }

    fn steps(&self, state: &TicketState) -> Vec<(TicketAction, TicketState)> {
        let mut steps = Vec::new();
        for action in self.actions(state) {
            let mut next = state.clone();
            self.apply(&mut next, action);
            if next != *state {
                steps.push((action, next));
            }
        }
        steps
    }

    fn violated_invariant(&self, state: &TicketState) -> Option<&'static str> {
        for (operation, _) in &self.requests {
            if 1 < self.runs(state, *operation) {
                return Some("an operation runs at most once");
            }
        }
        for (request, (operation, _)) in state.requests.iter().zip(&self.requests) {
            match request.result {
                Some(CallerResult::NotRun) if request.ran => {
                    return Some("a request that was told not run does not run");
                }
                Some(CallerResult::Answer(answer)) if answer != *operation => {
                    return Some("an answer belongs to its request");
                }
                _ => (),
            }
        }
        state.violation
    }
}

impl TicketModel {
    fn actions(&self, state: &TicketState) -> Vec<TicketAction> {
        let mut actions = Vec::new();
        for at in 0..state.requests.len() {
            self.request_actions(state, at, &mut actions);
        }
        for attempt in &state.pending {
            if attempt.status == AttemptStatus::Sent {
                actions.extend([TicketAction::Run(attempt.id), TicketAction::Reject(attempt.id)]);
                continue;
            }
            for request in &state.requests {
                match request.phase {
                    RequestPhase::Dispatched(at, sent) if at == attempt.process => {
                        actions.push(TicketAction::Answer(attempt.id, sent));
                    }
                    _ => (),
                }
            }
        }
        for (at, process) in state.processes.iter().enumerate() {
            if !process.alive {
                continue;
            }
            actions.extend([TicketAction::Crash(at), TicketAction::Sweep(at)]);
            let stop =
                if process.closed { TicketAction::Exit(at) } else { TicketAction::Close(at) };
            actions.push(stop);
        }
        if state.processes.len() < self.processes {
            actions.push(TicketAction::Start);
        }
        if state.now < END_TIME {
            actions.push(TicketAction::Tick);
        }
        actions
    }

    fn request_actions(&self, state: &TicketState, at: usize, actions: &mut Vec<TicketAction>) {
        let request = &state.requests[at];
        if request.result.is_none() && request.phase.is_in_progress() && self.requests[at].1 {
            actions.push(TicketAction::Disconnect(at));
        }
        match request.phase {
            RequestPhase::Unsent => actions.push(TicketAction::Send(at)),
            RequestPhase::InTransit => {
                for (to, process) in state.processes.iter().enumerate() {
                    if process.alive {
                        actions.push(TicketAction::Deliver(at, to));
                    }
                }
            }
            RequestPhase::Received(_) => {
                actions.extend([TicketAction::Admit(at), TicketAction::Cancel(at)]);
            }
            RequestPhase::Admitted(to) => {
                actions.push(TicketAction::Cancel(at));
                if MAX_ATTEMPTS <= request.attempts {
                    return;
                }
                let own = state.processes[to].incarnation;
                let newest = state.processes.last().expect("one has started").incarnation;
                actions.push(TicketAction::Dispatch(at, own));
                if own != newest {
                    actions.push(TicketAction::Dispatch(at, newest));
                }
            }
            RequestPhase::Dispatched(..) => {
                actions.extend([TicketAction::Timeout(at), TicketAction::Cancel(at)]);
            }
            RequestPhase::Waiting(_) => actions.push(TicketAction::Poll(at)),
            RequestPhase::Done => (),
        }
    }
}
