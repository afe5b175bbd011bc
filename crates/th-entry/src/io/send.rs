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

/// A request as it is sent to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    /// Path and query, with the leading slash.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The outcome of an attempt after its head and the first part of its body.
pub(crate) enum SendOutcome {
    /// An answer, whose body is complete or continues as a stream.
    Answer(Reply, ServerReport),
    /// No answer to pass on.
    Failed(Outcome, ServerReport),
}

/// The state that a backend server reports along with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ServerReport {
    /// Whether the server announces that it is leaving.
    pub(crate) leaving: bool,
}

/// Destination and limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendSettings {
    pub(crate) address: SocketAddr,
    pub(crate) attempt: AttemptId,
    /// Time left until the deadline.
    pub(crate) time_left: Millis,
    /// Largest body, in bytes, that is buffered completely before it is passed on.
    pub(crate) max_buffered: usize,
    /// The number of this attempt of the request, from 1.
    pub(crate) attempt_number: u32,
}

/// Sends the request and waits for the answer's head and the body, up to `max_buffered` bytes.
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
    let is_shed = response.headers().contains_key(names::SHED);
    match names_attempt(response.headers(), settings.attempt) {
        Some(true) if is_shed => {
            let retry = retry_after(response.headers());
            SendOutcome::Failed(Outcome::Shed(retry), report)
        }
        // The answer belongs to another request and must not reach this caller.
        Some(false) => SendOutcome::Failed(Outcome::Cut, report),
        // It may be a late one to an earlier request on the connection, and this one may run.
        None if is_shed => SendOutcome::Failed(Outcome::Cut, report),
        // No request asks for another protocol.
        _ if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
            SendOutcome::Failed(Outcome::Cut, report)
        }
        _ => receive(response, report, settings.max_buffered).await,
    }
}

/// Returns the attempt's outcome for an error of the client.
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

/// Returns whether the ids in an answer are all that of this attempt; `None` if there are none. An answer that is no
/// refusal is then assumed to belong to the request on its connection.
fn names_attempt(headers: &HeaderMap, attempt: AttemptId) -> Option<bool> {
    let mut named = None;
    for echo in headers.get_all(names::ATTEMPT) {
        let id = echo.to_str().ok().and_then(|it| it.parse().ok());
        named = Some(named.unwrap_or(true) && id == Some(attempt.0));
    }
    named
}

async fn receive(response: Response, report: ServerReport, max_buffered: usize) -> SendOutcome {
    match receive_reply(response, max_buffered).await {
        Ok(mut reply) => {
            reply.headers.remove(names::ATTEMPT);
            reply.headers.remove(names::LEAVING);
            // Only entry VMs may set a verdict: a backend server's would make the answer look like a notice.
            reply.headers.remove(names::VERDICT);
            reply.headers.remove(names::REASON);
            SendOutcome::Answer(reply, report)
        }
        Err(error) if error.is_timeout() => SendOutcome::Failed(Outcome::Timeout, report),
        Err(_) => SendOutcome::Failed(Outcome::Cut, report),
    }
}

/// Reads a body of up to `max_buffered` bytes completely; a larger one becomes a stream.
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

/// Returns a stream of the first part of a large body and the rest of the response.
fn remaining_body(first: Bytes, response: Response) -> BoxStream<'static, std::io::Result<Bytes>> {
    let more = response.bytes_stream().map(|it| it.map_err(std::io::Error::other));
    futures_util::stream::once(async move { Ok(first) }).chain(more).boxed()
}

/// Returns whether the status reports an error of the backend server.
pub(crate) fn is_error_status(status: StatusCode) -> bool {
    status.is_server_error()
}
