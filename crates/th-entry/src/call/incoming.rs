//! A request as it arrives, from a caller or from another entry VM.

use std::net::Ipv4Addr;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use th_protocol::{CustomerId, Millis, OperationId, RegionId, ServiceId, Time};
use th_steer::{engine::Call, ticket::Fingerprint};

use crate::io::Outgoing;

/// A request with everything that steering needs to know of it.
#[derive(Debug, Clone)]
pub(crate) struct Incoming {
    pub(crate) call: Call,
    pub(crate) request: Outgoing,
}

/// A request on its way from one entry VM to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    service: ServiceId,
    operation: OperationId,
    customer: Option<CustomerId>,
    source: Ipv4Addr,
    ticket: Option<String>,
    key: Option<String>,
    /// Time that is left until the deadline.
    left: Millis,
    tries: u32,
    number: u64,
    /// Which region the sender is in, for the link's cap.
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

    /// The service and the operation.
    pub(crate) fn target(&self) -> (&ServiceId, &OperationId) {
        (&self.service, &self.operation)
    }

    /// The region that the sender is in.
    pub(crate) fn region(&self) -> Option<&RegionId> {
        self.region.as_ref()
    }

    /// The request as it continues here; `None` where its method, its path or a header is none.
    pub(crate) fn into_incoming(self, forwarded: bool, now: Time) -> Option<Incoming> {
        let method: Method = self.method.parse().ok()?;
        // Anything else could name another host.
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

/// What a request consists of: two requests with one key must agree on it.
pub(crate) fn fingerprint(request: &Outgoing) -> Fingerprint {
    let method = request.method.as_str().as_bytes();
    Fingerprint::of(&[method, request.path.as_bytes(), &request.body])
}
