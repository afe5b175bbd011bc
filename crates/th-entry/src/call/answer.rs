//! The path of one request, from its arrival to its answer.

use std::{pin::pin, sync::Arc, time::Duration};

use th_protocol::Reason;
use th_steer::engine::{ReceiveOutcome, Run, notices};
use tokio::time::timeout;

use super::{Incoming, carry_out::carry_out, owner};
use crate::{entry::Entry, in_flight::InFlightGuard, io::Reply};

/// The sender of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// An entry VM that considers this VM the owner of the request's ticket.
    Forwarder,
    /// An entry VM of another data centre, which has placed the request in this one.
    Placer,
}

/// Answers a request.
pub(crate) async fn answer(
    entry: &Arc<Entry>,
    incoming: Incoming,
    origin: Origin,
    guard: &InFlightGuard,
) -> Reply {
    loop {
        // Registered before the engine is queried, so that an operation that ends in between is not missed.
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

/// Carries out a request. A non-idempotent one continues when its caller disconnects, since its outcome must be known
/// to answer repeats.
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
            // A planned stop waits for the request even if its caller has disconnected.
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
