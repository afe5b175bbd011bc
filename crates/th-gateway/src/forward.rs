//! Requests passed on to another entry VM while this one reaches no backend server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::join_all;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, request};
use hyper::body::Incoming;
use th_protocol::{Millis, Version, VmId};
use th_steer::{
    dispatch::{AttemptOutcome, Fingerprint, Job},
    organisation::KeyDigest,
};
use tokio::time::sleep;

use crate::{
    answer::{Answer, NOT_EXECUTED, reject},
    answer_head::{SWITCHED, detach, find_foreign},
    connection::{Connection, SendError, send_pooled},
    core::Core,
    outgoing::{AttemptResult, Outgoing},
};

/// The result of sending a request to another VM.
pub(crate) type Result<T, E = SendError> = std::result::Result<T, E>;

/// Id of the entry VM that passes a request on.
const FORWARDED_BY: HeaderName = HeaderName::from_static("th-forwarded-by");
/// Number of backend servers that the request may still be sent to.
const ATTEMPTS: HeaderName = HeaderName::from_static("th-attempts");
/// Version of the configuration by which the request was routed.
const VERSION: HeaderName = HeaderName::from_static("th-version");
/// Fingerprint of the request, which the other VM cannot compute if it depends on the caller's address.
const FINGERPRINT: HeaderName = HeaderName::from_static("th-fingerprint");
/// Digest of the request's key; the other VM judges it by what it knows itself.
const KEY: HeaderName = HeaderName::from_static("th-key");
/// Present on the answer of a VM that did not take the request.
const DECLINED: HeaderName = HeaderName::from_static("th-declined");
/// Number of VMs that a request is passed to before it is rejected.
const MAX_VMS: usize = 3;
/// Longest wait for a slot of a request that another VM passed on: a planned stop of that VM takes longer, so that its
/// caller gets an answer.
pub(crate) const FORWARDED_WAIT: Millis = Millis(2_000);
/// Time between two checks of links to backend servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Retry delay suggested while no VM takes a request; about the time of a check.
const DECLINED_RETRY_AFTER: Millis = Millis(300);

/// A request that another entry VM passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Forwarded {
    pub(crate) vm: VmId,
    pub(crate) attempts: u32,
    version: Version,
    /// Fingerprint of the request; earlier builds send none.
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) key: Option<KeyDigest>,
}

impl Forwarded {
    /// Removes and reads the headers of a request that was passed on; `None` if it was not, or if they are malformed.
    pub(crate) fn take(head: &mut request::Parts) -> Option<Forwarded> {
        let mut text = |name: &HeaderName| -> Option<String> {
            Some(head.headers.remove(name)?.to_str().ok()?.to_owned())
        };
        let fingerprint = text(&FINGERPRINT).and_then(|it| it.parse().ok());
        let key = text(&KEY).and_then(|it| it.parse().ok());
        let (vm, attempts, version) = (text(&FORWARDED_BY)?, text(&ATTEMPTS)?, text(&VERSION)?);
        Some(Forwarded {
            vm: vm.parse().ok()?,
            attempts: attempts.parse().ok()?,
            version: version.parse().ok()?,
            fingerprint,
            key,
        })
    }

    /// Whether this VM may run the request: it starts new work, and has no older configuration than the sender.
    pub(crate) fn is_accepted(&self, core: &Core) -> bool {
        let own = core.dispatcher.borrow().routes().map(|it| it.version());
        !core.is_stopping() && own.is_some_and(|it| self.version <= it)
    }

    fn set_headers(&self, headers: &mut HeaderMap) {
        if let Ok(vm) = HeaderValue::from_str(self.vm.as_str()) {
            headers.insert(FORWARDED_BY, vm);
        }
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
        headers.insert(VERSION, HeaderValue::from(self.version.0));
        let fingerprint = self.fingerprint.map(|it| HeaderValue::from_str(&it.to_string()));
        if let Some(Ok(fingerprint)) = fingerprint {
            headers.insert(FINGERPRINT, fingerprint);
        }
        // A caller may have sent a header of this name.
        headers.remove(KEY);
        let key = self.key.map(|it| HeaderValue::from_str(&it.to_string()));
        if let Some(Ok(key)) = key {
            headers.insert(KEY, key);
        }
    }
}

