//! Receipt of the answers to HTTP calls, part by part.

use std::{error::Error as _, future::pending, io, pin::pin, time::Duration};

use reqwest::{RequestBuilder, StatusCode, header::HeaderMap};
use th_protocol::{Bytes, Millis};
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout};

/// The result of receiving an answer.
pub(crate) type Result<T, E = ReceiveError> = std::result::Result<T, E>;

/// Maximum size of an answer's body; far more than a page of items or the largest value.
const MAX_ANSWER: Bytes = Bytes(64 << 20);

/// Limits on the time of a call. The size of an answer and the link that it comes over decide how long it takes, so a limit
/// on the whole is only a bound on answers that trickle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Time until the answer begins.
    pub start: Millis,
    /// Longest time without any of an answer that has begun.
    pub stall: Millis,
    /// Longest time for the whole call; `None` if its caller bounds it.
    pub total: Option<Millis>,
}

/// Reason why an answer was not received.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The call failed.
    #[error("{}", format_with_sources(.0))]
    Call(#[from] reqwest::Error),
    /// The answer did not begin in time.
    #[error("no answer after {0}")]
    Overdue(Millis),
    /// Nothing more of the answer arrived.
    #[error("no more of the answer after {after}; received={received} size={size:?}")]
    Stalled {
        /// Time after which it was given up.
        after: Millis,
        /// What had arrived of its body.
        received: Bytes,
        /// Size of the body, if it was stated.
        size: Option<u64>,
    },
    /// The answer is larger than any that is expected.
    #[error("the answer is larger than {0}")]
    TooLarge(Bytes),
    /// The answer arrived too slowly.
    #[error("the answer did not end within {0}")]
    Slow(Millis),
}

impl ReceiveError {
    /// Whether a time limit was exceeded.
    pub fn is_timeout(&self) -> bool {
        match self {
            ReceiveError::Call(error) => error.is_timeout(),
            ReceiveError::TooLarge(_) => false,
            ReceiveError::Overdue(_) | ReceiveError::Stalled { .. } | ReceiveError::Slow(_) => true,
        }
    }

    /// Whether no connection was opened, so that the request was not sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, ReceiveError::Call(error) if error.is_connect())
    }

    /// Whether the connection was closed or reset before the answer began.
    pub fn is_cut(&self) -> bool {
        let ReceiveError::Call(error) = self else {
            return false;
        };
        if !error.is_request() || error.is_connect() {
            return false;
        }
        let mut source = error.source();
        while let Some(cause) = source {
            let is_reset = |it: &io::Error| it.kind() == io::ErrorKind::ConnectionReset;
            if cause.downcast_ref().is_some_and(hyper::Error::is_incomplete_message)
                || cause.downcast_ref().is_some_and(is_reset)
            {
                return true;
            }
            source = cause.source();
        }
        false
    }
}

/// Formats an error with its sources: the outermost error seldom states the cause.
fn format_with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(it) = source {
        text.push_str(": ");
        text.push_str(&it.to_string());
        source = it.source();
    }
    text
}

/// A received answer.
#[derive(Debug)]
pub struct Received {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Vec<u8>,
}

/// How far the receipt of a body has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Size of the part that has just arrived.
    pub part: Bytes,
    /// Size of all that has arrived.
    pub received: Bytes,
    /// Size of the body, if it was stated.
    pub size: Option<u64>,
    /// Time since the answer began.
    pub took: Duration,
}

/// Makes a call and receives its answer. Calls `on_part` for each part of the body that arrives.
pub async fn receive(
    request: RequestBuilder,
    limits: AnswerLimits,
    on_part: impl FnMut(Progress),
) -> Result<Received> {
    let call = pin!(receive_parts(request, limits, on_part));
    let end = async {
        match limits.total {
            Some(total) => {
                sleep(Duration::from_millis(total.0)).await;
                ReceiveError::Slow(total)
            }
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        received = call => received,
        error = end => Err(error),
    }
}

async fn receive_parts(
    request: RequestBuilder,
    limits: AnswerLimits,
    mut on_part: impl FnMut(Progress),
) -> Result<Received> {
    let answer = timeout(Duration::from_millis(limits.start.0), request.send()).await;
    let mut answer = answer.map_err(|_| ReceiveError::Overdue(limits.start))??;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let size = answer.content_length();
    let (mut body, begun) = (Vec::new(), Instant::now());
    loop {
        let part = timeout(Duration::from_millis(limits.stall.0), answer.chunk()).await;
        let received = Bytes(body.len() as u64);
        let Ok(part) = part else {
            return Err(ReceiveError::Stalled { after: limits.stall, received, size });
        };
        let Some(part) = part? else {
            return Ok(Received { status, headers, body });
        };
        if MAX_ANSWER < received + Bytes(part.len() as u64) {
            return Err(ReceiveError::TooLarge(MAX_ANSWER));
        }
        body.extend_from_slice(&part);
        let part = Bytes(part.len() as u64);
        on_part(Progress { part, received: received + part, size, took: begun.elapsed() });
    }
}
