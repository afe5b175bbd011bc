//! The listener for other entry VMs.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use th_protocol::{Era, Millis, Revision, StoreMoment};
use th_steer::relay::ItemChange;
use tokio::time::timeout_at;

use super::{
    error::BoxError,
    packing::ENCODING,
    wire::{
        AGE, CHANGES_PATH, ChangePart, ChangesAnswer, ChangesRequest, ERA, HELD, PARTIAL,
        read_number,
    },
};
use crate::{
    answer::{Answer, reply},
    body::AnswerBody,
    call::serve_forwarded,
    core::Core,
    forward::is_forwarded,
    usage::{QUOTAS_PATH, USAGE_PATH, answer_report, list_quotas},
};

/// Path of the request for the backend servers that drag.
pub const DRAGGING_PATH: &str = "/v1/dragging";
/// Maximum size of a request for changes, in bytes.
const MAX_REQUEST: usize = 256 << 10;
/// Longest time that a request may wait for changes.
const MAX_WAIT: Millis = Millis(10_000);

/// Serves another entry VM, which asks for changes, reports its use of quotas or passes on a request, or an operator's tool that
/// asks which backend servers drag or how quotas are used.
pub(crate) async fn serve_peer(
    core: Rc<Core>,
    request: Request<Incoming>,
) -> std::result::Result<Answer, Infallible> {
    if is_forwarded(&request) {
        return serve_forwarded(core, request).await;
    }
    let answer = match (request.method(), request.uri().path()) {
        (&Method::POST, CHANGES_PATH) => pass_changes(&core, request).await,
        (&Method::GET, DRAGGING_PATH) => Ok(dragging(&core)),
        (&Method::POST, USAGE_PATH) => answer_report(&core, request).await,
        (&Method::GET, QUOTAS_PATH) => Ok(list_quotas(&core)),
        _ => Ok(reply(StatusCode::NOT_FOUND, "Nothing is served at this path.")),
    };
    Ok(answer.unwrap_or_else(|error| reply(StatusCode::BAD_REQUEST, &error.to_string())))
}

/// Lists the backend servers that this VM's own requests found to drag.
fn dragging(core: &Core) -> Answer {
    match serde_json::to_vec(&core.dispatcher.borrow().dragging()) {
        Ok(body) => Response::new(AnswerBody::new(Bytes::from(body))),
        Err(error) => {
            log::error!(target: "backend", "Encoding the backend servers that drag failed: {error}");
            reply(StatusCode::INTERNAL_SERVER_ERROR, "The list could not be encoded.")
        }
    }
}

/// Answers a request for changes as soon as there are any, or at the end of its wait. A malformed request is an error.
async fn pass_changes(
    core: &Rc<Core>,
    request: Request<Incoming>,
) -> std::result::Result<Answer, BoxError> {
    let (arrived, relay) = (core.now(), &core.relay);
    let takes_part = request.headers().contains_key(&PARTIAL);
    let takes_packed = takes_packed(request.headers());
    let era = read_number(request.headers(), &ERA).map_or_else(|| relay.era(), Era);
    let body = Limited::new(request.into_body(), MAX_REQUEST).collect().await?.to_bytes();
    let asked: ChangesRequest = rmp_serde::from_slice(&body)?;
    let after = StoreMoment::new(era, Revision(asked.after));
    let known = relay.log.borrow().at();
    let is_known = takes_part || relay.log.borrow().since(after).is_some();
    if known <= after && known.era == after.era && is_known {
        let wait = Duration::from_millis(Millis(asked.wait_ms).min(MAX_WAIT).0);
        let end = tokio::time::Instant::now() + wait;
        // At the end of the wait the answer has no changes, and says how old the knowledge is.
        let _ = timeout_at(end, relay.advanced.notified()).await;
    }
    let (log, now) = (relay.log.borrow(), core.now());
    let (at, age) = (log.at(), now.since(log.current()));
    let mut answer = Response::new(AnswerBody::default());
    let headers = answer.headers_mut();
    if at.era != Era::ZERO {
        headers.insert(ERA, at.era.0.into());
    }
    headers.insert(HELD, now.since(arrived).0.into());
    if let Some(packed) = relay.packed(after, at).filter(|_| takes_packed) {
        return Ok(with_packed(answer, packed, age));
    }
    let (changes, is_partial) = match log.since(after) {
        Some(changes) => (changes, false),
        None if takes_part => (log.kept(after), true),
        None => {
            return Ok(reply(StatusCode::GONE, "The changes after the revision are not known."));
        }
    };
    let part = |it: ItemChange| {
        let revision = if it.moment.era == at.era { it.moment.revision.0 } else { 0 };
        ChangePart { key: it.key, value: it.value, revision }
    };
    let changes = changes.into_iter().map(part).collect();
    let body = ChangesAnswer { changes, at: at.revision.0, age_ms: age.0 };
    let body = match rmp_serde::to_vec(&body) {
        Ok(body) => body,
        Err(error) => {
            log::error!(target: "store", "Encoding changes for another VM failed: {error}");
            let text = "The changes could not be encoded.";
            return Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, text));
        }
    };
    if is_partial {
        answer.headers_mut().insert(PARTIAL, HeaderValue::from_static("1"));
    } else if takes_packed && let Some(packed) = relay.pack(after, at, &body) {
        return Ok(with_packed(answer, packed, age));
    }
    *answer.body_mut() = AnswerBody::new(Bytes::from(body));
    Ok(answer)
}

fn with_packed(mut answer: Answer, packed: Bytes, age: Millis) -> Answer {
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_ENCODING, HeaderValue::from_static(ENCODING));
    headers.insert(AGE, age.0.into());
    *answer.body_mut() = AnswerBody::new(packed);
    answer
}

/// Whether the sender of a request takes packed answers; earlier builds do not.
fn takes_packed(headers: &HeaderMap) -> bool {
    headers.get(header::ACCEPT_ENCODING).is_some_and(|it| it == ENCODING)
}
