//! Requests that run in another data centre, since this one has no room.

use std::sync::Arc;

use th_protocol::{Bytes, Millis, Verdict};
use th_steer::{
    backend::Outcome,
    engine::{Peer, Run},
    retry::next_hop_timeout,
};

use super::{Incoming, Wire};
use crate::{entry::Entry, io::Reply, peer};

/// Time that a request and its answer are taken to spend between two entry VMs.
const ROUND_TRIP: Millis = Millis(50);

/// How a try in another data centre ended.
pub(crate) enum RemoteEnd {
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
) -> RemoteEnd {
    let Some(left) = next_hop_timeout(run.call.deadline, entry.now(), ROUND_TRIP) else {
        settle(entry, peer, Bytes::ZERO);
        return RemoteEnd::NotRun;
    };
    let region = entry.decide(|engine, _| engine.region().cloned());
    let wire = Wire::new(incoming, left, region);
    let sent = peer::client::forward(entry, peer::Route::Execute, peer.address, &wire, left).await;
    settle(entry, peer, Bytes(incoming.request.body.len() as u64));
    match sent {
        Ok(reply) => judge(reply),
        Err(error) if error.unsent => RemoteEnd::NotRun,
        Err(error) if error.late => RemoteEnd::Unknown(Outcome::Timeout),
        Err(_) => RemoteEnd::Unknown(Outcome::Cut),
    }
}

fn settle(entry: &Entry, peer: Peer, sent: Bytes) {
    if let Some(charge) = peer.charge {
        entry.decide(|engine, _| engine.settle(charge, sent));
    }
}

/// Tells a backend server's answer from the other entry VM's own.
fn judge(reply: Reply) -> RemoteEnd {
    match reply.verdict() {
        None => RemoteEnd::Answer(reply),
        Some(Verdict::NotRun | Verdict::Refused) => RemoteEnd::NotRun,
        Some(Verdict::Unknown) => RemoteEnd::Unknown(Outcome::Cut),
    }
}
