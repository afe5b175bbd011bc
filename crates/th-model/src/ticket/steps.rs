//! The steps of the ticket model.

use th_protocol::{AttemptId, Bytes, Incarnation, Reason, Time};
use th_steer::ticket::{
    Admitted, BeginOutcome, Checkpoint, Dispatched, Operation, Received, Ticket, TicketSettings,
    TicketTable,
};

use super::{
    TicketAction, TicketFault, TicketModel,
    state::{
        EXPIRY, Fate, Flight, Place, TicketState, Told, flight, key, print, process, tell, ticket,
    },
};

impl TicketModel {
    pub(crate) fn apply(&self, state: &mut TicketState, action: TicketAction) {
        match action {
            TicketAction::Send(at) => self.send(state, at),
            TicketAction::Deliver(at, to) => self.begin(state, at, to),
            TicketAction::Break(at) => state.requests[at].told = Some(Told::Unknown),
            TicketAction::Poll(at) => {
                let to = state.requests[at].place.process().expect("it waits at a process");
                self.begin(state, at, to);
            }
            TicketAction::Admit(at) => {
                let to = state.requests[at].place.process().expect("a process received it");
                state.requests[at].place = Place::Admitted(to);
            }
            TicketAction::Dispatch(at, newest) => self.dispatch(state, at, newest),
            TicketAction::Cancel(at) => self.cancel(state, at),
            TicketAction::Timeout(at) => self.timeout(state, at),
            TicketAction::Run(id) => self.run(state, id),
            TicketAction::Refuse(id) => flight(state, id).fate = Fate::Refused,
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

    /// The ticket that a request shows at `now`.
    fn ticket(&self, now: Time) -> Ticket {
        let late = self.fault == TicketFault::ExpiryFromUse;
        let expiry = if late { Time(now.0 + EXPIRY.0) } else { EXPIRY };
        ticket(expiry)
    }

    fn send(&self, state: &mut TicketState, at: usize) {
        let (operation, forwarded) = self.requests[at];
        state.requests[at].place = Place::Travels;
        if !forwarded {
            return;
        }
        let vm = "e2".parse().expect("a valid id");
        let mut other = TicketTable::<u8>::new(vm, Incarnation(0), TicketSettings::default());
        let ticket = self.ticket(state.now);
        let begin = other.begin(&ticket, key(operation), print(operation), state.now);
        if begin != BeginOutcome::Forward(ticket.vm) {
            state.flaw = Some("only the owner begins an operation");
        }
    }

    fn begin(&self, state: &mut TicketState, at: usize, to: usize) {
        let (operation, _) = self.requests[at];
        let (now, ticket) = (state.now, self.ticket(state.now));
        let table = &mut state.processes[to].table;
        match table.begin(&ticket, key(operation), print(operation), now) {
            BeginOutcome::Fresh(_) => {
                state.requests[at].place = Place::Received(to);
                state.requests[at].expiry = ticket.expiry;
            }
            BeginOutcome::InFlight => state.requests[at].place = Place::Waits(to),
            BeginOutcome::Answered(answer) => tell(state, at, Told::Answer(answer)),
            BeginOutcome::Unknown(_) => tell(state, at, Told::Unknown),
            BeginOutcome::Rejected(_) => self.tell_not_run(state, at),
            BeginOutcome::Forward(_) => state.flaw = Some("the owner does not forward"),
        }
    }

    fn dispatch(&self, state: &mut TicketState, at: usize, newest: Incarnation) {
        let token = self.admitted(state, at);
        let to = state.requests[at].place.process().expect("a process admitted it");
        let checkpoint =
            Checkpoint { now: state.now, incarnation: newest, deadline: Time(u64::MAX) };
        let process = &mut state.processes[to];
        if process.table.dispatch(token, checkpoint).is_err() {
            self.tell_not_run(state, at);
            return;
        }
        let id = process.attempts.start(at);
        state.flights.push(Flight { id, process: to, request: at, fate: Fate::Sent });
        state.requests[at].place = Place::Dispatched(to, id);
        state.requests[at].tries += 1;
    }

    fn cancel(&self, state: &mut TicketState, at: usize) {
        let to = state.requests[at].place.process().expect("a process has it");
        match state.requests[at].place {
            Place::Received(_) => {
                let token = self.received(state, at);
                state.processes[to].table.abandon(token);
                self.tell_not_run(state, at);
            }
            Place::Admitted(_) => {
                let token = self.admitted(state, at);
                state.processes[to].table.abandon(token);
                self.tell_not_run(state, at);
            }
            _ => {
                let token = self.dispatched(state, at);
                state.processes[to].attempts.end(&at);
                state.processes[to].table.on_token_lost(token.name(), Reason::Cancelled);
                tell(state, at, Told::Unknown);
            }
        }
    }

    fn timeout(&self, state: &mut TicketState, at: usize) {
        let token = self.dispatched(state, at);
        let to = state.requests[at].place.process().expect("a process dispatched it");
        let process = &mut state.processes[to];
        process.attempts.end(&at);
        match self.fault {
            TicketFault::RetryAfterTimeout => {
                let _ = process.table.on_not_executed(token);
                state.requests[at].place = Place::Admitted(to);
            }
            TicketFault::NotRunAfterDispatch => {
                process.table.unknown(token, Reason::Timeout);
                state.requests[at].place = Place::Done;
                state.requests[at].told.get_or_insert(Told::NotRun);
            }
            _ => {
                process.table.unknown(token, Reason::Timeout);
                tell(state, at, Told::Unknown);
            }
        }
    }

    fn run(&self, state: &mut TicketState, id: AttemptId) {
        let flight = flight(state, id);
        flight.fate = Fate::Ran;
        let at = flight.request;
        if state.requests[at].ran {
            state.flaw = Some("an operation runs at most once");
        }
        state.requests[at].ran = true;
    }

    fn answer(&self, state: &mut TicketState, id: AttemptId, sent: AttemptId) {
        let flight = flight(state, id).clone();
        state.flights.retain(|flight| flight.id != id);
        let attempts = &mut state.processes[flight.process].attempts;
        let named = if self.fault == TicketFault::AnyAnswer { sent } else { id };
        let Ok(accepted) = attempts.accept(sent, Some(named)) else {
            return;
        };
        let at = accepted.request;
        let token = self.dispatched(state, at);
        let table = &mut state.processes[flight.process].table;
        if flight.fate == Fate::Refused {
            let _ = table.on_not_executed(token);
            state.requests[at].place = Place::Admitted(flight.process);
            return;
        }
        let answer = self.requests[flight.request].0;
        table.answer(token, answer, Bytes(1));
        tell(state, at, Told::Answer(answer));
    }

    fn crash(&self, state: &mut TicketState, at: usize) {
        state.processes[at].alive = false;
        for request in 0..state.requests.len() {
            if state.requests[request].place.process() == Some(at) {
                tell(state, request, Told::Unknown);
            }
        }
    }

    fn exit(&self, state: &mut TicketState, at: usize) {
        let waits = state.requests.iter().any(|request| request.place == Place::Waits(at));
        let ready = state.processes[at].table.in_flight() == 0 && !waits;
        if !ready && self.fault != TicketFault::EarlyExit {
            return;
        }
        if state.requests.iter().any(|request| request.place.process() == Some(at)) {
            state.flaw = Some("a graceful stop cuts no request in flight");
        }
        state.processes[at].alive = false;
    }

    fn tell_not_run(&self, state: &mut TicketState, at: usize) {
        let (operation, _) = self.requests[at];
        let may_run = state.flights.iter().any(|flight| {
            flight.fate == Fate::Sent && self.requests[flight.request].0 == operation
        });
        if may_run || 0 < self.runs(state, operation) {
            state.flaw = Some("not run is told only of an operation that did not run");
        }
        tell(state, at, Told::NotRun);
    }

    /// Requests for an operation that ran.
    pub(crate) fn runs(&self, state: &TicketState, operation: u8) -> usize {
        let all = state.requests.iter().zip(&self.requests);
        all.filter(|(request, asked)| request.ran && asked.0 == operation).count()
    }

    fn received(&self, state: &TicketState, at: usize) -> Operation<Received> {
        let to = state.requests[at].place.process().expect("a process has it");
        let mut scratch = process(to, state.processes[to].incarnation).table;
        let (operation, _) = self.requests[at];
        let ticket = ticket(state.requests[at].expiry);
        match scratch.begin(&ticket, key(operation), print(operation), Time::ZERO) {
            BeginOutcome::Fresh(token) => token,
            _ => unreachable!("a scratch table knows no operation"),
        }
    }

    fn admitted(&self, state: &TicketState, at: usize) -> Operation<Admitted> {
        self.received(state, at).admit()
    }

    fn dispatched(&self, state: &TicketState, at: usize) -> Operation<Dispatched> {
        let to = state.requests[at].place.process().expect("a process has it");
        let incarnation = state.processes[to].incarnation;
        let mut scratch = process(to, incarnation).table;
        let (operation, _) = self.requests[at];
        let ticket = ticket(state.requests[at].expiry);
        let _ = scratch.begin(&ticket, key(operation), print(operation), Time::ZERO);
        let checkpoint = Checkpoint { now: Time::ZERO, incarnation, deadline: Time(1) };
        let token = scratch.dispatch(self.admitted(state, at), checkpoint);
        token.expect("a scratch table has no obstacle")
    }
}
