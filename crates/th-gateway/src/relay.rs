//! Changes of the store's items between entry VMs: the listener that passes them on, and the client that asks for them.

use std::{cell::RefCell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use th_protocol::{Era, Millis, Revision, StoreMoment, Time, VmId};
use th_steer::relay::{ChangeLog, ItemChange, News};
use thiserror::Error;
use tokio::{sync::Notify, time::timeout_at};

use crate::{
    answer::{Answer, reply},
    body::AnswerBody,
    call::serve_forwarded,
    connection::{ConnectError, Connection},
    core::Core,
    forward::is_forwarded,
    packing::{ENCODING, MIN_PACKED, pack, unpack},
    peer_call::{AnswerLimits, PeerAnswer, message, post},
    usage::{QUOTAS_PATH, USAGE_PATH, answer_report, list_quotas},
};

/// The result of asking another VM.
pub(crate) type Result<T, E = RelayError> = std::result::Result<T, E>;

/// Path of the request for changes.
const CHANGES_PATH: &str = "/v1/changes";
/// Path of the request for the backend servers that drag.
pub const DRAGGING_PATH: &str = "/v1/dragging";
/// Era of the store in which the revisions of a request or an answer are. Earlier builds send none, and ignore it.
const ERA: HeaderName = HeaderName::from_static("th-era");
/// Time in milliseconds from the arrival of a request for changes to its answer. Earlier builds send none, and ignore it.
const HELD: HeaderName = HeaderName::from_static("th-held-ms");
/// Age of the knowledge in milliseconds, on an answer whose body is packed. It goes before the age in the body, which is kept
/// for several VMs.
const AGE: HeaderName = HeaderName::from_static("th-age-ms");
/// Present on a request whose sender cannot reach the store, and takes some changes where not all are known; and on an answer
/// that holds only some. Earlier builds ignore it.
const PARTIAL: HeaderName = HeaderName::from_static("th-partial");
/// Maximum size of a request for changes, in bytes.
const MAX_REQUEST: usize = 256 << 10;
/// Maximum size of an answer, in bytes: far more than the changes of a few seconds.
const MAX_ANSWER: usize = 16 << 20;
/// Longest time that a request may wait for changes.
const MAX_WAIT: Millis = Millis(10_000);

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Reason why another VM gave no changes.
#[derive(Debug, Error)]
pub enum RelayError {
    /// It could not be reached.
    #[error("{0}")]
    Connect(#[from] ConnectError),
    /// It has no known address for other VMs.
    #[error("{0}: no address for other VMs")]
    NoAddress(VmId),
    /// The connection broke.
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
    /// It does not know the changes after that moment.
    #[error("{0}: it does not know the changes after {1}")]
    Unknown(SocketAddr, StoreMoment),
    /// It answered with an error status.
    #[error("{0}: status {1}")]
    Status(SocketAddr, StatusCode),
    /// Its answer is not of the expected form.
    #[error("{0}: malformed answer: {1}")]
    Malformed(SocketAddr, String),
    /// It did not answer in time.
    #[error("{0}: no answer after {1}")]
    Timeout(SocketAddr, Millis),
    /// Nothing more of its answer arrived.
    #[error("{address}: no more of the answer after {after}; received={received}")]
    Stalled {
        /// Its address.
        address: SocketAddr,
        /// Time after which the answer was given up.
        after: Millis,
        /// What had arrived of it.
        received: th_protocol::Bytes,
    },
}

/// Form of [`ItemChange`] on the wire. The revision is of the answer's era; 0 if the change was made in an earlier one and is
/// still in force.
#[derive(Serialize, Deserialize)]
struct ChangePart {
    key: String,
    #[serde(with = "serde_bytes")]
    value: Option<Vec<u8>>,
    revision: u64,
}

/// Asks for the changes after a revision.
#[derive(Serialize, Deserialize)]
struct ChangesRequest {
    after: u64,
    wait_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct ChangesAnswer {
    changes: Vec<ChangePart>,
    /// Revision up to which the changes are complete.
    at: u64,
    /// Time since the store had that revision.
    age_ms: u64,
}

/// Changes that another VM passed on.
#[derive(Debug)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<ItemChange>,
    /// Moment up to which they are complete.
    pub at: StoreMoment,
    /// Time since the store was at that moment, when the VM answered.
    pub age: Millis,
    /// Time for which the VM held the request.
    pub held: Millis,
    /// Whether there may be others that the VM does not know.
    pub is_partial: bool,
    /// The era that it stated; earlier builds state none and do not tell eras apart.
    pub stated: Option<Era>,
}

impl Changes {
    /// What decides whether they are taken over.
    pub fn news(&self) -> News {
        News { age: self.age, era: self.at.era, is_stated: self.stated.is_some() }
    }
}

/// A packed answer, kept for the other VMs that ask for the same changes.
struct PackedChanges {
    after: StoreMoment,
    at: StoreMoment,
    body: Bytes,
}

/// What this VM passes on to others.
#[derive(Default)]
pub struct Relay {
    log: RefCell<ChangeLog>,
    packed: RefCell<Option<PackedChanges>>,
    /// Wakes requests that wait for changes.
    advanced: Notify,
}

impl Relay {
    /// Starts anew after everything was read: changes are known from a moment on, at which the store was at the time `current`.
    pub fn reset(&self, at: StoreMoment, current: Time) {
        self.log.borrow_mut().reset(at, current);
        self.advanced.notify_waiters();
    }

    /// Tells other VMs to read everything themselves, since the store has dropped its history: over a narrow link it would reach
    /// them late by way of this VM.
    pub fn cut(&self) {
        self.log.borrow_mut().cut();
        self.advanced.notify_waiters();
    }

    /// Passes on changes up to `at`, at which the store was at the time `current`.
    pub fn append(&self, changes: Vec<ItemChange>, at: StoreMoment, current: Time, now: Time) {
        self.log.borrow_mut().append(changes, at, current, now);
        self.advanced.notify_waiters();
    }

    /// Time since there were no changes in the store that this VM does not know.
    pub(crate) fn age(&self, now: Time) -> Millis {
        now.since(self.log.borrow().current())
    }

    /// Era of the store up to which this VM knows its changes.
    pub(crate) fn era(&self) -> Era {
        self.log.borrow().at().era
    }

    /// The packed changes between two moments, if they are kept.
    fn packed(&self, after: StoreMoment, at: StoreMoment) -> Option<Bytes> {
        let packed = self.packed.borrow();
        packed.as_ref().filter(|it| it.after == after && it.at == at).map(|it| it.body.clone())
    }

    /// Packs changes, if they are large, and keeps them.
    fn pack(&self, after: StoreMoment, at: StoreMoment, body: &[u8]) -> Option<Bytes> {
        if body.len() < MIN_PACKED {
            return None;
        }
        match pack(body) {
            Ok(packed) => {
                let body = Bytes::from(packed);
                *self.packed.borrow_mut() = Some(PackedChanges { after, at, body: body.clone() });
                Some(body)
            }
            Err(error) => {
                log::error!(target: "store", "after={after} at={at} Packing changes for another VM failed; sending them as they are: {error}");
                None
            }
        }
    }

    /// Ends the waits of other VMs, since this VM's own source failed.
    pub fn interrupt(&self) {
        self.advanced.notify_waiters();
    }
}

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

/// Reads a header of this module; `None` if it is absent or no number, as from a build that sends none.
fn read_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    let value = headers.get(name)?;
    let number = value.to_str().ok().and_then(|it| it.parse().ok());
    if number.is_none() {
        log::warn!(target: "store", "{name}={value:?} Not a number; ignoring it.");
    }
    number
}

/// A question to another VM for changes.
#[derive(Debug, Clone, Copy)]
pub struct Question {
    /// The moment after which they are asked for.
    pub after: StoreMoment,
    /// Time for which the VM may wait for some.
    pub wait: Millis,
    /// Time after that until its answer must have begun, and longest time without any of it from there.
    pub slack: Millis,
    /// Whether some changes are taken where not all are known.
    pub takes_part: bool,
}

/// Asks other VMs for changes; keeps the connection to the VM that was asked last.
#[derive(Default)]
pub struct RelayClient {
    connection: Option<Connection>,
}

impl RelayClient {
    /// Asks for changes.
    pub async fn changes(
        &mut self,
        core: &Core,
        address: SocketAddr,
        question: Question,
    ) -> Result<Changes> {
        let kept = self.connection.take().filter(|it| it.address == address);
        let (changes, connection) = ask(core, kept, address, question).await?;
        self.connection = Some(connection);
        Ok(changes)
    }
}

async fn ask(
    core: &Core,
    kept: Option<Connection>,
    address: SocketAddr,
    question: Question,
) -> Result<(Changes, Connection)> {
    let after = question.after;
    let malformed = |cause: String| RelayError::Malformed(address, cause);
    let asked = ChangesRequest { after: after.revision.0, wait_ms: question.wait.0 };
    let body = rmp_serde::to_vec(&asked).map_err(|it| malformed(it.to_string()))?;
    let mut request = message(CHANGES_PATH, body);
    request.headers_mut().insert(header::ACCEPT_ENCODING, HeaderValue::from_static(ENCODING));
    if after.era != Era::ZERO {
        request.headers_mut().insert(ERA, HeaderValue::from(after.era.0));
    }
    if question.takes_part {
        request.headers_mut().insert(PARTIAL, HeaderValue::from_static("1"));
    }
    let start = question.wait.plus(question.slack);
    let limits = AnswerLimits { start, stall: question.slack, size: MAX_ANSWER };
    let PeerAnswer { head, body, connection } = post(core, kept, address, request, limits).await?;
    if head.status == StatusCode::GONE {
        return Err(RelayError::Unknown(address, after));
    }
    if !head.status.is_success() {
        return Err(RelayError::Status(address, head.status));
    }
    let stated = read_number(&head.headers, &ERA).map(Era);
    let era = stated.unwrap_or(after.era);
    let is_partial = head.headers.contains_key(&PARTIAL);
    let held = read_number(&head.headers, &HELD).map_or(Millis::ZERO, Millis);
    let body = if head.headers.contains_key(header::CONTENT_ENCODING) {
        let unpacked = unpack(&body, MAX_ANSWER);
        Bytes::from(
            unpacked.map_err(|it| malformed(format!("unpacking {} bytes: {it}", body.len())))?,
        )
    } else {
        body
    };
    let answer: ChangesAnswer =
        rmp_serde::from_slice(&body).map_err(|it| malformed(it.to_string()))?;
    let mut changes = Vec::with_capacity(answer.changes.len());
    for part in answer.changes {
        let ChangePart { key, value, revision } = part;
        let moment = StoreMoment::new(era, Revision(revision));
        changes.push(ItemChange { key, value, moment });
    }
    let age = Millis(read_number(&head.headers, &AGE).unwrap_or(answer.age_ms));
    let at = StoreMoment::new(era, Revision(answer.at));
    Ok((Changes { changes, at, age, held, is_partial, stated }, connection))
}