/// Whether a request on the listener for other VMs is a caller's request that one of them passes on.
pub(crate) fn is_forwarded(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(FORWARDED_BY)
}

/// The answer to a request that this VM cannot take; another one may.
pub(crate) fn decline() -> Answer {
    let text = "This VM cannot take the request; it was not run.";
    let mut answer = reject(text, DECLINED_RETRY_AFTER);
    answer.headers_mut().insert(DECLINED, HeaderValue::from_static("1"));
    answer
}

/// Passes a request on to other VMs, one after the other until one takes it. `attempts` is the number of backend servers
/// that it may still be sent to.
pub(crate) async fn forward(
    core: &Rc<Core>,
    job: &Job,
    outgoing: &Outgoing,
    version: Version,
    attempts: u32,
) -> AttemptResult {
    let vm = core.dispatcher.borrow().vm().clone();
    let (fingerprint, key) = (Some(outgoing.fingerprint), outgoing.caller.key);
    let by = Forwarded { vm, attempts, version, fingerprint, key };
    let (mut tried, mut details) = (Vec::new(), Vec::new());
    let (mut not_executed, mut outcome) = (true, AttemptOutcome::Unreachable);
    while tried.len() < MAX_VMS && (not_executed || job.route.idempotent) {
        let now = core.now();
        let answer_by = core.dispatcher.borrow().answer_by(job);
        let target = core.dispatcher.borrow_mut().forward_target(job, &tried, now);
        let Some((vm, address)) = target.filter(|_| now < answer_by) else {
            break;
        };
        let time_left = answer_by.since(now);
        let sent = send_to(core, outgoing, &by, &vm, address, time_left);
        let sent = tokio::select! {
            biased;
            sent = sent => Some(sent),
            () = last_answer(core, job) => None,
        };
        let mut result = match sent {
            Some(Ok(result)) => result,
            Some(Err(error)) => {
                let unsent = error.is_unsent();
                AttemptResult::without_answer(AttemptOutcome::Broken, unsent, error)
            }
            None => {
                AttemptResult::without_answer(AttemptOutcome::Silent, false, "no answer in time")
            }
        };
        details.push(format!("{vm}: {}", result.detail));
        let is_declined = result.answer.is_none();
        // Only the last VM says that it did not run the request.
        if result.not_executed && !not_executed {
            result.answer = None;
        }
        not_executed &= result.not_executed;
        outcome = result.outcome;
        if !is_declined {
            let detail = details.join("; ");
            return AttemptResult { not_executed, detail, ..result };
        }
        core.dispatcher.borrow_mut().on_forward_declined(&vm, core.now());
        tried.push(vm);
    }
    let detail = if details.is_empty() { "no other VM".to_owned() } else { details.join("; ") };
    AttemptResult::without_answer(outcome, not_executed, detail)
}

/// Waits until it is too late for an answer to a request, also if a planned stop begins in the meantime.
async fn last_answer(core: &Core, job: &Job) {
    loop {
        let end = core.dispatcher.borrow().answer_by(job).after(core.settings.answer_slack);
        let now = core.now();
        if end <= now {
            return;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(end.since(now).0)) => {}
            // A planned stop notifies repeatedly.
            () = core.closing.notified() => {}
        }
    }
}

