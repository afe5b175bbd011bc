//! Requests that run in another data centre, since this one has no room.

use std::sync::Arc;

use th_protocol::{Bytes, Millis, Verdict};
use th_steer::{
    backend::Outcome,
    engine::{Peer, Run},
    retry::next_hop_timeout,
};

use super::{ForwardedRequest, Incoming};
use crate::{entry::Entry, io::Reply, peer};

/// Time that a request and its answer are taken to spend between two entry VMs.
const ROUND_TRIP: Millis = Millis(50);

/// How a try in another data centre ended.
pub(crate) enum RemoteOutcome {
    /// With an answer to pass on.
    Answer(Reply),
    /// It was surely not run.
    NotRun,
    /// It may have run.
    Unknown(Outcome),
}

/// Sends a request to an entry VM of another data centre.
pub(crate) async fn send(
    entry: &Arc<Entry>,
    peer: Peer,
    run: &Run,
    incoming: &Incoming,
) -> RemoteOutcome {
    let Some(time_left) = next_hop_timeout(run.call.deadline, entry.now(), ROUND_TRIP) else {
        settle(entry, peer, Bytes::ZERO);
        return RemoteOutcome::NotRun;
    };
    let region = entry.with_engine(|engine, _| engine.region().cloned());
    let message = ForwardedRequest::new(incoming, time_left, region);
    let sent =
        peer::client::forward(entry, peer::Route::Execute, peer.address, &message, time_left).await;
    settle(entry, peer, Bytes(incoming.request.body.len() as u64));
    match sent {
        Ok(reply) => classify(reply),
        Err(error) if error.is_unsent => RemoteOutcome::NotRun,
        Err(error) if error.has_timed_out => RemoteOutcome::Unknown(Outcome::Timeout),
        Err(_) => RemoteOutcome::Unknown(Outcome::Cut),
    }
}

fn settle(entry: &Entry, peer: Peer, sent: Bytes) {
    if let Some(charge) = peer.charge {
        entry.with_engine(|engine, _| engine.settle(charge, sent));
    }
}

/// Tells a backend server's answer from the other entry VM's own.
fn classify(reply: Reply) -> RemoteOutcome {
    match reply.verdict() {
        None => RemoteOutcome::Answer(reply),
        Some(Verdict::NotRun | Verdict::Refused) => RemoteOutcome::NotRun,
        Some(Verdict::Unknown) => RemoteOutcome::Unknown(Outcome::Cut),
    }
}
