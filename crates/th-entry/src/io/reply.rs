//! Answers to callers.

use std::io;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use salvo::{Response, http::ResBody};
use th_protocol::{Notice, Reason, Verdict, header as names};

/// Milliseconds in a second, for headers that count in seconds.
const SECOND_MS: u64 = 1_000;

/// The body of an answer.
pub(crate) enum Body {
    /// A complete body.
    Complete(Bytes),
    /// A body that arrives in chunks. An error closes the caller's connection, so that a truncated answer does not look
    /// complete.
    Stream(BoxStream<'static, io::Result<Bytes>>),
}

/// An answer of a backend server, or a notice.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
}

/// A complete answer, retained for repeats of its operation.
#[derive(Debug, Clone)]
pub(crate) struct RetainedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl RetainedAnswer {
    /// Returns the size of its headers and body, in bytes.
    pub(crate) fn size(&self) -> u64 {
        let mut size = self.body.len();
        for (name, value) in &self.headers {
            size += name.as_str().len() + value.len();
        }
        size as u64
    }

    pub(crate) fn to_reply(&self) -> Reply {
        let body = Body::Complete(self.body.clone());
        Reply { status: self.status, headers: self.headers.clone(), body }
    }
}

impl Reply {
    /// Creates the answer that carries a notice.
    pub(crate) fn notice(notice: &Notice) -> Reply {
        let mut headers = HeaderMap::new();
        let mut insert = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        insert("content-type", "application/json");
        insert(names::VERDICT, notice.verdict.code());
        insert(names::REASON, notice.reason.code());
        if let Some(retry) = notice.retry {
            insert("retry-after", &retry.0.div_ceil(SECOND_MS).to_string());
        }
        if let Some(ticket) = &notice.ticket {
            insert(names::TICKET, ticket);
        }
        let body = serde_json::to_vec(notice).expect("a notice is plain data");
        Reply { status: status(notice), headers, body: Body::Complete(body.into()) }
    }

    /// Returns the verdict if the answer is a notice.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        self.headers.get(names::VERDICT)?.to_str().ok()?.parse().ok()
    }

    /// Returns the reason if the answer is a notice.
    pub(crate) fn reason(&self) -> Option<Reason> {
        self.headers.get(names::REASON)?.to_str().ok()?.parse().ok()
    }

    /// Returns the size of a complete body in bytes, or 0 for a stream, whose size is not known.
    pub(crate) fn size(&self) -> u64 {
        match &self.body {
            Body::Complete(body) => body.len() as u64,
            Body::Stream(_) => 0,
        }
    }

    /// Writes the answer into the listener's response.
    pub(crate) fn write_to(self, res: &mut Response) {
        res.status_code(self.status);
        for (name, value) in &self.headers {
            res.headers_mut().append(name.clone(), value.clone());
        }
        match self.body {
            Body::Complete(body) => res.replace_body(ResBody::Once(body)),
            Body::Stream(body) => res.replace_body(ResBody::stream(body)),
        };
    }
}

/// Returns the HTTP status for a notice.
fn status(notice: &Notice) -> StatusCode {
    use th_protocol::Reason as R;
    match (notice.verdict, notice.reason) {
        (Verdict::Unknown, R::Timeout | R::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (Verdict::Unknown, _) => StatusCode::BAD_GATEWAY,
        (_, R::NoService | R::NoOperation) => StatusCode::NOT_FOUND,
        (_, R::BadRequest | R::BadTicket | R::NoKey) => StatusCode::BAD_REQUEST,
        (_, R::NoTicket) => StatusCode::PRECONDITION_REQUIRED,
        (_, R::KeyReused) => StatusCode::UNPROCESSABLE_ENTITY,
        (_, R::SlowCaller) => StatusCode::REQUEST_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
