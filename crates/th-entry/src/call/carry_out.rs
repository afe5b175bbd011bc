//! Carries a request out: finds a place for it, sends it there, and tries again where that is safe.

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
    remote::{self, RemoteEnd},
};
use crate::{
    entry::Entry,
    io::{Body, Kept, Reply},
};

/// What a non-idempotent request may still do; an idempotent one needs no permission.
enum RunRight {
    Free,
    Received(Operation<Received>),
    Admitted(Operation<Admitted>),
}

/// The same once the first byte may have left.
enum DispatchRight {
    Free,
    Once(Operation<Dispatched>),
}

/// How one try ended.
enum Tried {
    Done(Reply),
    /// Surely not run; the request goes on with what it may still do.
    Again(RunRight, Reason),
    /// It may have run, and running it again is the same.
    Repeat(Reason),
}

/// Carries a request out.
pub(crate) async fn carry_out(entry: &Arc<Entry>, mut run: Run, incoming: &Incoming) -> Reply {
    let mut right = match run.token.take() {
        None => RunRight::Free,
        Some(token) => RunRight::Received(token),
    };
    // Why an earlier try of an idempotent request may have run.
    let mut unsure = None;
    loop {
        let place = match find_place(entry, &mut run).await {
            Ok(place) => place,
            Err(notice) => return end_refused(entry, right, unsure, &notice),
        };
        run.attempts += 1;
        let tried = match place {
            Found::Backend(choice) => try_here(entry, &mut run, incoming, choice, right).await,
            Found::Peer(peer) => try_elsewhere(entry, &mut run, incoming, peer, right).await,
        };
        let (sure, reason) = match tried {
            Tried::Done(reply) => return reply,
            Tried::Again(left, reason) => {
                right = left;
                (true, reason)
            }
            Tried::Repeat(reason) => {
                right = RunRight::Free;
                unsure = Some(reason);
                (false, reason)
            }
        };
        if !wait_for_retry(entry, &mut run, sure, reason).await {
            let notice = notices::refused(reason, entry.settings.pace.call);
            return end_refused(entry, right, unsure, &notice);
        }
    }
}

/// Waits as long as the next try has to; `false` where there is to be none.
async fn wait_for_retry(entry: &Entry, run: &mut Run, sure: bool, reason: Reason) -> bool {
    // Another data centre's refusal costs no second try here: the request may still wait for a slot.
    if sure && reason == Reason::NoSlot {
        run.attempts -= 1;
        return true;
    }
    let RetryDecision::After(wait) = entry.decide(|engine, now| engine.retry(run, sure, now))
    else {
        return false;
    };
    entry.metrics.retries.with_label_values(&[run.call.service.as_str(), "retry"]).inc();
    sleep(Duration::from_millis(wait.0)).await;
    true
}

/// Where a request goes.
enum Found {
    Backend(Choice),
    Peer(Peer),
}

/// A place for the request, after a wait where one is needed, or why there is none.
async fn find_place(entry: &Arc<Entry>, run: &mut Run) -> Result<Found, Notice> {
    let service = run.call.service.clone();
    let (place, wake) = entry.decide(|engine, now| {
        let place = engine.place(run, now);
        let wake = match &place {
            Placement::Queued(waiter) => Some(entry.wait_for(*waiter, &service)),
            _ => None,
        };
        (place, wake)
    });
    let place = match wake {
        None => Some(place),
        Some(wake) => wake.await.ok(),
    };
    match place {
        Some(Placement::Backend(choice)) => Ok(Found::Backend(choice)),
        Some(Placement::Peer(peer)) => Ok(Found::Peer(peer)),
        Some(Placement::Reject(notice)) => Err(notice),
        // The wait broke off.
        Some(Placement::Queued(_)) | None => {
            Err(entry.decide(|engine, now| engine.reject_waiter(&run.call, now)))
        }
    }
}

/// Ends a request for which there is no place or no further try.
fn end_refused(entry: &Entry, right: RunRight, unsure: Option<Reason>, notice: &Notice) -> Reply {
    match unsure {
        Some(reason) => Reply::notice(&notices::unknown(reason)),
        None => end_unrun(entry, right, notice),
    }
}

/// Tells the caller that nothing ran.
fn end_unrun(entry: &Entry, right: RunRight, notice: &Notice) -> Reply {
    match right {
        RunRight::Free => {}
        RunRight::Received(token) => entry.decide(|engine, _| engine.abandon(token)),
        RunRight::Admitted(token) => entry.decide(|engine, _| engine.abandon(token)),
    }
    entry.ended.notify_waiters();
    Reply::notice(notice)
}

