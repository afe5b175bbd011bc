//! A request on its way through an entry VM.

use std::{collections::BTreeSet, net::Ipv4Addr, net::SocketAddr};

use th_protocol::{
    Bytes, CustomerId, LinkId, Notice, Operation as Spec, OperationId, RegionId, ServiceId, Time,
    VmId, ZoneId,
};

use crate::{
    backend::Choice,
    limit::Charge,
    ticket::{Fingerprint, Operation, Received},
};

/// A request as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The service asked for.
    pub service: ServiceId,
    /// The operation asked for.
    pub operation: OperationId,
    /// On whose behalf.
    pub customer: Option<CustomerId>,
    /// The caller's address, or one of its block.
    pub source: Ipv4Addr,
    /// The sealed ticket.
    pub ticket: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// What the request consists of.
    pub fingerprint: Fingerprint,
    /// When the answer has to be complete.
    pub deadline: Time,
    /// Size of the request.
    pub size: Bytes,
    /// Whether another entry VM sent it and decides about retries.
    pub forwarded: bool,
    /// Tries that the caller has made before.
    pub attempts: u32,
    /// A number that names it in explanations.
    pub number: u64,
}

/// What becomes of a request that arrived.
#[derive(Debug)]
pub enum ReceiveOutcome<A> {
    /// Carry it out.
    Run(Run),
    /// The same operation is in progress; ask again once one ends.
    Wait,
    /// The operation ran before, with this answer.
    Answered(A),
    /// Only that entry VM may dispatch it.
    Forward {
        /// The owner of the ticket.
        vm: VmId,
        /// Its peer listener.
        address: SocketAddr,
    },
    /// The final answer.
    Notice(Notice),
}

/// A request that is carried out here.
#[derive(Debug)]
pub struct Run {
    /// The request.
    pub call: Call,
    /// What the bundle says of its operation.
    pub spec: Spec,
    /// The right to run a non-idempotent operation; its later stages are kept by the adapter.
    pub token: Option<Operation<Received>>,
    /// Tries so far.
    pub attempts: u32,
    /// Data centres that refused it.
    pub rejected_by: BTreeSet<ZoneId>,
}

/// Where a request goes next.
#[derive(Debug)]
pub enum Placement {
    /// To a backend server of this data centre, with a slot taken.
    Backend(Choice),
    /// To an entry VM of another data centre.
    Peer(Peer),
    /// It waits for a slot; the number comes back with a [`Wake`].
    Queued(u64),
    /// Nowhere: not run.
    Reject(Notice),
}

/// An entry VM of another data centre that a request is sent to.
#[derive(Debug)]
pub struct Peer {
    /// The entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its peer listener.
    pub address: SocketAddr,
    /// What was charged to the link, where one is crossed.
    pub charge: Option<(LinkId, Charge)>,
}

/// The end of a wait.
#[derive(Debug)]
pub struct Wake {
    /// The number that [`Placement::Queued`] gave.
    pub waiter: u64,
    /// Where the request goes.
    pub place: Placement,
}
