//! The way of one request, from its arrival to its answer.

use std::{pin::pin, sync::Arc, time::Duration};

use th_protocol::Reason;
use th_steer::engine::{ReceiveOutcome, Run, notices};
use tokio::time::timeout;

use super::{Incoming, carry_out::carry_out, owner};
use crate::{entry::Entry, in_flight::InFlightGuard, io::Reply};

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// An entry VM that takes this one for the owner of the request's ticket.
    Forwarder,
    /// An entry VM that has no room.
    Placer,
}

/// What a request comes to.
pub(crate) async fn answer(
    entry: &Arc<Entry>,
    incoming: Incoming,
    origin: Origin,
    guard: &InFlightGuard,
) -> Reply {
    loop {
        // Registered before asking, so that an end in between is not missed.
        let mut ended = pin!(entry.operation_ended.notified());
        ended.as_mut().enable();
        let call = incoming.call.clone();
        let received = entry.with_engine(|engine, now| engine.receive(call, now));
        match received {
            ReceiveOutcome::Run(run) => return run_request(entry, run, incoming, guard).await,
            ReceiveOutcome::Answered(retained) => return retained.to_reply(),
            ReceiveOutcome::Notice(notice) => return Reply::notice(&notice),
            ReceiveOutcome::Forward { .. } if origin != Origin::Caller => {
                return Reply::notice(&notices::unknown(Reason::OwnerGone));
            }
            ReceiveOutcome::Forward { vm, address } => {
                return owner::forward(entry, &incoming, &vm, address).await;
            }
            ReceiveOutcome::Wait => {}
        }
        let time_left = incoming.call.deadline.since(entry.now());
        if timeout(Duration::from_millis(time_left.0), ended).await.is_err() {
            return Reply::notice(&notices::unknown(Reason::Timeout));
        }
    }
}

/// Carries a request out. A non-idempotent one goes on when its caller goes away: whether it ran must be known.
async fn run_request(
    entry: &Arc<Entry>,
    run: Run,
    incoming: Incoming,
    guard: &InFlightGuard,
) -> Reply {
    if run.spec.idempotent {
        return carry_out(entry, run, &incoming).await;
    }
    let task = {
        let entry = Arc::clone(entry);
        let guard = guard.clone();
        tokio::spawn(async move {
            let reply = carry_out(&entry, run, &incoming).await;
            // A planned stop waits for it, even where its caller does not.
            drop(guard);
            reply
        })
    };
    match task.await {
        Ok(reply) => reply,
        Err(error) => {
            log::error!(target: "caller", "A request ended without an answer: {error}.");
            Reply::notice(&notices::unknown(Reason::Cancelled))
        }
    }
}
