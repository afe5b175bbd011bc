//! Sends requests to another data centre when this one has no free slots for them.

use std::sync::Arc;

use th_protocol::{Bytes, Millis, Verdict};
use th_steer::{
    backend::Outcome,
    engine::{Peer, Run},
    retry::next_hop_timeout,
};

use super::{ForwardedRequest, Incoming};
use crate::{entry::Entry, io::Reply, peer};

/// Assumed network time of a request and its answer between two entry VMs.
const ROUND_TRIP: Millis = Millis(50);

/// The outcome of an attempt in another data centre.
pub(crate) enum RemoteOutcome {
    /// An answer to pass on.
    Answer(Reply),
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
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
        Err(error) if error.timed_out => RemoteOutcome::Unknown(Outcome::Timeout),
        Err(_) => RemoteOutcome::Unknown(Outcome::Cut),
    }
}

fn settle(entry: &Entry, peer: Peer, sent: Bytes) {
    if let Some(charge) = peer.charge {
        entry.with_engine(|engine, _| engine.settle(charge, sent));
    }
}

/// Distinguishes a backend server's answer from a notice of the other entry VM.
fn classify(reply: Reply) -> RemoteOutcome {
    match reply.verdict() {
        None => RemoteOutcome::Answer(reply),
        Some(Verdict::NotRun | Verdict::Refused) => RemoteOutcome::NotRun,
        Some(Verdict::Unknown) => RemoteOutcome::Unknown(Outcome::Cut),
    }
}
