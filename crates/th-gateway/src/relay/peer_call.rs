//! Messages to other entry VMs and their answers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Uri, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use th_protocol::Millis;
use tokio::time::timeout;

use super::error::{RelayError, Result};
use crate::{connection::Connection, core::Core};

/// Limits on the answer to a message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerLimits {
    /// Time until the answer begins.
    pub(crate) start: Millis,
    /// Longest time without any of an answer that has begun.
    pub(crate) stall: Millis,
    /// Longest time for all of an answer that has begun.
    pub(crate) transfer: Millis,
    /// Size of its body in bytes.
    pub(crate) size: usize,
}

/// The answer to a message, and the connection for the next one.
pub(crate) struct PeerAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
    pub(crate) connection: Connection,
}

/// A message to another VM.
pub(crate) fn message(path: &'static str, body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

/// Sends a message to another VM over a kept connection, or over a new one if it has closed, and receives the answer.
pub(crate) async fn post(
    core: &Core,
    kept: Option<Connection>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limits: AnswerLimits,
) -> Result<PeerAnswer> {
    let sent = send(core, kept, address, request);
    let sent = timeout(Duration::from_millis(limits.start.0), sent).await;
    let (answer, connection) = sent.map_err(|_| RelayError::Timeout(address, limits.start))??;
    let (head, body) = answer.into_parts();
    let received =
        timeout(Duration::from_millis(limits.transfer.0), receive(address, body, limits));
    let body = received.await.map_err(|_| RelayError::Slow(address, limits.transfer))??;
    Ok(PeerAnswer { head, body, connection })
}

async fn send(
    core: &Core,
    kept: Option<Connection>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(http::Response<Incoming>, Connection)> {
    let mut connection = match kept.filter(|it| it.sender.is_ready()) {
        Some(connection) => connection,
        None => Connection::open(address, core.settings.connect_timeout, &core.memory).await?,
    };
    let answer = connection.sender.send_request(request).await;
    let answer = answer.map_err(|it| RelayError::Http(address, it))?;
    Ok((answer, connection))
}

async fn receive(address: SocketAddr, body: Incoming, limits: AnswerLimits) -> Result<Bytes> {
    let mut body = Limited::new(body, limits.size);
    let mut received = Vec::new();
    loop {
        let Ok(frame) = timeout(Duration::from_millis(limits.stall.0), body.frame()).await else {
            let received = th_protocol::Bytes(received.len() as u64);
            return Err(RelayError::Stalled { address, after: limits.stall, received });
        };
        let Some(frame) = frame else {
            return Ok(Bytes::from(received));
        };
        let frame = frame.map_err(|it| RelayError::Malformed(address, it.to_string()))?;
        if let Some(part) = frame.data_ref() {
            received.extend_from_slice(part);
        }
    }
}
