//! Calls of other entry VMs.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use th_protocol::{Millis, header};
use thiserror::Error;

use super::codec::{decode, encode};
use crate::{
    call::Wire,
    entry::Entry,
    io::{Reply, receive_reply},
};

/// The result of a call.
pub(crate) type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Longest time that a control call may take.
const CONTROL_TIMEOUT: Millis = Millis(500);
/// The same for a bundle's part.
const BUNDLE_TIMEOUT: Millis = Millis(1_000);

/// What a peer is called for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route {
    Heartbeat,
    Records,
    Check,
    Bundle,
    Part,
    /// A request whose ticket the peer owns.
    Own,
    /// A request that runs in the peer's data centre.
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

    fn bound(self) -> Millis {
        match self {
            Route::Bundle | Route::Records => BUNDLE_TIMEOUT,
            _ => CONTROL_TIMEOUT,
        }
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.path())
    }
}

/// A call that brought no usable answer.
#[derive(Debug, Error)]
#[error("{step} at {peer}: {cause}")]
pub(crate) struct PeerError {
    pub(crate) step: Route,
    pub(crate) peer: SocketAddr,
    pub(crate) cause: String,
    /// Whether it is certain that the peer got nothing.
    pub(crate) unsent: bool,
    /// Whether the time was over.
    pub(crate) late: bool,
    /// Whether the peer has no budget left for it at present.
    pub(crate) busy: bool,
}

fn failed(step: Route, peer: SocketAddr, error: &reqwest::Error) -> PeerError {
    let (unsent, late) = (error.is_connect(), error.is_timeout());
    PeerError { step, peer, cause: error.to_string(), unsent, late, busy: false }
}

fn refused(step: Route, peer: SocketAddr, status: StatusCode) -> PeerError {
    let busy = status == StatusCode::TOO_MANY_REQUESTS;
    let unsent = status == StatusCode::UNAUTHORIZED;
    PeerError { step, peer, cause: format!("status {status}"), unsent, late: false, busy }
}

fn request(entry: &Entry, step: Route, peer: SocketAddr, body: Vec<u8>) -> RequestBuilder {
    let url = format!("http://{peer}{step}");
    entry.peers.post(url).header(header::PEER_KEY, &entry.settings.keys.peer).body(body)
}

/// Sends a control message and reads the answer.
pub(crate) async fn call<M: Serialize, A: DeserializeOwned>(
    entry: &Entry,
    step: Route,
    peer: SocketAddr,
    message: &M,
) -> Result<A> {
    let body = encode(message);
    entry.metrics.control.with_label_values(&["out"]).inc_by(body.len() as u64);
    let bound = Duration::from_millis(step.bound().0);
    let answer = request(entry, step, peer, body).timeout(bound).send().await;
    let answer = answer.map_err(|it| failed(step, peer, &it))?;
    if !answer.status().is_success() {
        return Err(refused(step, peer, answer.status()));
    }
    let bytes = answer.bytes().await.map_err(|it| failed(step, peer, &it))?;
    entry.metrics.control.with_label_values(&["in"]).inc_by(bytes.len() as u64);
    decode(&bytes).map_err(|it| malformed(step, peer, it.to_string()))
}

fn malformed(step: Route, peer: SocketAddr, cause: String) -> PeerError {
    PeerError { step, peer, cause, unsent: false, late: false, busy: false }
}

/// Sends a request of a caller and gives the answer, whose body may go on as a stream.
pub(crate) async fn forward(
    entry: &Entry,
    step: Route,
    peer: SocketAddr,
    wire: &Wire,
    left: Millis,
) -> Result<Reply> {
    let body = Bytes::from(encode(wire));
    let whole = entry.settings.limits.answer.0 as usize;
    let bound = Duration::from_millis(left.0);
    let exchange = async {
        let answer = request(entry, step, peer, body.to_vec()).send().await;
        let answer: Response = answer.map_err(|it| failed(step, peer, &it))?;
        if answer.status() == StatusCode::UNAUTHORIZED {
            return Err(refused(step, peer, answer.status()));
        }
        receive_reply(answer, whole).await.map_err(|it| failed(step, peer, &it))
    };
    match tokio::time::timeout(bound, exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(PeerError {
            step,
            peer,
            cause: "no answer before the deadline".to_owned(),
            unsent: false,
            late: true,
            busy: false,
        }),
    }
}