/// Takes the last step before the first byte. An error is the reason why nothing was sent.
fn dispatch(entry: &Entry, run: &Run, right: RunRight) -> Result<DispatchRight, Reason> {
    let token = match right {
        RunRight::Free => return Ok(DispatchRight::Free),
        RunRight::Received(token) => token.admit(),
        RunRight::Admitted(token) => token,
    };
    let deadline = run.call.deadline;
    entry.decide(|engine, now| engine.dispatch(token, deadline, now)).map(DispatchRight::Once)
}

/// Tells the caller why its request was not dispatched.
fn undispatched(entry: &Entry, reason: Reason) -> Tried {
    entry.ended.notify_waiters();
    Tried::Done(Reply::notice(&notices::not_run(reason)))
}

async fn try_here(
    entry: &Arc<Entry>,
    run: &mut Run,
    incoming: &Incoming,
    choice: Choice,
    right: RunRight,
) -> Tried {
    let attempt = Attempt::new(entry, run.call.service.clone(), choice.attempt);
    let sent = match dispatch(entry, run, right) {
        Ok(sent) => sent,
        Err(reason) => return undispatched(entry, reason),
    };
    let (outcome, answer) = local::send_to(entry, run, incoming, choice, attempt).await;
    match answer {
        Some(reply) => Tried::Done(end_answered(entry, sent, reply)),
        None => end_failed(entry, sent, outcome),
    }
}

async fn try_elsewhere(
    entry: &Arc<Entry>,
    run: &mut Run,
    incoming: &Incoming,
    peer: Peer,
    right: RunRight,
) -> Tried {
    let sent = match dispatch(entry, run, right) {
        Ok(sent) => sent,
        Err(reason) => return undispatched(entry, reason),
    };
    let zone = peer.zone.clone();
    match remote::send(entry, peer, run, incoming).await {
        RemoteEnd::Answer(reply) => Tried::Done(end_answered(entry, sent, reply)),
        RemoteEnd::NotRun => {
            run.rejected_by.insert(zone);
            Tried::Again(take_back(entry, sent), Reason::NoSlot)
        }
        RemoteEnd::Unknown(outcome) => end_failed(entry, sent, outcome),
    }
}

/// Ends a request with its answer, which a repeat of a non-idempotent one gets as well.
fn end_answered(entry: &Entry, sent: DispatchRight, reply: Reply) -> Reply {
    let DispatchRight::Once(token) = sent else {
        return reply;
    };
    let Body::Whole(body) = &reply.body else {
        // Too large to be kept: a repeat is told that it may have run.
        entry.decide(|engine, _| engine.unknown(token, Reason::TicketsFull));
        entry.ended.notify_waiters();
        return reply;
    };
    let kept = Kept { status: reply.status, headers: reply.headers.clone(), body: body.clone() };
    let size = Bytes(kept.size());
    entry.decide(|engine, _| engine.answered(token, Arc::new(kept), size));
    entry.ended.notify_waiters();
    reply
}

fn take_back(entry: &Entry, sent: DispatchRight) -> RunRight {
    match sent {
        DispatchRight::Free => RunRight::Free,
        DispatchRight::Once(token) => {
            RunRight::Admitted(entry.decide(|engine, _| engine.revert_dispatch(token)))
        }
    }
}

fn end_failed(entry: &Entry, sent: DispatchRight, outcome: Outcome) -> Tried {
    let reason = reason(outcome);
    if outcome.is_not_executed() {
        return Tried::Again(take_back(entry, sent), reason);
    }
    match sent {
        DispatchRight::Free => Tried::Repeat(reason),
        DispatchRight::Once(token) => {
            entry.decide(|engine, _| engine.unknown(token, reason));
            entry.ended.notify_waiters();
            Tried::Done(Reply::notice(&notices::unknown(reason)))
        }
    }
}

fn reason(outcome: Outcome) -> Reason {
    match outcome {
        Outcome::Shed(_) => Reason::Shed,
        Outcome::ConnectFailed => Reason::Unreachable,
        Outcome::Timeout => Reason::Timeout,
        Outcome::Cancelled => Reason::Cancelled,
        Outcome::Cut | Outcome::Answered | Outcome::ErrorStatus => Reason::Cut,
    }
}
