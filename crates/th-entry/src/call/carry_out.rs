//! Carries out a request: finds a destination, sends it there, and retries where that is safe.

use std::{sync::Arc, time::Duration};

use th_protocol::{Bytes, Notice, Reason};
use th_steer::{
    backend::{Choice, Outcome},
    engine::{Peer, Placement, Run, notices},
    retry::RetryDecision,
    ticket::{Admitted, Dispatched, Operation, Received},
};
use tokio::time::sleep;

use super::{
    Incoming,
    attempt::Attempt,
    local,
    remote::{self, RemoteOutcome},
};
use crate::{
    entry::Entry,
    io::{Body, Reply, RetainedAnswer},
};

/// The permit to dispatch a request: a token of its operation, which an idempotent request does not need.
enum RunPermit {
    Idempotent,
    Received(Operation<Received>),
    Admitted(Operation<Admitted>),
}

/// The permit of a request whose first byte may have been sent.
enum DispatchPermit {
    Idempotent,
    Once(Operation<Dispatched>),
}

/// The result of one attempt.
enum AttemptResult {
    Done(Reply),
    /// The attempt certainly did not run; the request keeps its permit.
    NotExecuted(RunPermit, Reason),
    /// The attempt may have run, and the request may be retried since it is idempotent.
    MayHaveRun(Reason),
}

/// Carries out a request.
pub(crate) async fn carry_out(entry: &Arc<Entry>, mut run: Run, incoming: &Incoming) -> Reply {
    let mut permit = match run.token.take() {
        None => RunPermit::Idempotent,
        Some(token) => RunPermit::Received(token),
    };
    // Why an earlier attempt of an idempotent request may have run.
    let mut uncertainty = None;
    loop {
        let destination = match find_destination(entry, &mut run).await {
            Ok(destination) => destination,
            Err(notice) => return end_rejected(entry, permit, uncertainty, &notice),
        };
        run.attempts += 1;
        let result = match destination {
            Destination::Backend(choice) => {
                attempt_local(entry, &mut run, incoming, choice, permit).await
            }
            Destination::Peer(peer) => {
                attempt_remote(entry, &mut run, incoming, peer, permit).await
            }
        };
        let (not_executed, reason) = match result {
            AttemptResult::Done(reply) => return reply,
            AttemptResult::NotExecuted(permit_left, reason) => {
                permit = permit_left;
                (true, reason)
            }
            AttemptResult::MayHaveRun(reason) => {
                permit = RunPermit::Idempotent;
                uncertainty = Some(reason);
                (false, reason)
            }
        };
        if !wait_for_retry(entry, &mut run, not_executed, reason).await {
            let notice = notices::refused(reason, entry.settings.pace.call);
            return end_rejected(entry, permit, uncertainty, &notice);
        }
    }
}

/// Waits until the next attempt is due; returns `false` if there must be none.
async fn wait_for_retry(entry: &Entry, run: &mut Run, not_executed: bool, reason: Reason) -> bool {
    // A rejection by another data centre does not count as an attempt: the request may still wait for a slot here.
    if not_executed && reason == Reason::NoSlot {
        run.attempts -= 1;
        return true;
    }
    let RetryDecision::After(wait) =
        entry.with_engine(|engine, now| engine.retry(run, not_executed, now))
    else {
        return false;
    };
    entry.metrics.retries.with_label_values(&[run.call.service.as_str(), "retry"]).inc();
    sleep(Duration::from_millis(wait.0)).await;
    true
}

/// The destination of a request.
enum Destination {
    Backend(Choice),
    Peer(Peer),
}

/// Finds a destination for the request, after a wait in the queue if needed. The error is the notice if there is none.
async fn find_destination(entry: &Arc<Entry>, run: &mut Run) -> Result<Destination, Notice> {
    let service = run.call.service.clone();
    let (place, wake) = entry.with_engine(|engine, now| {
        let place = engine.place(run, now);
        let wake = match &place {
            Placement::Queued(waiter) => Some(entry.register_waiter(*waiter, &service)),
            _ => None,
        };
        (place, wake)
    });
    let place = match wake {
        None => Some(place),
        Some(wake) => wake.await.ok(),
    };
    match place {
        Some(Placement::Backend(choice)) => Ok(Destination::Backend(choice)),
        Some(Placement::Peer(peer)) => Ok(Destination::Peer(peer)),
        Some(Placement::Reject(notice)) => Err(notice),
        // The waiter was dropped without a placement.
        Some(Placement::Queued(_)) | None => {
            Err(entry.with_engine(|engine, now| engine.reject_waiter(&run.call, now)))
        }
    }
}

/// Ends a request that has no destination or no further attempt.
fn end_rejected(
    entry: &Entry,
    permit: RunPermit,
    uncertainty: Option<Reason>,
    notice: &Notice,
) -> Reply {
    match uncertainty {
        Some(reason) => Reply::notice(&notices::unknown(reason)),
        None => end_not_run(entry, permit, notice),
    }
}

