//! Answers to callers that no backend server gave.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use th_protocol::Millis;

use crate::body::AnswerBody;

/// An answer to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// Statuses with which a VM says that no backend server has run the request or will.
pub(crate) const NOT_EXECUTED: &[StatusCode] =
    &[StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

pub(crate) fn reply(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(AnswerBody::new(Bytes::from(text.to_owned())));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}

/// Rejects a request that no backend server has run or will run.
pub(crate) fn reject(text: &str, retry_after: Millis) -> Answer {
    reject_with(StatusCode::SERVICE_UNAVAILABLE, text, retry_after)
}

/// Rejects a request with a status that says that it was not run.
pub(crate) fn reject_with(status: StatusCode, text: &str, retry_after: Millis) -> Answer {
    let mut answer = reply(status, text);
    let seconds = format!("{:.3}", retry_after.0 as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Marks an answer as the last one on its connection.
pub(crate) fn closing(mut answer: Answer) -> Answer {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}
