//! One attempt at a backend server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri, response};
use http_body_util::{BodyExt, Full};
use th_protocol::{BackendId, Millis, header::remove_hop_by_hop_headers};
use th_steer::dispatch::AttemptOutcome;
use tokio::time::timeout;

use crate::{core::Core, link::Link};

/// A caller's request, whole, so that it can be sent more than once.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) end: AttemptOutcome,
    /// The request surely did not run.
    pub(crate) unrun: bool,
    /// The server's whole answer.
    pub(crate) answer: Option<(response::Parts, Bytes)>,
    pub(crate) detail: String,
}

impl Outcome {
    fn without(end: AttemptOutcome, unrun: bool, detail: impl ToString) -> Outcome {
        Outcome { end, unrun, answer: None, detail: detail.to_string() }
    }
}

impl Outgoing {
    fn request(&self, core: &Core, backend: &BackendId, left: Millis) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        core.dialect.prepare(request.headers_mut(), backend, left);
        request
    }

    /// Sends the request to a backend server; `left` is told to it, `wait` is how long the answer is awaited.
    pub(crate) async fn send(
        &self,
        core: &Rc<Core>,
        backend: &BackendId,
        address: SocketAddr,
        left: Millis,
        wait: Millis,
    ) -> Outcome {
        let exchange = self.exchange(core, backend, address, left);
        match timeout(Duration::from_millis(wait.0), exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::without(AttemptOutcome::Silent, false, "no answer in time"),
        }
    }

    async fn exchange(
        &self,
        core: &Rc<Core>,
        backend: &BackendId,
        address: SocketAddr,
        left: Millis,
    ) -> Outcome {
        let kept = core.pool.borrow_mut().take(backend, address, core.now());
        let mut request = self.request(core, backend, left);
        if let Some(mut link) = kept {
            match link.sender.try_send_request(request).await {
                Ok(response) => return self.receive(core, backend, link, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Outcome::without(AttemptOutcome::Broken, false, error.error()),
                },
            }
        }
        let mut link = match Link::open(address, core.settings.connect).await {
            Ok(link) => link,
            Err(error) => return Outcome::without(AttemptOutcome::Unreachable, true, error),
        };
        core.metrics.links.inc();
        match link.sender.try_send_request(request).await {
            Ok(response) => self.receive(core, backend, link, response).await,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                Outcome::without(AttemptOutcome::Broken, unsent, error.error())
            }
        }
    }

    async fn receive(
        &self,
        core: &Rc<Core>,
        backend: &BackendId,
        mut link: Link,
        response: Response<hyper::body::Incoming>,
    ) -> Outcome {
        let (mut head, body) = response.into_parts();
        let report = core.dialect.report(&head);
        if report.id.as_ref().is_some_and(|it| *it != self.id) {
            return Outcome::without(
                AttemptOutcome::Broken,
                false,
                "the answer belongs to another request",
            );
        }
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return Outcome::without(AttemptOutcome::Broken, false, error),
        };
        let now = core.now();
        if let Some(busy) = report.busy {
            core.dispatcher.borrow_mut().on_load(backend, busy, now);
        }
        let settings = &core.settings;
        let idle = report.idle.map_or(settings.idle, |it| it.minus(settings.retire));
        link.until = now.after(idle);
        core.pool.borrow_mut().put(backend, link);
        if report.moved {
            return Outcome::without(AttemptOutcome::Moved, true, "another server has the address");
        }
        if report.unrun {
            return Outcome::without(
                AttemptOutcome::Shed,
                true,
                format!("not run, status {}", head.status),
            );
        }
        if head.status.is_success() && (!report.signed || report.id.is_none()) {
            return Outcome::without(
                AttemptOutcome::Broken,
                false,
                "a success without the server's signature",
            );
        }
        remove_hop_by_hop_headers(&mut head.headers);
        let failed = head.status.is_server_error();
        let end = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let detail = format!("status {}", head.status.as_u16());
        Outcome { end, unrun: false, answer: Some((head, body)), detail }
    }
}