/// Returns the notice that nothing ran, and abandons the operation so that it can start again.
fn end_not_run(entry: &Entry, permit: RunPermit, notice: &Notice) -> Reply {
    match permit {
        RunPermit::Idempotent => {}
        RunPermit::Received(token) => entry.with_engine(|engine, _| engine.abandon(token)),
        RunPermit::Admitted(token) => entry.with_engine(|engine, _| engine.abandon(token)),
    }
    entry.operation_ended.notify_waiters();
    Reply::notice(notice)
}

/// Marks the operation as dispatched, before the first byte is sent. The error is the reason why nothing may be sent.
fn dispatch(entry: &Entry, run: &Run, permit: RunPermit) -> Result<DispatchPermit, Reason> {
    let token = match permit {
        RunPermit::Idempotent => return Ok(DispatchPermit::Idempotent),
        RunPermit::Received(token) => token.admit(),
        RunPermit::Admitted(token) => token,
    };
    let deadline = run.call.deadline;
    entry.with_engine(|engine, now| engine.dispatch(token, deadline, now)).map(DispatchPermit::Once)
}

/// Returns the notice why a request was not dispatched.
fn end_undispatched(entry: &Entry, reason: Reason) -> AttemptResult {
    entry.operation_ended.notify_waiters();
    AttemptResult::Done(Reply::notice(&notices::not_run(reason)))
}

async fn attempt_local(
    entry: &Arc<Entry>,
    run: &mut Run,
    incoming: &Incoming,
    choice: Choice,
    permit: RunPermit,
) -> AttemptResult {
    let attempt = Attempt::new(entry, run.call.service.clone(), choice.attempt);
    let dispatched = match dispatch(entry, run, permit) {
        Ok(dispatched) => dispatched,
        Err(reason) => return end_undispatched(entry, reason),
    };
    let (outcome, answer) = local::send_to(entry, run, incoming, choice, attempt).await;
    match answer {
        Some(reply) => AttemptResult::Done(end_answered(entry, dispatched, reply)),
        None => end_failed(entry, dispatched, outcome),
    }
}

async fn attempt_remote(
    entry: &Arc<Entry>,
    run: &mut Run,
    incoming: &Incoming,
    peer: Peer,
    permit: RunPermit,
) -> AttemptResult {
    let dispatched = match dispatch(entry, run, permit) {
        Ok(dispatched) => dispatched,
        Err(reason) => return end_undispatched(entry, reason),
    };
    let zone = peer.zone.clone();
    match remote::send(entry, peer, run, incoming).await {
        RemoteOutcome::Answer(reply) => AttemptResult::Done(end_answered(entry, dispatched, reply)),
        RemoteOutcome::NotRun => {
            run.rejected_by.insert(zone);
            AttemptResult::NotExecuted(revert_dispatch(entry, dispatched), Reason::NoSlot)
        }
        RemoteOutcome::Unknown(outcome) => end_failed(entry, dispatched, outcome),
    }
}

/// Ends a request with its answer, which is retained for repeats of a non-idempotent request.
fn end_answered(entry: &Entry, dispatched: DispatchPermit, reply: Reply) -> Reply {
    let DispatchPermit::Once(token) = dispatched else {
        return reply;
    };
    let Body::Complete(body) = &reply.body else {
        // The answer is too large to be retained: repeats are answered that the operation may have run.
        entry.with_engine(|engine, _| engine.unknown(token, Reason::TicketsFull));
        entry.operation_ended.notify_waiters();
        return reply;
    };
    let retained =
        RetainedAnswer { status: reply.status, headers: reply.headers.clone(), body: body.clone() };
    let size = Bytes(retained.size());
    entry.with_engine(|engine, _| engine.answered(token, Arc::new(retained), size));
    entry.operation_ended.notify_waiters();
    reply
}

fn revert_dispatch(entry: &Entry, dispatched: DispatchPermit) -> RunPermit {
    match dispatched {
        DispatchPermit::Idempotent => RunPermit::Idempotent,
        DispatchPermit::Once(token) => {
            RunPermit::Admitted(entry.with_engine(|engine, _| engine.revert_dispatch(token)))
        }
    }
}

fn end_failed(entry: &Entry, dispatched: DispatchPermit, outcome: Outcome) -> AttemptResult {
    let reason = reason_of(outcome);
    if outcome.is_not_executed() {
        return AttemptResult::NotExecuted(revert_dispatch(entry, dispatched), reason);
    }
    match dispatched {
        DispatchPermit::Idempotent => AttemptResult::MayHaveRun(reason),
        DispatchPermit::Once(token) => {
            entry.with_engine(|engine, _| engine.unknown(token, reason));
            entry.operation_ended.notify_waiters();
            AttemptResult::Done(Reply::notice(&notices::unknown(reason)))
        }
    }
}

fn reason_of(outcome: Outcome) -> Reason {
    match outcome {
        Outcome::Shed(_) => Reason::Shed,
        Outcome::ConnectFailed => Reason::Unreachable,
        Outcome::Timeout => Reason::Timeout,
        Outcome::Cancelled => Reason::Cancelled,
        Outcome::Cut | Outcome::Answered | Outcome::ErrorStatus => Reason::Cut,
    }
}
