//! Bodies of callers' requests.
//!
//! A body is buffered before the request is placed, so that a slow or stalled sender occupies nothing but its own
//! connection and, until its deadline, the memory for what it has sent.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes as Buffer, BytesMut};
use http::{Extensions, HeaderMap, HeaderValue, Method, StatusCode, Uri, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame};
use th_protocol::{Bytes, Millis, header::remove_hop_by_hop_headers};
use th_steer::{
    dispatch::{Fingerprint, RouteTable},
    held::HeldKind,
};
use tokio::time::timeout;

use crate::{
    answer::{Answer, closing, reject, reply},
    answer_room::{AnswerRoom, head_size},
    authorise::Caller,
    core::Core,
    dialect::RequestInfo,
    listen::CallerAddress,
    memory::Reservation,
    outgoing::Outgoing,
};

type BoxError = Box<dyn std::error::Error + Send + Sync>;
type Result<T, E = Answer> = std::result::Result<T, E>;

/// Retry delay suggested to callers while body memory is full; about the duration of a few requests.
const BODIES_RETRY_AFTER: Millis = Millis(500);
/// Longest time for which the body of a rejected request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of a caller's request.
pub(crate) trait RequestBody: Body<Data = Buffer, Error: Into<BoxError>> + Unpin {}

impl<B: Body<Data = Buffer, Error: Into<BoxError>> + Unpin> RequestBody for B {}

/// Whether the caller sends the body only after it has been asked to continue.
fn awaits_continue(head: &request::Parts) -> bool {
    head.headers
        .get(header::EXPECT)
        .is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// The answer to a request whose caller stopped sending in the middle of the body.
pub(crate) fn stalled_body(limit: Millis) -> Answer {
    let text = format!("The body was not complete after {limit}; the request was not run.");
    closing(reply(StatusCode::REQUEST_TIMEOUT, &text))
}

/// Rejects a request before its body is read. Reads and discards the body up to `max`, since closing while the caller still
/// sends could cost it the answer. If the caller takes longer than [`DISCARD_TIMEOUT`], the answer says that the connection
/// closes: what is left of the body stands where the next request would begin.
pub(crate) async fn reject_unread<B: RequestBody>(
    answer: Answer,
    head: &request::Parts,
    body: B,
    max: Bytes,
) -> Answer {
    if body.is_end_stream() {
        return answer;
    }
    if awaits_continue(head) {
        return closing(answer);
    }
    match timeout(DISCARD_TIMEOUT, discard_up_to(body, max)).await {
        Ok(true) => answer,
        Ok(false) => closing(answer),
        Err(_) => {
            log::debug!(target: "call", "path={} The body was not complete after {DISCARD_TIMEOUT:?}; answering without it.", head.uri.path());
            closing(answer)
        }
    }
}

/// Reads and discards a body; returns whether it was complete.
async fn discard_up_to<B: RequestBody>(mut body: B, max: Bytes) -> bool {
    let mut remaining = max.0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let length = frame.data_ref().map_or(0, |it| it.len() as u64);
        if remaining < length {
            return false;
        }
        remaining -= length;
    }
    true
}

/// The answer to a request whose body exceeds the limit. The rest of the body may be endless, so the caller must send
/// nothing more on this connection.
fn too_large(limit: Bytes) -> Answer {
    closing(reply(StatusCode::PAYLOAD_TOO_LARGE, &format!("The body is larger than {limit}.")))
}

fn no_memory(core: &Core) -> Answer {
    core.memory.count_refusal();
    core.metrics.count_refused("request");
    reject("This VM holds too many bodies.", BODIES_RETRY_AFTER)
}

/// Buffers the complete body, so that the request can be sent more than once.
pub(crate) async fn buffer_request<B: RequestBody>(
    core: &Rc<Core>,
    routes: &RouteTable,
    head: request::Parts,
    body: B,
    info: &RequestInfo,
    memory: &mut Reservation,
) -> Result<Outgoing> {
    let limit = usize::try_from(routes.limits().body.0).unwrap_or(usize::MAX);
    let stated = body.size_hint().lower();
    if routes.limits().body.0 < stated {
        return Err(too_large(routes.limits().body));
    }
    if awaits_continue(&head) && !core.memory.fits(HeldKind::Requests, Bytes(stated)) {
        return Err(no_memory(core));
    }
    let mut body = Limited::new(body, limit);
    let mut collected = BytesMut::new();
    let mut fits = memory.reserve(head_size(&head.headers).0);
    while let Some(frame) = body.frame().await {
        match frame.map(Frame::into_data) {
            Ok(Ok(data)) => {
                // Beyond the limit on body memory, the rest is read and discarded, for the reason given at `discard`.
                fits &= memory.reserve(data.len() as u64);
                if fits {
                    if collected.is_empty() {
                        collected.reserve(data.len().max(stated as usize));
                    }
                    collected.extend_from_slice(&data);
                } else {
                    collected = BytesMut::new();
                    memory.clear();
                }
            }
            // Trailers are not forwarded.
            Ok(Err(_)) => {}
            Err(error) if error.is::<LengthLimitError>() => {
                return Err(too_large(routes.limits().body));
            }
            Err(error) => {
                return Err(reply(StatusCode::BAD_REQUEST, &format!("Reading the body: {error}")));
            }
        }
    }
    if !fits {
        return Err(no_memory(core));
    }
    let body = collected.freeze();
    let mut headers = head.headers;
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let fingerprint = fingerprint(&head.method, &head.uri, &headers, &head.extensions, &body);
    let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let Ok(uri) = path.parse() else {
        return Err(reply(StatusCode::BAD_REQUEST, "The path is not valid."));
    };
    let (method, id, caller) = (head.method, info.id.clone(), Caller::default());
    let room = AnswerRoom::none(&core.memory);
    Ok(Outgoing { method, uri, headers, body, id, fingerprint, caller, room })
}

/// Computes the fingerprint of a request. The caller is known by its cookies and credentials, without any by its address.
fn fingerprint(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    extensions: &Extensions,
    body: &Buffer,
) -> Fingerprint {
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    let mut parts: Vec<&[u8]> = vec![method.as_str().as_bytes(), path.as_bytes(), body];
    parts.extend(headers.get(header::HOST).map(HeaderValue::as_bytes));
    let before = parts.len();
    for name in [header::COOKIE, header::AUTHORIZATION] {
        parts.extend(headers.get_all(name).iter().map(HeaderValue::as_bytes));
    }
    let address = extensions.get().map(|CallerAddress(it)| it.to_string()).unwrap_or_default();
    if parts.len() == before {
        parts.push(address.as_bytes());
    }
    Fingerprint::of(parts)
}