/// Sends a request to another VM and receives its answer.
async fn send_to(
    core: &Rc<Core>,
    outgoing: &Outgoing,
    by: &Forwarded,
    vm: &VmId,
    address: SocketAddr,
    time_left: Millis,
) -> Result<AttemptResult> {
    let mut request = outgoing.unaddressed();
    core.dialect.set_time_left(request.headers_mut(), time_left);
    by.set_headers(request.headers_mut());
    let opened = &core.metrics.vm_connections;
    let (response, mut connection) =
        send_pooled(core, &core.vm_pool, vm, address, request, opened).await?;
    let (mut head, body) = response.into_parts();
    let info = core.dialect.read_answer(&head);
    if let Some(detail) = find_foreign(&head, &info, &outgoing.id) {
        return Ok(AttemptResult::without_answer(AttemptOutcome::Broken, false, detail));
    }
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Ok(AttemptResult::without_answer(AttemptOutcome::Broken, false, SWITCHED));
    }
    let body = match outgoing.room.buffer(&head.headers, body).await {
        Ok(body) => body,
        Err(error) => {
            return Ok(AttemptResult::without_answer(AttemptOutcome::Broken, false, error));
        }
    };
    let settings = &core.settings;
    connection.expires = core.now().after(settings.idle_timeout.minus(settings.retire_margin));
    core.vm_pool.borrow_mut().put(vm, connection);
    let detail = format!("status {}", head.status.as_u16());
    // A server's answer names the attempt.
    let is_of_vm = info.id.is_none() && !info.signed;
    // A VM with another configuration may not know the route.
    let is_unknown = head.status == StatusCode::NOT_FOUND;
    if is_of_vm && (is_unknown || head.headers.contains_key(DECLINED)) {
        return Ok(AttemptResult::without_answer(AttemptOutcome::Shed, true, detail));
    }
    detach(&mut head, &outgoing.method);
    let not_executed = is_of_vm && NOT_EXECUTED.contains(&head.status);
    let outcome = if not_executed { AttemptOutcome::Shed } else { AttemptOutcome::Answered };
    let answer = Some((head, body));
    Ok(AttemptResult { outcome, not_executed, lost: false, answer, detail })
}

/// Finds out, whenever there is reason to, whether this VM is cut off from all backend servers.
pub(crate) async fn check_links(core: Rc<Core>) {
    let mut state = LinkState::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        let links = core.dispatcher.borrow_mut().links_to_check(core.now());
        if !links.is_empty() {
            let mut opened = Vec::new();
            for (backend, address) in &links {
                let limit = core.settings.connect_timeout;
                let memory = &core.memory;
                opened.push(
                    async move { (backend, Connection::open(*address, limit, memory).await) },
                );
            }
            let mut reached = false;
            for (backend, result) in join_all(opened).await {
                match result {
                    Ok(mut connection) => {
                        reached = true;
                        core.metrics.connections.inc();
                        connection.expires = core.now().after(core.settings.idle_timeout);
                        core.pool.borrow_mut().put(backend, connection);
                    }
                    Err(error) => {
                        log::debug!(target: "backend", "backend={backend} The link was checked: {error}");
                    }
                }
            }
            core.dispatcher.borrow_mut().on_links_checked(reached, core.now());
        }
        state = apply_state(&core, state, links.len());
    }
}

/// Whether this VM reaches no backend server, and whether it passes its requests on to other VMs for that.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LinkState {
    cut_off: bool,
    passing_on: bool,
}

/// Closes connections to servers once requests are passed on, and logs what has changed. Returns the present state.
fn apply_state(core: &Core, before: LinkState, checked: usize) -> LinkState {
    let dispatcher = core.dispatcher.borrow();
    let (cut_off, passing_on) = (dispatcher.is_cut_off(), dispatcher.is_isolated());
    drop(dispatcher);
    if passing_on && !before.passing_on {
        // They carry nothing any more.
        core.pool.borrow_mut().clear();
        log::warn!(target: "backend", "checked={checked} Lost the links to all backend servers; passing requests on to other VMs.");
    } else if cut_off && !before.cut_off {
        log::warn!(target: "backend", "checked={checked} Lost the links to all backend servers; no other VM is known to pass requests on to.");
    } else if before.cut_off && !cut_off {
        log::info!(target: "backend", "Regained links to backend servers.");
    }
    LinkState { cut_off, passing_on }
}
