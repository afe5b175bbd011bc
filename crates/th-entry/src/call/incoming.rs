//! Requests as they arrive from callers or from other entry VMs.

use std::net::Ipv4Addr;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use th_protocol::{CustomerId, Millis, OperationId, RegionId, ServiceId, Time};
use th_steer::{engine::Call, ticket::Fingerprint};

use crate::io::Outgoing;

/// A request with the data that steering needs.
#[derive(Debug, Clone)]
pub(crate) struct Incoming {
    pub(crate) call: Call,
    pub(crate) request: Outgoing,
}

/// A request as one entry VM forwards it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    service: ServiceId,
    operation: OperationId,
    customer: Option<CustomerId>,
    source: Ipv4Addr,
    ticket: Option<String>,
    key: Option<String>,
    /// Time left until the deadline.
    left: Millis,
    /// Attempts so far.
    tries: u32,
    number: u64,
    /// The sender's region, whose link the answer is charged to.
    region: Option<RegionId>,
    method: String,
    path: String,
    headers: Vec<(String, ByteBuf)>,
    body: ByteBuf,
}

impl ForwardedRequest {
    pub(crate) fn new(
        incoming: &Incoming,
        left: Millis,
        region: Option<RegionId>,
    ) -> ForwardedRequest {
        let Incoming { call, request } = incoming;
        let mut headers = Vec::new();
        for (name, value) in &request.headers {
            headers.push((name.as_str().to_owned(), ByteBuf::from(value.as_bytes())));
        }
        ForwardedRequest {
            service: call.service.clone(),
            operation: call.operation.clone(),
            customer: call.customer.clone(),
            source: call.source,
            ticket: call.ticket.clone(),
            key: call.key.clone(),
            left,
            tries: call.attempts,
            number: call.number,
            region,
            method: request.method.to_string(),
            path: request.path.clone(),
            headers,
            body: ByteBuf::from(request.body.as_ref()),
        }
    }

    /// Returns the service and the operation.
    pub(crate) fn target(&self) -> (&ServiceId, &OperationId) {
        (&self.service, &self.operation)
    }

    /// Returns the sender's region.
    pub(crate) fn region(&self) -> Option<&RegionId> {
        self.region.as_ref()
    }

    /// Converts the message into a request to handle here; `None` if its method, its path or a header is malformed.
    pub(crate) fn into_incoming(self, forwarded: bool, now: Time) -> Option<Incoming> {
        let method: Method = self.method.parse().ok()?;
        // A path without a leading slash could change the host of the URL.
        if !self.path.starts_with('/') {
            return None;
        }
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let request =
            Outgoing { method, path: self.path, headers, body: self.body.into_vec().into() };
        let fingerprint = fingerprint(&request);
        let call = Call {
            service: self.service,
            operation: self.operation,
            customer: self.customer,
            source: self.source,
            ticket: self.ticket,
            key: self.key,
            fingerprint,
            deadline: now.after(self.left),
            size: th_protocol::Bytes(request.body.len() as u64),
            forwarded,
            attempts: self.tries,
            number: self.number,
        };
        Some(Incoming { call, request })
    }
}

/// Returns the fingerprint of method, path and body, which must be equal in requests with the same idempotency key.
pub(crate) fn fingerprint(request: &Outgoing) -> Fingerprint {
    let method = request.method.as_str().as_bytes();
    Fingerprint::of(&[method, request.path.as_bytes(), &request.body])
}
