//! What the decisions ask of the adapter.

use std::net::SocketAddr;

use th_protocol::{BackendId, Revision, VmId, ZoneId};

use crate::{
    limit::{PartRequest, ShardClaim, StoreAction},
    member::{MemberAction, SpreadAction},
};

/// What the adapter must do; each answer goes back to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another entry VM.
    Member(MemberAction),
    /// Fetch or apply a bundle.
    Spread(SpreadAction),
    /// Make a call for the grants of this data centre.
    Grant(StoreAction),
    /// Read or write the claim of a shard.
    Shard(ShardAction),
    /// Ask the lease holder of the data centre for a part of a grant.
    Part {
        /// The lease holder.
        vm: VmId,
        /// Its peer listener.
        address: SocketAddr,
        /// The message.
        request: PartRequest,
    },
    /// Ask a backend server for its health and its load.
    Probe {
        /// The server.
        backend: BackendId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// A call about the claim of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Read the claims of all shards of a data centre, and then the platform's list of VMs;
    /// answered by `on_shard_read`.
    Read(ZoneId),
    /// Write the claim, or remove it, over that revision; answered by `on_shard_write`.
    Write(ZoneId, u32, Option<Revision>, Option<ShardClaim>),
}
