//! Checks of received requests.

use std::collections::BTreeSet;

use th_protocol::{MemberState, Notice, Operation as Spec, Reason, Time, Verdict, VmId};

use super::{Call, Engine, ReceiveOutcome, Run, notices};
use crate::{
    explain::{Inputs, Limit, Outcome, Quantity, Rule},
    ticket::{BeginOutcome, IdempotencyKey, Operation, Received},
};

/// The result of checking a request: it proceeds, or it is done. It proceeds with a token if it is
/// non-idempotent and was not forwarded. The VM that forwards a non-idempotent request holds its token.
enum Checked<A> {
    Proceed(Option<Operation<Received>>),
    Done(Box<ReceiveOutcome<A>>),
}

fn done<A>(receive: ReceiveOutcome<A>) -> Checked<A> {
    Checked::Done(Box::new(receive))
}

impl<A: Clone> Engine<A> {
    /// Checks a request, and begins it if this VM is to execute it.
    pub fn receive(&mut self, call: Call, now: Time) -> ReceiveOutcome<A> {
        let spec = match self.spec(&call) {
            Ok(spec) => spec,
            Err(notice) => return self.on_unknown_operation(&call, notice, now),
        };
        let latest = now.after(spec.deadline);
        let call = Call { deadline: call.deadline.min(latest), ..call };
        let checked = self.check(&call, &spec, now);
        let token = match checked {
            Checked::Proceed(token) => token,
            Checked::Done(end) => match *end {
                ReceiveOutcome::Notice(notice) => return self.reject(&call, notice, now),
                end => return end,
            },
        };
        if !call.forwarded {
            self.retry.on_first_attempt(&call.service);
        }
        if let Some(routing) = &mut self.routing {
            routing.count_request(&call.service, call.source);
        }
        let attempts = call.attempts;
        ReceiveOutcome::Run(Run { call, spec, token, attempts, rejected_by: BTreeSet::new() })
    }

    fn spec(&self, call: &Call) -> Result<Spec, Notice> {
        let Some(bundle) = &self.bundle else {
            return Err(notices::refused(Reason::NoBundle, self.settings.spread.poll));
        };
        let service = bundle.services.get(&call.service);
        let service = service.ok_or(notices::not_run(Reason::NoService))?;
        let spec = service.operations.get(&call.operation);
        spec.cloned().ok_or(notices::not_run(Reason::NoOperation))
    }

    fn check(&mut self, call: &Call, spec: &Spec, now: Time) -> Checked<A> {
        // An entry VM that forwards a non-idempotent request is the owner of its ticket.
        if spec.idempotent || call.forwarded {
            return match self.stopping {
                true => done(ReceiveOutcome::Notice(notices::not_run(Reason::Stopping))),
                false => Checked::Proceed(None),
            };
        }
        self.begin(call, now)
    }

    /// Answers a request whose operation the bundle does not have. A request with a ticket may repeat an
    /// operation that has already run, which only the owner of the ticket knows.
    fn on_unknown_operation(
        &mut self,
        call: &Call,
        notice: Notice,
        now: Time,
    ) -> ReceiveOutcome<A> {
        if call.forwarded || call.ticket.is_none() {
            return self.reject(call, notice, now);
        }
        match self.begin(call, now) {
            Checked::Proceed(token) => {
                if let Some(token) = token {
                    self.abandon(token);
                }
                self.reject(call, notice, now)
            }
            Checked::Done(end) => *end,
        }
    }

    /// Begins a non-idempotent operation under its ticket.
    fn begin(&mut self, call: &Call, now: Time) -> Checked<A> {
        let Some(sealed) = &call.ticket else {
            return done(ReceiveOutcome::Notice(self.reject_with_ticket(
                call,
                Reason::NoTicket,
                now,
            )));
        };
        let Some(key) = &call.key else {
            return done(ReceiveOutcome::Notice(notices::not_run(Reason::NoKey)));
        };
        let key: IdempotencyKey = match key.parse() {
            Ok(key) => key,
            Err(_) => return done(ReceiveOutcome::Notice(notices::not_run(Reason::NoKey))),
        };
        let ticket = match self.keys.open(sealed) {
            Ok(ticket) => ticket,
            Err(error) => {
                let notice = self.reject_with_ticket(call, error.reason(), now);
                return done(ReceiveOutcome::Notice(notice));
            }
        };
        if ticket.service != call.service || ticket.operation != call.operation {
            return done(ReceiveOutcome::Notice(notices::not_run(Reason::BadTicket)));
        }
        match self.tickets.begin(&ticket, key, call.fingerprint, now) {
            BeginOutcome::Fresh(token) => Checked::Proceed(Some(token)),
            BeginOutcome::InFlight => done(ReceiveOutcome::Wait),
            BeginOutcome::Answered(answer) => done(ReceiveOutcome::Answered(answer)),
            BeginOutcome::Unknown(reason) => done(ReceiveOutcome::Notice(notices::unknown(reason))),
            BeginOutcome::Rejected(reason) => {
                done(ReceiveOutcome::Notice(notices::not_run(reason)))
            }
            BeginOutcome::Forward(owner) => done(self.forward_to_owner(&owner, ticket.incarnation)),
        }
    }

