//! Changes of the store's items between entry VMs: the listener that passes them on, and the client that asks for them.

use std::{cell::RefCell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Revision, Time};
use th_steer::relay::{ChangeLog, ItemChange};
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{timeout, timeout_at},
};

use crate::{
    answer::{Answer, reply},
    body::AnswerBody,
    call::serve_forwarded,
    connection::{ConnectError, Connection},
    core::Core,
    forward::is_forwarded,
};

/// The result of asking another VM.
pub(crate) type Result<T, E = RelayError> = std::result::Result<T, E>;

/// Path of the request for changes.
const CHANGES_PATH: &str = "/v1/changes";
/// Path of the request for the backend servers that drag.
pub const DRAGGING_PATH: &str = "/v1/dragging";
/// Maximum size of a request for changes, in bytes.
const MAX_REQUEST: usize = 256 << 10;
/// Maximum size of an answer, in bytes: far more than the changes of a few seconds.
const MAX_ANSWER: usize = 16 << 20;
/// Longest time that a request may wait for changes.
const MAX_WAIT: Millis = Millis(10_000);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Reason why another VM gave no changes.
#[derive(Debug, Error)]
pub enum RelayError {
    /// It could not be reached.
    #[error("{0}")]
    Connect(#[from] ConnectError),
    /// The connection broke.
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
    /// It does not know the changes after that revision.
    #[error("{0}: it does not know the changes after revision {1}")]
    Unknown(SocketAddr, Revision),
    /// It answered with an error status.
    #[error("{0}: status {1}")]
    Status(SocketAddr, StatusCode),
    /// Its answer is not of the expected form.
    #[error("{0}: malformed answer: {1}")]
    Malformed(SocketAddr, String),
    /// It did not answer in time.
    #[error("{0}: no answer after {1}")]
    Timeout(SocketAddr, Millis),
}

/// Form of [`ItemChange`] on the wire.
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
    /// Revision up to which they are complete.
    pub at: Revision,
    /// Time since the store had that revision.
    pub age: Millis,
}

/// What this VM passes on to others.
#[derive(Default)]
pub struct Relay {
    log: RefCell<ChangeLog>,
    /// Wakes requests that wait for changes.
    advanced: Notify,
}

impl Relay {
    /// Starts anew after everything was read: changes are known from a revision on.
    pub fn reset(&self, at: Revision, now: Time) {
        self.log.borrow_mut().reset(at, now);
        self.advanced.notify_waiters();
    }

    /// Passes on changes up to revision `at`, which the store had at the time `current`.
    pub fn append(&self, changes: Vec<ItemChange>, at: Revision, current: Time, now: Time) {
        self.log.borrow_mut().append(changes, at, current, now);
        self.advanced.notify_waiters();
    }

    /// Time since there were no changes in the store that this VM does not know.
    pub(crate) fn age(&self, now: Time) -> Millis {
        now.since(self.log.borrow().current())
    }

    /// Ends the waits of other VMs, since this VM's own source failed.
    pub fn interrupt(&self) {
        self.advanced.notify_waiters();
    }
}

/// Serves another entry VM, which asks for changes or passes on a request, or an operator's tool that asks which backend servers drag.
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
    let body = Limited::new(request.into_body(), MAX_REQUEST).collect().await?.to_bytes();
    let asked: ChangesRequest = rmp_serde::from_slice(&body)?;
    let (after, relay) = (Revision(asked.after), &core.relay);
    if relay.log.borrow().at() <= after {
        let wait = Duration::from_millis(Millis(asked.wait_ms).min(MAX_WAIT).0);
        let end = tokio::time::Instant::now() + wait;
        // At the end of the wait the answer has no changes, and says how old the knowledge is.
        let _ = timeout_at(end, relay.advanced.notified()).await;
    }
    let Some(changes) = relay.log.borrow().since(after) else {
        return Ok(reply(StatusCode::GONE, "The changes after the revision are not known."));
    };
    let part =
        |it: ItemChange| ChangePart { key: it.key, value: it.value, revision: it.revision.0 };
    let log = relay.log.borrow();
    let answer = ChangesAnswer {
        changes: changes.into_iter().map(part).collect(),
        at: log.at().0,
        age_ms: core.now().since(log.current()).0,
    };
    Ok(match rmp_serde::to_vec(&answer) {
        Ok(body) => Response::new(AnswerBody::new(Bytes::from(body))),
        Err(error) => {
            log::error!(target: "store", "Encoding changes for another VM failed: {error}");
            reply(StatusCode::INTERNAL_SERVER_ERROR, "The changes could not be encoded.")
        }
    })
}

/// Asks other VMs for changes; keeps the connection to the VM that was asked last.
#[derive(Default)]
pub struct RelayClient {
    connection: Option<Connection>,
}

impl RelayClient {
    /// Asks for the changes after a revision. The VM may wait up to `wait` for some; it must have answered `slack` later.
    pub async fn changes(
        &mut self,
        core: &Core,
        address: SocketAddr,
        after: Revision,
        wait: Millis,
        slack: Millis,
    ) -> Result<Changes> {
        let limit = wait.plus(slack);
        let kept = self.connection.take().filter(|it| it.address == address);
        let asked = ask(core, kept, address, after, wait);
        match timeout(Duration::from_millis(limit.0), asked).await {
            Ok(Ok((changes, connection))) => {
                self.connection = Some(connection);
                Ok(changes)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => Err(RelayError::Timeout(address, limit)),
        }
    }
}

async fn ask(
    core: &Core,
    kept: Option<Connection>,
    address: SocketAddr,
    after: Revision,
    wait: Millis,
) -> Result<(Changes, Connection)> {
    let malformed = |cause: String| RelayError::Malformed(address, cause);
    let asked = ChangesRequest { after: after.0, wait_ms: wait.0 };
    let body = rmp_serde::to_vec(&asked).map_err(|it| malformed(it.to_string()))?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = CHANGES_PATH.parse().map_err(|it| malformed(format!("{it}")))?;
    let mut connection = match kept.filter(|it| it.sender.is_ready()) {
        Some(connection) => connection,
        None => Connection::open(address, core.settings.connect_timeout, &core.memory).await?,
    };
    let answer = connection.sender.send_request(request).await;
    let answer = answer.map_err(|it| RelayError::Http(address, it))?;
    if answer.status() == StatusCode::GONE {
        return Err(RelayError::Unknown(address, after));
    }
    if !answer.status().is_success() {
        return Err(RelayError::Status(address, answer.status()));
    }
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|it| malformed(it.to_string()))?.to_bytes();
    let answer: ChangesAnswer =
        rmp_serde::from_slice(&body).map_err(|it| malformed(it.to_string()))?;
    let mut changes = Vec::with_capacity(answer.changes.len());
    for part in answer.changes {
        let ChangePart { key, value, revision } = part;
        changes.push(ItemChange { key, value, revision: Revision(revision) });
    }
    let (at, age) = (Revision(answer.at), Millis(answer.age_ms));
    Ok((Changes { changes, at, age }, connection))
}
