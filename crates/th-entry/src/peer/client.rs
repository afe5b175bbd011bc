//! Client for calls to other entry VMs.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use th_platform::{AnswerLimits, MAX_TRANSFER, ReceiveError, receive};
use th_protocol::{Millis, header};
use thiserror::Error;

use super::codec::{decode, encode};
use crate::{
    call::ForwardedRequest,
    entry::Entry,
    io::{Reply, receive_reply},
};

/// The result of a call.
pub(crate) type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Time-out of a control call.
const CONTROL_TIMEOUT: Millis = Millis(500);
/// Time without any of the answer after which a call that fetches a bundle's part or manifest, or all records, is given up.
const BUNDLE_TIMEOUT: Millis = Millis(1_000);

/// The kind of a call to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route {
    Heartbeat,
    Records,
    Check,
    Bundle,
    Part,
    /// A caller's request whose ticket the peer owns.
    Own,
    /// A caller's request that is to run in the peer's data centre.
    Execute,
}

impl Route {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Route::Heartbeat => "/peer/heartbeat",
            Route::Records => "/peer/records",
            Route::Check => "/peer/check",
            Route::Bundle => "/peer/bundle",
            Route::Part => "/peer/part",
            Route::Own => "/peer/own",
            Route::Execute => "/peer/execute",
        }
    }

    fn limits(self) -> AnswerLimits {
        let (silence, total) = match self {
            Route::Bundle | Route::Records => (BUNDLE_TIMEOUT, BUNDLE_TIMEOUT.plus(MAX_TRANSFER)),
            _ => (CONTROL_TIMEOUT, CONTROL_TIMEOUT),
        };
        AnswerLimits { start: silence, stall: silence, total: Some(total) }
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.path())
    }
}

/// A call without a usable answer.
#[derive(Debug, Error)]
#[error("{route} at {peer}: {cause}")]
pub(crate) struct PeerError {
    pub(crate) route: Route,
    pub(crate) peer: SocketAddr,
    pub(crate) cause: String,
    /// Whether it is certain that the peer did not process the message.
    pub(crate) is_unsent: bool,
    /// Whether the call timed out.
    pub(crate) timed_out: bool,
    /// Whether the peer's budget for such calls is exhausted for now.
    pub(crate) is_busy: bool,
}

fn transport_error(route: Route, peer: SocketAddr, error: &reqwest::Error) -> PeerError {
    let (is_unsent, timed_out) = (error.is_connect(), error.is_timeout());
    PeerError { route, peer, cause: error.to_string(), is_unsent, timed_out, is_busy: false }
}

fn receive_error(route: Route, peer: SocketAddr, error: &ReceiveError) -> PeerError {
    let (is_unsent, timed_out) = (error.is_connect(), error.is_timeout());
    PeerError { route, peer, cause: error.to_string(), is_unsent, timed_out, is_busy: false }
}

fn status_error(route: Route, peer: SocketAddr, status: StatusCode) -> PeerError {
    let is_busy = status == StatusCode::TOO_MANY_REQUESTS;
    let is_unsent = status == StatusCode::UNAUTHORIZED;
    PeerError {
        route,
        peer,
        cause: format!("status {status}"),
        is_unsent,
        timed_out: false,
        is_busy,
    }
}

fn request(entry: &Entry, route: Route, peer: SocketAddr, body: Vec<u8>) -> RequestBuilder {
    let url = format!("http://{peer}{route}");
    entry.peer_client.post(url).header(header::PEER_KEY, &entry.settings.keys.peer).body(body)
}

/// Sends a control message and reads the answer.
pub(crate) async fn call<M: Serialize, A: DeserializeOwned>(
    entry: &Entry,
    route: Route,
    peer: SocketAddr,
    message: &M,
) -> Result<A> {
    let body = encode(message);
    entry.metrics.control.with_label_values(&["out"]).inc_by(body.len() as u64);
    let answer = receive(request(entry, route, peer, body), route.limits(), |_| {}).await;
    let answer = answer.map_err(|it| receive_error(route, peer, &it))?;
    if !answer.status.is_success() {
        return Err(status_error(route, peer, answer.status));
    }
    entry.metrics.control.with_label_values(&["in"]).inc_by(answer.body.len() as u64);
    decode(&answer.body).map_err(|it| decode_error(route, peer, it.to_string()))
}

fn decode_error(route: Route, peer: SocketAddr, cause: String) -> PeerError {
    PeerError { route, peer, cause, is_unsent: false, timed_out: false, is_busy: false }
}

/// Sends a caller's request and returns the answer, whose body may be a stream.
pub(crate) async fn forward(
    entry: &Entry,
    route: Route,
    peer: SocketAddr,
    message: &ForwardedRequest,
    time_left: Millis,
) -> Result<Reply> {
    let body = Bytes::from(encode(message));
    let max_buffered = entry.settings.limits.answer.0 as usize;
    let timeout = Duration::from_millis(time_left.0);
    let exchange = async {
        let answer = request(entry, route, peer, body.to_vec()).send().await;
        let answer: Response = answer.map_err(|it| transport_error(route, peer, &it))?;
        if answer.status() == StatusCode::UNAUTHORIZED {
            return Err(status_error(route, peer, answer.status()));
        }
        receive_reply(answer, max_buffered).await.map_err(|it| transport_error(route, peer, &it))
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(PeerError {
            route,
            peer,
            cause: "no answer before the deadline".to_owned(),
            is_unsent: false,
            timed_out: true,
            is_busy: false,
        }),
    }
}
