//! The steps of the ticket model.

use th_protocol::{AttemptId, Bytes, Incarnation, Reason, Time};
use th_steer::ticket::{
    Admitted, BeginOutcome, Checkpoint, Dispatched, Operation, Received, Ticket, TicketSettings,
    TicketTable,
};

use super::{
    TicketAction, TicketFault, TicketModel,
    state::{
        AttemptStatus, CallerResult, EXPIRY, PendingAttempt, RequestPhase, TicketState,
        fingerprint, finish, key, pending_attempt, process, ticket,
    },
};

impl TicketModel {
    pub(crate) fn apply(&self, state: &mut TicketState, action: TicketAction) {
        match action {
            TicketAction::Send(at) => self.send(state, at),
            TicketAction::Deliver(at, to) => self.begin(state, at, to),
            TicketAction::Disconnect(at) => state.requests[at].result = Some(CallerResult::Unknown),
            TicketAction::Poll(at) => {
                let to =
                    state.requests[at].phase.process().expect("a waiting request is at a process");
                self.begin(state, at, to);
            }
            TicketAction::Admit(at) => {
                let to =
                    state.requests[at].phase.process().expect("a process has received the request");
                state.requests[at].phase = RequestPhase::Admitted(to);
            }
            TicketAction::Dispatch(at, newest) => self.dispatch(state, at, newest),
            TicketAction::Cancel(at) => self.cancel(state, at),
            TicketAction::Timeout(at) => self.timeout(state, at),
            TicketAction::Run(id) => self.run(state, id),
            TicketAction::Reject(id) => pending_attempt(state, id).status = AttemptStatus::Rejected,
            TicketAction::Answer(id, sent) => self.answer(state, id, sent),
            TicketAction::Tick => state.now = Time(state.now.0 + 1),
            TicketAction::Sweep(at) => {
                let now = state.now;
                state.processes[at].table.sweep(now);
            }
            TicketAction::Crash(at) => self.crash(state, at),
            TicketAction::Start => {
                let at = state.processes.len();
                let same = self.fault == TicketFault::SameIncarnation;
                let incarnation = if same { Incarnation(0) } else { Incarnation(at as u64) };
                state.processes.push(process(at, incarnation));
            }
            TicketAction::Close(at) => {
                state.processes[at].closed = true;
                state.processes[at].table.close();
            }
            TicketAction::Exit(at) => self.exit(state, at),
        }
    }

    /// Returns the ticket that a request carries at `now`.
    fn ticket(&self, now: Time) -> Ticket {
        let extends = self.fault == TicketFault::ExpiryFromUse;
        let expiry = if extends { Time(now.0 + EXPIRY.0) } else { EXPIRY };
        ticket(expiry)
    }

    fn send(&self, state: &mut TicketState, at: usize) {
        let (operation, forwarded) = self.requests[at];
        state.requests[at].phase = RequestPhase::InTransit;
        if !forwarded {
            return;
        }
        let vm = "e2".parse().expect("a valid id");
        let mut other = TicketTable::<u8>::new(vm, Incarnation(0), TicketSettings::default());
        let ticket = self.ticket(state.now);
        let begin = other.begin(&ticket, key(operation), fingerprint(operation), state.now);
        if begin != BeginOutcome::Forward(ticket.vm) {
            state.violation = Some("only the owner begins an operation");
        }
    }

    fn begin(&self, state: &mut TicketState, at: usize, to: usize) {
        let (operation, _) = self.requests[at];
        let (now, ticket) = (state.now, self.ticket(state.now));
        let table = &mut state.processes[to].table;
        match table.begin(&ticket, key(operation), fingerprint(operation), now) {
            BeginOutcome::Fresh(_) => {
                state.requests[at].phase = RequestPhase::Received(to);
                state.requests[at].expiry = ticket.expiry;
            }
            BeginOutcome::InFlight => state.requests[at].phase = RequestPhase::Waiting(to),
            BeginOutcome::Answered(answer) => finish(state, at, CallerResult::Answer(answer)),
            BeginOutcome::Unknown(_) => finish(state, at, CallerResult::Unknown),
            BeginOutcome::Rejected(_) => self.finish_not_run(state, at),
            BeginOutcome::Forward(_) => state.violation = Some("the owner does not forward"),
        }
    }

    fn dispatch(&self, state: &mut TicketState, at: usize, newest: Incarnation) {
        let token = self.admitted(state, at);
        let to = state.requests[at].phase.process().expect("a process has admitted the request");
        let checkpoint =
            Checkpoint { now: state.now, incarnation: newest, deadline: Time(u64::MAX) };
        let process = &mut state.processes[to];
        if process.table.dispatch(token, checkpoint).is_err() {
            self.finish_not_run(state, at);
            return;
        }
        let id = process.attempts.start(at);
        state.pending.push(PendingAttempt {
            id,
            process: to,
            request: at,
            status: AttemptStatus::Sent,
        });
        state.requests[at].phase = RequestPhase::Dispatched(to, id);
        state.requests[at].attempts += 1;
    }

