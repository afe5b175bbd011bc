//! An attempt to run a request on a backend server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use th_protocol::{BackendId, Millis};
use th_steer::dispatch::{AttemptOutcome, Fingerprint};
use tokio::time::timeout;

use crate::{
    answer::NOT_EXECUTED,
    answer_head::{SWITCHED, detach},
    answer_room::{AnswerError, AnswerRoom},
    authorise::Caller,
    body::AnswerBody,
    connection::{Connection, SendError, send_pooled},
    core::Core,
    dialect::AnswerInfo,
};

/// A caller's complete request, buffered so that it can be sent more than once.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) caller: Caller,
    /// Room for the answer.
    pub(crate) room: AnswerRoom,
}

/// Result of an attempt.
pub(crate) struct AttemptResult {
    pub(crate) outcome: AttemptOutcome,
    /// Whether the server certainly did not run the request.
    pub(crate) not_executed: bool,
    /// Whether the connection ended after the request was sent and before its answer was complete.
    pub(crate) lost: bool,
    /// Complete answer of the server.
    pub(crate) answer: Option<(response::Parts, AnswerBody)>,
    pub(crate) detail: String,
}

impl AttemptResult {
    pub(crate) fn without_answer(
        outcome: AttemptOutcome,
        not_executed: bool,
        detail: impl ToString,
    ) -> AttemptResult {
        let detail = detail.to_string();
        AttemptResult { outcome, not_executed, lost: false, answer: None, detail }
    }
}

/// Applies what a backend server states about itself in the head of an answer. A late answer, which names another attempt
/// than `attempt`, may state what no longer holds.
fn apply_statements(core: &Core, backend: &BackendId, info: &AnswerInfo, attempt: &str) {
    let (mut dispatcher, now) = (core.dispatcher.borrow_mut(), core.now());
    if info.leaving && dispatcher.on_leaving(backend) {
        log::info!(target: "backend", "backend={backend} The backend server leaves; it gets no more requests.");
    }
    if info.id.as_ref().is_some_and(|it| it != attempt) {
        return;
    }
    if let Some(pause) = info.rest {
        dispatcher.on_rest(backend, pause, now);
        let limit = core.settings.dispatch.max_rest;
        log::info!(target: "backend", "backend={backend} pause={pause} limit={limit} The backend server wants no requests for a while.");
    }
    // An answer without the attempt's id may come from something in between, which knows no limit.
    if info.id.is_some() && dispatcher.on_limit(backend, info.limit, now) {
        let limit = info.limit.map_or_else(|| "none".to_owned(), |it| it.to_string());
        log::info!(target: "backend", "backend={backend} limit={limit} The backend server changed its limit on requests from all VMs.");
    }
}

impl Outgoing {
    /// The request without the headers that depend on where it is sent.
    pub(crate) fn unaddressed(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }

    fn request(&self, core: &Core, backend: &BackendId, time_left: Millis) -> Request<Full<Bytes>> {
        let mut request = self.unaddressed();
        core.dialect.set_request_headers(request.headers_mut(), backend, time_left);
        if let Some(organisation) = &self.caller.organisation {
            core.dialect.set_organisation(request.headers_mut(), &organisation.id);
        }
        request
    }

    /// Sends the request to a backend server. The server is sent `time_left`; the attempt times out after `wait`.
    pub(crate) async fn send(
        &self,
        core: &Rc<Core>,
        backend: &BackendId,
        address: SocketAddr,
        time_left: Millis,
        wait: Millis,
    ) -> AttemptResult {
        let exchange = self.exchange(core, backend, address, time_left);
        match timeout(Duration::from_millis(wait.0), exchange).await {
            Ok(result) => result,
            Err(_) => {
                AttemptResult::without_answer(AttemptOutcome::Silent, false, "no answer in time")
            }
        }
    }

    async fn exchange(
        &self,
        core: &Rc<Core>,
        backend: &BackendId,
        address: SocketAddr,
        time_left: Millis,
    ) -> AttemptResult {
        let request = self.request(core, backend, time_left);
        let opened = &core.metrics.connections;
        match send_pooled(core, &core.pool, backend, address, request, opened).await {
            Ok((response, connection)) => self.receive(core, backend, connection, response).await,
            Err(error) => {
                let outcome = match error {
                    SendError::Connect(_) => AttemptOutcome::Unreachable,
                    SendError::Unsent(_) | SendError::Broken(_) => AttemptOutcome::Broken,
                };
                let unsent = error.is_unsent();
                let result = AttemptResult::without_answer(outcome, unsent, error);
                AttemptResult { lost: !unsent, ..result }
            }
        }
    }

    /// Checks that an answer belongs to this attempt; `is_first` tells whether it is the first one on its connection.
    fn check_owner(&self, info: &AnswerInfo, is_first: bool) -> Result<(), &'static str> {
        match &info.id {
            Some(id) if *id == self.id => Ok(()),
            Some(_) => Err("the answer belongs to another request"),
            // No earlier answer can be repeated there, and servers reject malformed requests without an id.
            None if is_first && (info.not_executed || info.moved) => Ok(()),
            None => Err("the answer states no id and may belong to another request"),
        }
    }

    async fn receive(
        &self,
        core: &Rc<Core>,
        backend: &BackendId,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let (mut head, body) = response.into_parts();
        let info = core.dialect.read_answer(&head);
        if !info.moved {
            apply_statements(core, backend, &info, &self.id);
        }
        if let Err(detail) = self.check_owner(&info, connection.is_first()) {
            return AttemptResult::without_answer(AttemptOutcome::Broken, false, detail);
        }
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return AttemptResult::without_answer(AttemptOutcome::Broken, false, SWITCHED);
        }
        let body = match self.room.buffer(&head.headers, body).await {
            Ok(body) => body,
            Err(error) => {
                let lost = matches!(error, AnswerError::Read(_));
                let result = AttemptResult::without_answer(AttemptOutcome::Broken, false, error);
                return AttemptResult { lost, ..result };
            }
        };
        let now = core.now();
        if let Some(busy) = info.busy {
            core.dispatcher.borrow_mut().on_load(backend, busy, now);
        }
        // Nothing would tell a copy of an answer without an id from the next answer.
        if info.id.is_some() {
            let settings = &core.settings;
            let idle = info.idle_timeout.map(|it| it.minus(settings.retire_margin));
            connection.expires = now.after(idle.unwrap_or(settings.idle_timeout));
            core.pool.borrow_mut().put(backend, connection);
        }
        if info.moved {
            return AttemptResult::without_answer(
                AttemptOutcome::Moved,
                true,
                "another server has the address",
            );
        }
        if info.not_executed {
            let is_paused = info.rest.is_some();
            let outcome = if is_paused { AttemptOutcome::Paused } else { AttemptOutcome::Shed };
            let detail = format!("not run, status {}", head.status);
            return AttemptResult::without_answer(outcome, true, detail);
        }
        if NOT_EXECUTED.contains(&head.status) {
            let detail =
                format!("status {}, which does not say that the request was not run", head.status);
            return AttemptResult::without_answer(AttemptOutcome::Failed, false, detail);
        }
        if head.status.is_success() && !info.signed {
            return AttemptResult::without_answer(
                AttemptOutcome::Broken,
                false,
                "successful answer without the server's signature",
            );
        }
        detach(&mut head, &self.method);
        let failed = head.status.is_server_error();
        let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let detail = format!("status {}", head.status.as_u16());
        let answer = Some((head, body));
        AttemptResult { outcome, not_executed: false, lost: false, answer, detail }
    }
}
