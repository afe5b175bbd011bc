//! Answers to look-ups, readiness probes and metrics requests.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{body::AnswerBody, core::Core, listen::CallerAddress};

type Answer = Response<AnswerBody>;

fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::default());
    *answer.status_mut() = status;
    answer
}

/// Answers a look-up with the addresses of entry VMs.
pub(crate) fn lookup(core: &Rc<Core>, request: &Request<Incoming>) -> Answer {
    let Some(query) = core.dialect.parse_lookup(request.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let mut dispatcher = core.dispatcher.borrow_mut();
    if let Some(CallerAddress(caller)) = request.extensions().get() {
        dispatcher.on_lookup(&query.host, caller.to_canonical(), core.now());
    }
    let addresses = dispatcher.lookup(&query.host, &query.zone);
    drop(dispatcher);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    core.metrics.lookups.inc();
    let (kind, body) = core.dialect.lookup_answer(&addresses, core.settings.lookup_ttl);
    let mut answer = Response::new(AnswerBody::new(body));
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Answers a readiness probe: whether this VM accepts requests.
pub(crate) fn readiness(core: &Rc<Core>, request: &Request<Incoming>) -> Answer {
    if !core.dialect.is_readiness_path(request.uri().path()) {
        return status(StatusCode::NOT_FOUND);
    }
    status(if core.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Returns all metrics.
pub(crate) fn metrics(core: &Rc<Core>) -> Answer {
    core.metrics.set_state(core);
    Response::new(AnswerBody::new(Bytes::from(core.metrics.text())))
}
