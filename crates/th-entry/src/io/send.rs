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
pub(crate) enum SendOutcome {
    /// The answer is whole, or goes on as a stream.
    Answer(Reply, ServerReport),
    /// There is no answer to pass on.
    Failed(Outcome, ServerReport),
}

/// What a backend server said of itself along with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ServerReport {
    pub(crate) leaving: bool,
}

/// Where and for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendSettings {
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    /// Time that is left until the deadline.
    pub(crate) time_left: Millis,
    /// Largest answer that is held whole.
    pub(crate) max_buffered: usize,
    /// Which try of the request this is.
    pub(crate) attempt_number: u32,
}

/// Sends the request and waits for the answer's head and, up to a bound, its body.
pub(crate) async fn send(
    client: &Client,
    request: &Outgoing,
    settings: SendSettings,
) -> SendOutcome {
    let time_left = Duration::from_millis(settings.time_left.0);
    match timeout(time_left, exchange(client, request, settings)).await {
        Ok(sent) => sent,
        Err(_) => SendOutcome::Failed(Outcome::Timeout, ServerReport::default()),
    }
}

async fn exchange(client: &Client, request: &Outgoing, settings: SendSettings) -> SendOutcome {
    let url = format!("http://{}{}", settings.address, request.path);
    let mut headers = request.headers.clone();
    headers.insert(names::ATTEMPT, HeaderValue::from(settings.attempt.0));
    headers.insert(names::DEADLINE, HeaderValue::from(settings.time_left.0));
    if 1 < settings.attempt_number {
        headers.insert(names::ATTEMPT_NUMBER, HeaderValue::from(settings.attempt_number));
    }
    let built = client.request(request.method.clone(), url).headers(headers);
    let response = match built.body(request.body.clone()).send().await {
        Ok(response) => response,
        Err(error) => return SendOutcome::Failed(outcome_of(&error), ServerReport::default()),
    };
    let report = ServerReport { leaving: response.headers().contains_key(names::LEAVING) };
    if response.headers().contains_key(names::SHED) {
        let retry = retry_after(response.headers());
        return SendOutcome::Failed(Outcome::Shed(retry), report);
    }
    if !matches_attempt(response.headers(), settings.attempt) {
        // An answer to another request must not reach this caller.
        return SendOutcome::Failed(Outcome::Cut, report);
    }
    receive(response, report, settings.max_buffered).await
}

/// What an error of the client means for the attempt.
fn outcome_of(error: &reqwest::Error) -> Outcome {
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
fn matches_attempt(headers: &HeaderMap, attempt: AttemptId) -> bool {
    let Some(echo) = headers.get(names::ATTEMPT) else {
        return true;
    };
    echo.to_str().ok().and_then(|it| it.parse().ok()) == Some(attempt.0)
}

async fn receive(response: Response, report: ServerReport, max_buffered: usize) -> SendOutcome {
    match receive_reply(response, max_buffered).await {
        Ok(mut reply) => {
            reply.headers.remove(names::ATTEMPT);
            reply.headers.remove(names::LEAVING);
            // Only the system itself speaks of verdicts.
            reply.headers.remove(names::VERDICT);
            reply.headers.remove(names::REASON);
            SendOutcome::Answer(reply, report)
        }
        Err(error) if error.is_timeout() => SendOutcome::Failed(Outcome::Timeout, report),
        Err(_) => SendOutcome::Failed(Outcome::Cut, report),
    }
}

/// Reads a body up to `whole` bytes; one that is larger goes on as a stream.
pub(crate) async fn receive_reply(
    mut response: Response,
    max_buffered: usize,
) -> Result<Reply, reqwest::Error> {
    let status = response.status();
    let mut headers = response.headers().clone();
    names::remove_hop_by_hop_headers(&mut headers);
    let mut first = BytesMut::new();
    while first.len() <= max_buffered {
        let Some(chunk) = response.chunk().await? else {
            headers.remove(header::CONTENT_LENGTH);
            return Ok(Reply { status, headers, body: Body::Complete(first.freeze()) });
        };
        first.extend_from_slice(&chunk);
    }
    let body = Body::Stream(remaining_body(first.freeze(), response));
    Ok(Reply { status, headers, body })
}

/// The first part of a large body and then what follows.
fn remaining_body(first: Bytes, response: Response) -> BoxStream<'static, std::io::Result<Bytes>> {
    let more = response.bytes_stream().map(|it| it.map_err(std::io::Error::other));
    futures_util::stream::once(async move { Ok(first) }).chain(more).boxed()
}

/// Whether the status reports a fault of the backend server.
pub(crate) fn is_error_status(status: StatusCode) -> bool {
    status.is_server_error()
}
