//! A request and the stages of its way through an entry VM.

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

/// A request as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The requested service.
    pub service: ServiceId,
    /// The requested operation.
    pub operation: OperationId,
    /// The customer on whose behalf the request is made.
    pub customer: Option<CustomerId>,
    /// The caller's address, or another address of its block.
    pub source: Ipv4Addr,
    /// The sealed ticket.
    pub ticket: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// A hash of the request's content. Repeats with the same idempotency key must have the same one.
    pub fingerprint: Fingerprint,
    /// The time by which the answer has to be complete.
    pub deadline: Time,
    /// Size of the request.
    pub size: Bytes,
    /// Whether another entry VM forwarded the request; that VM then decides about retries.
    pub forwarded: bool,
    /// Attempts that the caller has made before.
    pub attempts: u32,
    /// The number that identifies the request in explanations.
    pub number: u64,
}

/// How a received request is to be handled.
#[derive(Debug)]
pub enum ReceiveOutcome<A> {
    /// Execute it on this VM.
    Run(Run),
    /// The same operation is in progress; call `receive` again when it ends.
    Wait,
    /// The operation has already run and gave this answer.
    Answered(A),
    /// Only the given entry VM may dispatch the request.
    Forward {
        /// The owner of the ticket.
        vm: VmId,
        /// Its peer listener.
        address: SocketAddr,
    },
    /// Answer the request with this notice.
    Notice(Notice),
}

/// A request that this VM executes.
#[derive(Debug)]
pub struct Run {
    /// The request.
    pub call: Call,
    /// The bundle's specification of the operation.
    pub spec: Spec,
    /// The right to run a non-idempotent operation. The adapter holds the token's later stages.
    pub token: Option<Operation<Received>>,
    /// Attempts so far.
    pub attempts: u32,
    /// Data centres that rejected the request.
    pub rejected_by: BTreeSet<ZoneId>,
}

/// Where a request is sent next.
#[derive(Debug)]
pub enum Placement {
    /// To a backend server of this data centre; a slot has been acquired.
    Backend(Choice),
    /// To an entry VM of another data centre.
    Peer(Peer),
    /// Into the queue, to wait for a slot. The [`Wake`] that ends the wait has the same number.
    Queued(u64),
    /// Nowhere: the request is rejected and was not run.
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
    /// The bytes charged to the link, if the request crosses one.
    pub charge: Option<(LinkId, Charge)>,
}

/// A queued request that has left the queue.
#[derive(Debug)]
pub struct Wake {
    /// The number from [`Placement::Queued`].
    pub waiter: u64,
    /// Where the request is sent.
    pub place: Placement,
}
