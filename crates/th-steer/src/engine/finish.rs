//! How attempts end, and what follows.

use th_protocol::{
    AttemptId, BackendId, Bytes, LinkId, Millis, OperationId, Reason, RegionId, ServiceId, Slots,
    Time, VmId,
};

use super::{Engine, Run};
use crate::{
    backend::Outcome,
    limit::{Charge, Refusal},
    retry::{Failure, RetryDecision, Slow},
    ticket::{Admitted, Checkpoint, Dispatched, Operation, Undispatched},
};

impl<A: Clone> Engine<A> {
    /// Ends an attempt at a backend server: frees its slot and gives it to the next in the queue.
    pub fn finish(
        &mut self,
        service: &ServiceId,
        attempt: AttemptId,
        outcome: Outcome,
        latency: Millis,
        now: Time,
    ) {
        self.backends.finish(attempt, outcome, latency, now);
        self.capacity.release(attempt);
        if matches!(outcome, Outcome::Answered | Outcome::ErrorStatus) {
            self.retry.answered(service, latency);
            if let Some(routing) = &mut self.routing {
                routing.record_hold(service, latency);
            }
        }
        self.serve_queue(service, now);
    }

    /// Notes that a backend server said in an answer that it leaves.
    pub fn on_leaving(&mut self, backend: &BackendId, now: Time) {
        self.backends.on_leaving(backend, now);
    }

    /// Notes that an attempt has had no sign of progress since `last`.
    pub fn on_stall(&mut self, attempt: AttemptId, last: Time, now: Time) -> bool {
        self.backends.on_silence(attempt, last, now)
    }

    /// Whether a request whose try failed is tried again, and after what wait.
    pub fn retry(&mut self, run: &Run, sure: bool, now: Time) -> RetryDecision {
        let failure = Failure {
            idempotent: run.spec.idempotent,
            sure,
            forwarded: run.call.forwarded,
            tries: run.attempts,
            deadline: run.call.deadline,
            expected: self.retry.hedge_after(&run.call.service).unwrap_or_default(),
        };
        self.retry.retry(&run.call.service, &failure, now, &mut self.rng)
    }

    /// How long a try of a service may take before a second one is considered.
    pub fn hedge_after(&self, service: &ServiceId) -> Option<Millis> {
        self.retry.hedge_after(service)
    }

    /// Whether to send a second try of a slow idempotent request.
    pub fn hedge(&mut self, run: &Run, sent: Time, now: Time) -> bool {
        let waiting = self.queues.get(&run.call.service).is_some_and(|it| !it.is_empty());
        let free = !waiting && self.backends.has_slot(&run.call.service, now);
        let slow = Slow {
            idempotent: run.spec.idempotent,
            forwarded: run.call.forwarded,
            tries: run.attempts,
            sent,
            free: Slots(u32::from(free)),
        };
        self.retry.hedge(&run.call.service, &slow, now)
    }

    /// Takes the last step before the first byte of a non-idempotent request.
    pub fn dispatch(
        &mut self,
        token: Operation<Admitted>,
        deadline: Time,
        now: Time,
    ) -> Result<Operation<Dispatched>, Reason> {
        let incarnation = self.members.replaced().unwrap_or(self.me.incarnation);
        self.tickets.dispatch(token, Checkpoint { now, incarnation, deadline })
    }

    /// Ends a non-idempotent request as not run.
    pub fn abandon<S: Undispatched>(&mut self, token: Operation<S>) {
        self.tickets.abandon(token);
    }

    /// Takes a non-idempotent request back, since it was surely not run.
    pub fn revert_dispatch(&mut self, token: Operation<Dispatched>) -> Operation<Admitted> {
        self.tickets.refused(token)
    }

    /// Ends a non-idempotent request with its whole answer.
    pub fn answered(&mut self, token: Operation<Dispatched>, answer: A, size: Bytes) {
        self.tickets.answer(token, answer, size);
    }

    /// Ends a non-idempotent request that may have run.
    pub fn unknown(&mut self, token: Operation<Dispatched>, reason: Reason) {
        self.tickets.unknown(token, reason);
    }

    /// Settles what was charged to a link by what was really sent.
    pub fn settle(&mut self, charge: (LinkId, Charge), actual: Bytes) {
        self.capacity.settle(charge, actual);
    }

    /// Charges an answer that goes to an entry VM in another region.
    pub fn charge(
        &mut self,
        to: &RegionId,
        bytes: Bytes,
        now: Time,
    ) -> Result<Option<(LinkId, Charge)>, Refusal> {
        self.capacity.charge(to, bytes, now)
    }

    /// Notes bytes that were sent to another region without asking, as a debt of the link.
    pub fn add_debt(&mut self, to: &RegionId, bytes: Bytes) {
        self.capacity.add_debt(to, bytes);
    }

    /// Notes a request that is sent to the owner of its ticket.
    pub fn charge_forward(&mut self, owner: &VmId, bytes: Bytes) {
        let zone = self.members.record(owner).map(|it| it.zone.clone());
        let spec = zone.and_then(|it| self.bundle.as_ref()?.zones.get(&it).cloned());
        if let Some(spec) = spec {
            self.capacity.add_debt(&spec.region, bytes);
        }
    }

    /// The expected size of a request and its answer.
    pub fn expected_size(&self, service: &ServiceId, operation: &OperationId) -> Bytes {
        let spec = self.bundle.as_ref().and_then(|it| it.services.get(service));
        let spec = spec.and_then(|it| it.operations.get(operation));
        spec.map_or(Bytes::ZERO, |it| it.size)
    }
}
