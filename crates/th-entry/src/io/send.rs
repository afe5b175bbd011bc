//! Sends one attempt to a backend server and reads its answer.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream::BoxStream};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use reqwest::{Client, Response};
use th_protocol::{AttemptId, Millis, header as names};
use th_steer::backend::Outcome;
use tokio::time::timeout;

use super::{Body, Reply};

/// A request as it goes to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    /// Path and query, with the leading slash.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How an attempt ended, as far as its head and the first part of its body tell.
pub(crate) enum Sent {
    /// The answer is whole, or goes on as a stream.
    Answer(Reply, Signs),
    /// There is no answer to pass on.
    Failed(Outcome, Signs),
}

/// What a backend server said of itself along with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Signs {
    pub(crate) leaving: bool,
}

/// Where and for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendSettings {
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    /// Time that is left until the deadline.
    pub(crate) left: Millis,
    /// Largest answer that is held whole.
    pub(crate) whole: usize,
    /// Which try of the request this is.
    pub(crate) tries: u32,
}

/// Sends the request and waits for the answer's head and, up to a bound, its body.
pub(crate) async fn send(client: &Client, request: &Outgoing, settings: SendSettings) -> Sent {
    let left = Duration::from_millis(settings.left.0);
    match timeout(left, exchange(client, request, settings)).await {
        Ok(sent) => sent,
        Err(_) => Sent::Failed(Outcome::Timeout, Signs::default()),
    }
}

async fn exchange(client: &Client, request: &Outgoing, settings: SendSettings) -> Sent {
    let url = format!("http://{}{}", settings.address, request.path);
    let mut headers = request.headers.clone();
    headers.insert(names::ATTEMPT, HeaderValue::from(settings.attempt.0));
    headers.insert(names::DEADLINE, HeaderValue::from(settings.left.0));
    if 1 < settings.tries {
        headers.insert(names::ATTEMPT_NUMBER, HeaderValue::from(settings.tries));
    }
    let built = client.request(request.method.clone(), url).headers(headers);
    let response = match built.body(request.body.clone()).send().await {
        Ok(response) => response,
        Err(error) => return Sent::Failed(failure(&error), Signs::default()),
    };
    let signs = Signs { leaving: response.headers().contains_key(names::LEAVING) };
    if response.headers().contains_key(names::SHED) {
        let hint = retry_after(response.headers());
        return Sent::Failed(Outcome::Shed(hint), signs);
    }
    if !belongs(response.headers(), settings.attempt) {
        // An answer to another request must not reach this caller.
        return Sent::Failed(Outcome::Cut, signs);
    }
    receive(response, signs, settings.whole).await
}

/// What an error of the client means for the attempt.
fn failure(error: &reqwest::Error) -> Outcome {
    if error.is_connect() {
        Outcome::ConnectFailed
    } else if error.is_timeout() {
        Outcome::Timeout
    } else {
        Outcome::Cut
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: u64 = text.parse().ok()?;
    Some(Millis(seconds.saturating_mul(1_000)))
}

/// Whether the answer is the one to this attempt. A backend server that echoes no id is taken at its connection's word.
fn belongs(headers: &HeaderMap, attempt: AttemptId) -> bool {
    let Some(echo) = headers.get(names::ATTEMPT) else {
        return true;
    };
    echo.to_str().ok().and_then(|it| it.parse().ok()) == Some(attempt.0)
}

async fn receive(response: Response, signs: Signs, whole: usize) -> Sent {
    match receive_reply(response, whole).await {
        Ok(mut reply) => {
            reply.headers.remove(names::ATTEMPT);
            reply.headers.remove(names::LEAVING);
            // Only the system itself speaks of verdicts.
            reply.headers.remove(names::VERDICT);
            reply.headers.remove(names::REASON);
            Sent::Answer(reply, signs)
        }
        Err(error) if error.is_timeout() => Sent::Failed(Outcome::Timeout, signs),
        Err(_) => Sent::Failed(Outcome::Cut, signs),
    }
}

/// Reads a body up to `whole` bytes; one that is larger goes on as a stream.
pub(crate) async fn receive_reply(
    mut response: Response,
    whole: usize,
) -> Result<Reply, reqwest::Error> {
    let status = response.status();
    let mut headers = response.headers().clone();
    names::remove_hop_by_hop_headers(&mut headers);
    let mut first = BytesMut::new();
    while first.len() <= whole {
        let Some(chunk) = response.chunk().await? else {
            headers.remove(header::CONTENT_LENGTH);
            return Ok(Reply { status, headers, body: Body::Whole(first.freeze()) });
        };
        first.extend_from_slice(&chunk);
    }
    let body = Body::Stream(rest(first.freeze(), response));
    Ok(Reply { status, headers, body })
}

/// The first part of a large body and then what follows.
fn rest(first: Bytes, response: Response) -> BoxStream<'static, std::io::Result<Bytes>> {
    let more = response.bytes_stream().map(|it| it.map_err(std::io::Error::other));
    futures_util::stream::once(async move { Ok(first) }).chain(more).boxed()
}

/// Whether the status reports a fault of the backend server.
pub(crate) fn is_fault(status: StatusCode) -> bool {
    status.is_server_error()
}
