//! Results of attempts, retries, hedges and charges.

use th_protocol::{
    AttemptId, BackendId, Bytes, LinkId, Millis, OperationId, Reason, RegionId, ServiceId, Slots,
    Time, VmId,
};

use super::{Engine, Run};
use crate::{
    backend::Outcome,
    limit::{Charge, Rejection},
    retry::{FailedAttempt, RetryDecision, SlowAttempt},
    ticket::{Admitted, Checkpoint, Dispatched, Operation, Undispatched},
};

impl<A: Clone> Engine<A> {
    /// Ends an attempt at a backend server: releases its slot and gives it to the next queued request.
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
            self.retry.on_answer(service, latency);
            if let Some(routing) = &mut self.routing {
                routing.record_hold(service, latency);
            }
        }
        self.serve_queue(service, now);
    }

    /// Records that a backend server has announced in an answer that it is leaving.
    pub fn on_leaving(&mut self, backend: &BackendId, now: Time) {
        self.backends.on_leaving(backend, now);
    }

    /// Records that an attempt has made no progress since `last`. Returns whether its generation of
    /// connections was retired for that.
    pub fn on_stall(&mut self, attempt: AttemptId, last: Time, now: Time) -> bool {
        self.backends.on_stall(attempt, last, now)
    }

    /// Decides whether a request whose attempt failed is retried, and after what delay. `not_executed`
    /// states that the attempt was certainly not executed.
    pub fn retry(&mut self, run: &Run, not_executed: bool, now: Time) -> RetryDecision {
        let failure = FailedAttempt {
            idempotent: run.spec.idempotent,
            not_executed,
            forwarded: run.call.forwarded,
            attempts: run.attempts,
            deadline: run.call.deadline,
            expected: self.retry.hedge_after(&run.call.service).unwrap_or_default(),
        };
        self.retry.retry(&run.call.service, &failure, now, &mut self.rng)
    }

    /// The time after which a hedged attempt is considered for a service.
    pub fn hedge_after(&self, service: &ServiceId) -> Option<Millis> {
        self.retry.hedge_after(service)
    }

    /// Decides whether to send a hedged attempt of a slow idempotent request.
    pub fn hedge(&mut self, run: &Run, sent: Time, now: Time) -> bool {
        let waiting = self.queues.get(&run.call.service).is_some_and(|it| !it.is_empty());
        let has_free_slot = !waiting && self.backends.has_slot(&run.call.service, now);
        let slow = SlowAttempt {
            idempotent: run.spec.idempotent,
            forwarded: run.call.forwarded,
            attempts: run.attempts,
            sent,
            free: Slots(u32::from(has_free_slot)),
        };
        self.retry.hedge(&run.call.service, &slow, now)
    }

    /// Marks a non-idempotent request as dispatched, just before its first byte is sent.
    pub fn dispatch(
        &mut self,
        token: Operation<Admitted>,
        deadline: Time,
        now: Time,
    ) -> Result<Operation<Dispatched>, Reason> {
        let incarnation = self.members.replaced_by().unwrap_or(self.me.incarnation);
        self.tickets.dispatch(token, Checkpoint { now, incarnation, deadline })
    }

    /// Ends a non-idempotent request that was not run.
    pub fn abandon<S: Undispatched>(&mut self, token: Operation<S>) {
        self.tickets.abandon(token);
    }

    /// Returns a dispatched non-idempotent request to the admitted stage, as it was certainly not run.
    pub fn revert_dispatch(&mut self, token: Operation<Dispatched>) -> Operation<Admitted> {
        self.tickets.on_not_executed(token)
    }

    /// Ends a non-idempotent request with its complete answer.
    pub fn answered(&mut self, token: Operation<Dispatched>, answer: A, size: Bytes) {
        self.tickets.answer(token, answer, size);
    }

    /// Ends a non-idempotent request that may have run.
    pub fn unknown(&mut self, token: Operation<Dispatched>, reason: Reason) {
        self.tickets.unknown(token, reason);
    }

    /// Corrects the charge to a link to the bytes actually sent.
    pub fn settle(&mut self, charge: (LinkId, Charge), actual: Bytes) {
        self.capacity.settle(charge, actual);
    }

    /// Charges an answer that is sent to an entry VM in another region to the link.
    pub fn charge(
        &mut self,
        to: &RegionId,
        bytes: Bytes,
        now: Time,
    ) -> Result<Option<(LinkId, Charge)>, Rejection> {
        self.capacity.charge(to, bytes, now)
    }

    /// Records bytes that were sent to another region without a check of the cap as a debt of the link.
    pub fn add_debt(&mut self, to: &RegionId, bytes: Bytes) {
        self.capacity.add_debt(to, bytes);
    }

    /// Records the bytes of a request that is forwarded to the owner of its ticket as a debt of the link.
    pub fn charge_forward(&mut self, owner: &VmId, bytes: Bytes) {
        let zone = self.members.record(owner).map(|it| it.zone.clone());
        let spec = zone.and_then(|it| self.bundle.as_ref()?.zones.get(&it).cloned());
        if let Some(spec) = spec {
            self.capacity.add_debt(&spec.region, bytes);
        }
    }

    /// The expected size of a request with its answer, according to the bundle.
    pub fn expected_size(&self, service: &ServiceId, operation: &OperationId) -> Bytes {
        let spec = self.bundle.as_ref().and_then(|it| it.services.get(service));
        let spec = spec.and_then(|it| it.operations.get(operation));
        spec.map_or(Bytes::ZERO, |it| it.size)
    }
}
