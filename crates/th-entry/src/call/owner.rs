//! Forwards requests to the entry VM that owns their ticket.

use std::{net::SocketAddr, sync::Arc};

use th_protocol::{Reason, VmId};
use th_steer::engine::notices;

use super::{ForwardedRequest, Incoming};
use crate::{entry::Entry, io::Reply, peer};

/// Sends a request to the owner of its ticket and passes the answer on.
///
/// The answer is uncertain if the owner cannot be reached: it may have run the operation for an earlier request.
pub(crate) async fn forward(
    entry: &Arc<Entry>,
    incoming: &Incoming,
    owner: &VmId,
    address: SocketAddr,
) -> Reply {
    let time_left = incoming.call.deadline.since(entry.now());
    let region = entry.with_engine(|engine, _| {
        // The request may be a repeat, so it is never rejected for the link's cap.
        engine.charge_forward(owner, incoming.call.size);
        engine.region().cloned()
    });
    let message = ForwardedRequest::new(incoming, time_left, region);
    match peer::client::forward(entry, peer::Route::Own, address, &message, time_left).await {
        Ok(reply) => reply,
        Err(error) => {
            log::info!(target: "peer", "Forwarding to {owner} failed: {error}.");
            Reply::notice(&notices::unknown(Reason::OwnerGone))
        }
    }
}
