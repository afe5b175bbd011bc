//! `/v1/call/{service}/{operation}/...`: requests of callers to a service.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use salvo::{Depot, Request, Response, handler};
use th_protocol::{Millis, Notice, Reason, ServiceId, header};
use th_steer::engine::{Call, notices};
use tokio::time::timeout;

use super::lookup::{source, target};
use crate::{
    call::{Incoming, Origin, answer, fingerprint},
    entry::Entry,
    in_flight::{InFlight, InFlightGuard},
    io::{Body, Outgoing, Reply},
    peer::entry,
};

/// Longest deadline that a caller may state. The operation's own deadline may be shorter.
const MAX_DEADLINE: Millis = Millis(600_000);

#[handler]
pub(crate) async fn serve_call(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let began = entry.now();
    let service: String = req.param("service").unwrap_or_default();
    let reply = match InFlight::enter(&entry, entry.settings.limits.requests) {
        None => Reply::notice(&overloaded(&entry, req)),
        Some(guard) => {
            let reply = match read(&entry, req).await {
                Ok(incoming) => answer(&entry, incoming, Origin::Caller, &guard).await,
                Err(notice) => Reply::notice(&unread_notice(req, notice)),
            };
            reply.hold_until_sent(guard)
        }
    };
    record_answer(&entry, &service, &reply, entry.now().since(began));
    if entry.is_stopping() {
        // The caller cannot reuse this connection, so its next request can go to another entry VM.
        let closed = res.add_header("connection", "close", true);
        debug_assert!(closed.is_ok(), "the header's name and value are constants");
    }
    reply.write_to(res);
}

/// Returns the notice for a request that exceeds the limit on requests in progress.
fn overloaded(entry: &Entry, req: &Request) -> Notice {
    let retry = entry.settings.pace.call;
    let notice = unread_notice(req, notices::refused(Reason::Overloaded, retry));
    Notice { retry: Some(retry), ..notice }
}

/// Returns the notice for a request that was not read completely. A request with a ticket may repeat an operation that
/// has run, so its notice does not claim that nothing ran. A malformed or too large request never runs.
fn unread_notice(req: &Request, notice: Notice) -> Notice {
    let repeats = req.headers().contains_key(header::TICKET);
    if repeats && notice.reason != Reason::BadRequest {
        return notices::unknown(notice.reason);
    }
    notice
}

/// Counts the answer in metrics and SLO events.
fn record_answer(entry: &Entry, service: &str, reply: &Reply, waited: Millis) {
    let known = entry.with_engine(|engine, _| {
        let id: ServiceId = service.parse().ok()?;
        engine.bundle()?.services.contains_key(&id).then_some(id)
    });
    // Unknown names share one label: callers could otherwise create any number of metrics and exhaust the memory.
    let service = known.as_ref().map_or("unknown", ServiceId::as_str);
    let verdict = reply.verdict();
    let outcome = verdict.map_or("answered", |it| it.code());
    let seconds = waited.0 as f64 / 1_000.0;
    entry.metrics.latency.with_label_values(&[service, outcome]).observe(seconds);
    let reason = reply.reason();
    if let (Some(verdict), Some(reason)) = (verdict, reason) {
        entry.metrics.notices.with_label_values(&[service, verdict.code(), reason.code()]).inc();
    }
    if let Some(id) = &known {
        entry.count_answer(id, verdict.zip(reason), waited);
    }
}

/// Reads the complete request, within the limits on size and time.
async fn read(entry: &Arc<Entry>, req: &mut Request) -> Result<Incoming, Notice> {
    let now = entry.now();
    let bad = |detail: String| Notice { detail, ..notices::not_run(Reason::BadRequest) };
    let Some((service, operation)) = target(req) else {
        return Err(bad("The path names no service and operation.".to_owned()));
    };
    let source = source(req)?;
    let stated: Option<u64> = header_of(req, header::DEADLINE)?;
    let time_left = stated.map_or(MAX_DEADLINE, Millis).min(MAX_DEADLINE);
    let customer = header_of(req, header::CUSTOMER)?;
    let attempt_number: Option<u32> = header_of(req, header::ATTEMPT_NUMBER)?;
    let body = read_body(entry, req).await?;
    let request = outgoing(req, body);
    let key: Option<String> = req.header(header::IDEMPOTENCY_KEY);
    let number = key.as_deref().map_or_else(|| entry.next_request_number(), request_number);
    let call = Call {
        service,
        operation,
        customer,
        source,
        ticket: req.header(header::TICKET),
        key,
        fingerprint: fingerprint(&request),
        deadline: now.after(time_left),
        size: th_protocol::Bytes(request.body.len() as u64),
        forwarded: false,
        attempts: attempt_number.unwrap_or(1).saturating_sub(1),
        number,
    };
    log::debug!(target: "caller", "Request {number} received.");
    Ok(Incoming { call, request })
}

/// Returns the number under which a request's decisions are recorded: the hash of its idempotency key.
pub(super) fn request_number(key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

fn header_of<T: std::str::FromStr<Err: std::fmt::Display>>(
    req: &Request,
    name: &str,
) -> Result<Option<T>, Notice> {
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().map_err(|it| it.to_string());
    let parsed = parsed.and_then(|it| it.parse::<T>().map_err(|it| it.to_string()));
    match parsed {
        Ok(value) => Ok(Some(value)),
        Err(error) => {
            let detail = format!("The header {name}: {error}.");
            Err(Notice { detail, ..notices::not_run(Reason::BadRequest) })
        }
    }
}

async fn read_body(entry: &Entry, req: &mut Request) -> Result<Bytes, Notice> {
    let limits = entry.settings.limits;
    let max_size = limits.body.0 as usize;
    let body = req.payload_with_max_size(max_size);
    match timeout(Duration::from_millis(limits.slow.0), body).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(error)) => Err(Notice {
            detail: format!(
                "The body, of at most {}: {error}; the request was not run.",
                limits.body
            ),
            ..notices::not_run(Reason::BadRequest)
        }),
        Err(_) => Err(notices::not_run(Reason::SlowCaller)),
    }
}

/// Returns the request as it is sent to a backend server: `/{operation}/{rest}` with the query, and without headers
/// that concern only this hop or the steering system.
fn outgoing(req: &Request, body: Bytes) -> Outgoing {
    let mut headers = req.headers().clone();
    header::remove_hop_by_hop_headers(&mut headers);
    let internal =
        ["host", "content-length", "expect", header::TICKET, header::BLOCK, header::ATTEMPT_NUMBER];
    for name in internal.iter().chain(&[header::PEER_KEY, header::ATTEMPT, header::DEADLINE]) {
        headers.remove(*name);
    }
    let uri = req.uri();
    let path = uri.path().splitn(5, '/').nth(4).unwrap_or_default();
    let path = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Outgoing { method: req.method().clone(), path, headers, body }
}

impl Reply {
    /// Holds `guard` until the last byte of a streamed body has been sent.
    fn hold_until_sent(self, guard: InFlightGuard) -> Reply {
        use futures_util::StreamExt;
        let Body::Stream(stream) = self.body else {
            return self;
        };
        let stream = stream.map(move |chunk| {
            let _ = &guard;
            chunk
        });
        Reply { body: Body::Stream(stream.boxed()), ..self }
    }
}
