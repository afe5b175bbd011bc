//! Actions that the engine requests from its adapter.

use std::net::SocketAddr;

use th_protocol::{BackendId, Revision, VmId, ZoneId};

use crate::{
    limit::{PartRequest, ShardClaim, StoreAction},
    member::{MemberAction, SpreadAction},
};

/// An action that the adapter carries out. The adapter passes the result back to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another entry VM.
    Member(MemberAction),
    /// Fetch or apply a bundle.
    Spread(SpreadAction),
    /// Call the store about the leased grants of this data centre.
    Grant(StoreAction),
    /// Read or write the claim of a shard.
    Shard(ShardAction),
    /// Request a part of a grant from the lease holder of the data centre.
    Part {
        /// The lease holder.
        vm: VmId,
        /// Its peer listener.
        address: SocketAddr,
        /// The message.
        request: PartRequest,
    },
    /// Probe the health and the load report of a backend server.
    Probe {
        /// The backend server.
        backend: BackendId,
        /// The address that it listens on.
        address: SocketAddr,
    },
}

/// A call to the store about shard claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Read the claims of all shards of a data centre, and then the platform's list of VMs;
    /// answered by `on_shard_read`.
    Read(ZoneId),
    /// Write the claim of one shard, or remove it, if the stored revision is the given one; answered
    /// by `on_shard_write`.
    Write(ZoneId, u32, Option<Revision>, Option<ShardClaim>),
}