    fn cancel(&self, state: &mut TicketState, at: usize) {
        let to = state.requests[at].phase.process().expect("a process has the request");
        match state.requests[at].phase {
            RequestPhase::Received(_) => {
                let token = self.received(state, at);
                state.processes[to].table.abandon(token);
                self.finish_not_run(state, at);
            }
            RequestPhase::Admitted(_) => {
                let token = self.admitted(state, at);
                state.processes[to].table.abandon(token);
                self.finish_not_run(state, at);
            }
            _ => {
                let token = self.dispatched(state, at);
                state.processes[to].attempts.end(&at);
                state.processes[to].table.on_token_lost(token.name(), Reason::Cancelled);
                finish(state, at, CallerResult::Unknown);
            }
        }
    }

    fn timeout(&self, state: &mut TicketState, at: usize) {
        let token = self.dispatched(state, at);
        let to = state.requests[at].phase.process().expect("a process has dispatched the request");
        let process = &mut state.processes[to];
        process.attempts.end(&at);
        match self.fault {
            TicketFault::RetryAfterTimeout => {
                let _ = process.table.on_not_executed(token);
                state.requests[at].phase = RequestPhase::Admitted(to);
            }
            TicketFault::NotRunAfterDispatch => {
                process.table.unknown(token, Reason::Timeout);
                state.requests[at].phase = RequestPhase::Done;
                state.requests[at].result.get_or_insert(CallerResult::NotRun);
            }
            _ => {
                process.table.unknown(token, Reason::Timeout);
                finish(state, at, CallerResult::Unknown);
            }
        }
    }

    fn run(&self, state: &mut TicketState, id: AttemptId) {
        let attempt = pending_attempt(state, id);
        attempt.status = AttemptStatus::Ran;
        let at = attempt.request;
        if state.requests[at].ran {
            state.violation = Some("an operation runs at most once");
        }
        state.requests[at].ran = true;
    }

    fn answer(&self, state: &mut TicketState, id: AttemptId, sent: AttemptId) {
        let attempt = pending_attempt(state, id).clone();
        state.pending.retain(|attempt| attempt.id != id);
        let attempts = &mut state.processes[attempt.process].attempts;
        let answered_id = if self.fault == TicketFault::AnyAnswer { sent } else { id };
        let Ok(accepted) = attempts.accept(sent, Some(answered_id)) else {
            return;
        };
        let at = accepted.request;
        let token = self.dispatched(state, at);
        let table = &mut state.processes[attempt.process].table;
        if attempt.status == AttemptStatus::Rejected {
            let _ = table.on_not_executed(token);
            state.requests[at].phase = RequestPhase::Admitted(attempt.process);
            return;
        }
        let answer = self.requests[attempt.request].0;
        table.answer(token, answer, Bytes(1));
        finish(state, at, CallerResult::Answer(answer));
    }

    fn crash(&self, state: &mut TicketState, at: usize) {
        state.processes[at].alive = false;
        for request in 0..state.requests.len() {
            if state.requests[request].phase.process() == Some(at) {
                finish(state, request, CallerResult::Unknown);
            }
        }
    }

    fn exit(&self, state: &mut TicketState, at: usize) {
        let has_waiting =
            state.requests.iter().any(|request| request.phase == RequestPhase::Waiting(at));
        let is_idle = state.processes[at].table.in_flight() == 0 && !has_waiting;
        if !is_idle && self.fault != TicketFault::EarlyExit {
            return;
        }
        if state.requests.iter().any(|request| request.phase.process() == Some(at)) {
            state.violation = Some("a planned stop cuts no request in flight");
        }
        state.processes[at].alive = false;
    }

    fn finish_not_run(&self, state: &mut TicketState, at: usize) {
        let (operation, _) = self.requests[at];
        let may_run = state.pending.iter().any(|attempt| {
            attempt.status == AttemptStatus::Sent && self.requests[attempt.request].0 == operation
        });
        if may_run || 0 < self.runs(state, operation) {
            state.violation = Some("only an operation that did not run is reported as not run");
        }
        finish(state, at, CallerResult::NotRun);
    }

    /// Returns how many requests for `operation` have run.
    pub(crate) fn runs(&self, state: &TicketState, operation: u8) -> usize {
        let all = state.requests.iter().zip(&self.requests);
        all.filter(|(request, input)| request.ran && input.0 == operation).count()
    }

    fn received(&self, state: &TicketState, at: usize) -> Operation<Received> {
        let to = state.requests[at].phase.process().expect("a process has the request");
        let mut scratch = process(to, state.processes[to].incarnation).table;
        let (operation, _) = self.requests[at];
        let ticket = ticket(state.requests[at].expiry);
        match scratch.begin(&ticket, key(operation), fingerprint(operation), Time::ZERO) {
            BeginOutcome::Fresh(token) => token,
            _ => unreachable!("a scratch table holds no operation"),
        }
    }

    fn admitted(&self, state: &TicketState, at: usize) -> Operation<Admitted> {
        self.received(state, at).admit()
    }

    fn dispatched(&self, state: &TicketState, at: usize) -> Operation<Dispatched> {
        let to = state.requests[at].phase.process().expect("a process has the request");
        let incarnation = state.processes[to].incarnation;
        let mut scratch = process(to, incarnation).table;
        let (operation, _) = self.requests[at];
        let ticket = ticket(state.requests[at].expiry);
        let _ = scratch.begin(&ticket, key(operation), fingerprint(operation), Time::ZERO);
        let checkpoint = Checkpoint { now: Time::ZERO, incarnation, deadline: Time(1) };
        let token = scratch.dispatch(self.admitted(state, at), checkpoint);
        token.expect("nothing blocks a dispatch on a scratch table")
    }
}
