//! Requests whose ticket another entry VM owns.

use std::{net::SocketAddr, sync::Arc};

use th_protocol::{Reason, VmId};
use th_steer::engine::notices;

use super::{ForwardedRequest, Incoming};
use crate::{entry::Entry, io::Reply, peer};

/// Sends a request to the owner of its ticket and passes the answer on.
///
/// An owner that cannot be reached may have run the operation when it was first asked.
pub(crate) async fn forward(
    entry: &Arc<Entry>,
    incoming: &Incoming,
    owner: &VmId,
    address: SocketAddr,
) -> Reply {
    let time_left = incoming.call.deadline.since(entry.now());
    let region = entry.with_engine(|engine, _| {
        // The request may be a repeat, so it is never refused for the link's cap.
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