    /// Rejects a request that has no usable ticket; the answer contains a new one.
    fn reject_with_ticket(&mut self, call: &Call, reason: Reason, now: Time) -> Notice {
        if self.stopping {
            return notices::not_run(reason);
        }
        let me = self.me.vm.clone();
        let ticket = self.ticket_for(&me, &call.service, &call.operation, now);
        Notice { ticket: Some(ticket), ..notices::not_run(reason) }
    }

    /// Forwards a request to the owner of its ticket. If the owner is unknown, dead or was restarted, it may have
    /// run the operation, and the result is unknown.
    fn forward_to_owner(
        &self,
        owner: &VmId,
        incarnation: th_protocol::Incarnation,
    ) -> ReceiveOutcome<A> {
        let Some(record) = self.members.record(owner) else {
            return ReceiveOutcome::Notice(notices::unknown(Reason::OwnerGone));
        };
        if record.state == MemberState::Dead || incarnation < record.incarnation {
            return ReceiveOutcome::Notice(notices::unknown(Reason::OwnerGone));
        }
        ReceiveOutcome::Forward { vm: owner.clone(), address: record.address }
    }

    /// Rejects a request and records the reason in the journal.
    pub(crate) fn reject(&mut self, call: &Call, notice: Notice, now: Time) -> ReceiveOutcome<A> {
        self.explain_rejection(call, &notice, now);
        ReceiveOutcome::Notice(notice)
    }

    pub(crate) fn explain_rejection(&mut self, call: &Call, notice: &Notice, now: Time) {
        if notice.verdict == Verdict::Unknown {
            return;
        }
        let mut inputs = Inputs::default();
        inputs.push(Quantity::TimeLeft, call.deadline.since(now).0 as f64, Default::default());
        if let Some(queue) = self.queues.get(&call.service) {
            inputs.push(Quantity::Waiting, queue.len() as f64, Default::default());
        }
        let free = f64::from(self.capacity.free_share(now).0) / 1_000.0;
        inputs.push(Quantity::Headroom, free, Default::default());
        let (limit, rule) = limit_and_rule(notice.reason);
        let decision = (limit, rule, Outcome::Refused);
        let reason = Some(notice.reason);
        self.record(&call.service.clone(), Some(call.number), inputs, decision, reason, now);
    }
}

/// The limit and the rule behind a reason.
fn limit_and_rule(reason: Reason) -> (Limit, Rule) {
    match reason {
        Reason::RegionCap => (Limit::RegionCap, Rule::Admission),
        Reason::LinkCap => (Limit::LinkCap, Rule::Admission),
        Reason::ShiftCap => (Limit::ShiftCap, Rule::Shift),
        Reason::NoSlot => (Limit::BackendSlots, Rule::BackendChoice),
        Reason::NoBackend => (Limit::Usable, Rule::BackendChoice),
        Reason::QueueFull => (Limit::Queue, Rule::QueueOrder),
        Reason::Deadline => (Limit::Deadline, Rule::QueueOrder),
        Reason::Stopping => (Limit::None, Rule::Drain),
        Reason::NoTicket | Reason::BadTicket | Reason::TicketExpired | Reason::NoKey => {
            (Limit::None, Rule::AtMostOnce)
        }
        Reason::TicketsFull => (Limit::Tickets, Rule::AtMostOnce),
        Reason::KeyReused | Reason::OwnerGone => (Limit::None, Rule::AtMostOnce),
        Reason::NoBundle | Reason::NoService | Reason::NoOperation => (Limit::None, Rule::Bundle),
        _ => (Limit::None, Rule::Admission),
    }
}
