//! Quotas of organisations: admission of requests, and the exchange with the VM that gives out tokens.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use th_protocol::{Millis, OrganisationId, VmId};
use th_steer::quota::{Quota, REPORT_TIMEOUT, UsageAnswer, UsageReport};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    answer::{Answer, reply},
    body::AnswerBody,
    connection::Connection,
    core::Core,
    relay::{AnswerLimits, BoxError, PeerAnswer, RelayError, Result, message, post},
};

/// Path of reports to the VM that gives out tokens.
pub(crate) const USAGE_PATH: &str = "/v1/usage";
/// Path of the request for the quotas as a VM knows them.
pub const QUOTAS_PATH: &str = "/v1/quotas";
/// Maximum size of a report and of the answer, in bytes: 10,000 organisations.
const MAX_MESSAGE: usize = 2 << 20;
/// Longest time that a request waits for a token: two urgent reports and their answers.
const TOKEN_WAIT: Duration = Duration::from_millis(400);

/// Sets the quotas of the configuration in force.
pub fn set_quotas(core: &Core, quotas: BTreeMap<OrganisationId, Quota>) {
    core.quotas.borrow_mut().set_quotas(quotas, core.now());
    core.usage_due.notify_one();
}

/// Admits a request of an organisation, or returns the time after which one may be admitted. Waits a little for a token where
/// one is likely to come. An admitted request that reaches no backend server is given back by
/// [`QuotaBook::give_back`](th_steer::quota::QuotaBook::give_back).
pub async fn admit(core: &Core, id: &OrganisationId) -> std::result::Result<(), Millis> {
    let mut answered = core.usage_answered.notified();
    let taken = core.quotas.borrow_mut().take(id, core.now());
    if core.quotas.borrow().is_urgent() {
        core.usage_due.notify_one();
    }
    let Err(wait) = taken else { return Ok(()) };
    let end = Instant::now() + TOKEN_WAIT;
    while core.quotas.borrow().may_wait(id) {
        if timeout_at(end, answered).await.is_err() {
            break;
        }
        answered = core.usage_answered.notified();
        if core.quotas.borrow_mut().take_waiting(id, core.now()) {
            return Ok(());
        }
    }
    Err(wait)
}

/// Answers another VM's report. A malformed one is an error.
pub(crate) async fn answer_report(
    core: &Rc<Core>,
    request: Request<Incoming>,
) -> std::result::Result<Answer, BoxError> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE).collect().await?.to_bytes();
    let report: UsageReport = rmp_serde::from_slice(&body)?;
    let answer = core.quotas.borrow_mut().on_report(report, core.now());
    Ok(Response::new(AnswerBody::new(Bytes::from(rmp_serde::to_vec_named(&answer)?))))
}

/// Lists the quotas as this VM knows them, for operators.
pub(crate) fn list_quotas(core: &Core) -> Answer {
    match serde_json::to_vec(&core.quotas.borrow().view(core.now())) {
        Ok(body) => Response::new(AnswerBody::new(Bytes::from(body))),
        Err(error) => {
            log::error!(target: "quota", "Encoding the quotas failed: {error}");
            reply(StatusCode::INTERNAL_SERVER_ERROR, "The quotas could not be encoded.")
        }
    }
}

/// Reports to the VM that gives out tokens, while the configuration has quotas.
pub(crate) async fn report_usage(core: Rc<Core>) {
    let mut connection = None;
    let mut last: Option<VmId> = None;
    loop {
        wait_until_due(&core).await;
        let now = core.now();
        let members = core.dispatcher.borrow().entry_links();
        core.quotas.borrow_mut().set_members(members, now);
        let keeper = core.quotas.borrow().keeper(now);
        if last.as_ref() != Some(&keeper) {
            log::info!(target: "quota", "vm={keeper} Reporting the use of quotas to another VM.");
            connection = None;
            last = Some(keeper.clone());
        }
        let report = core.quotas.borrow_mut().report(&keeper, now);
        let is_own = *core.dispatcher.borrow().vm() == keeper;
        let result = if is_own {
            Ok(core.quotas.borrow_mut().on_report(report, now))
        } else {
            send(&core, &mut connection, &keeper, &report).await
        };
        let now = core.now();
        match result {
            Ok(answer) => core.quotas.borrow_mut().on_answer(answer, now),
            Err(error) => {
                log::warn!(target: "quota", "vm={keeper} The VM that gives out tokens did not answer; asking the next one: {error}");
                core.quotas.borrow_mut().on_failure(keeper, now);
            }
        }
        core.usage_answered.notify_waiters();
    }
}

/// Waits until a report is due, which may become earlier meanwhile.
async fn wait_until_due(core: &Core) {
    loop {
        if !core.quotas.borrow().is_active() {
            core.usage_due.notified().await;
            continue;
        }
        let wait = core.quotas.borrow().next_report().since(core.now());
        if wait == Millis::ZERO {
            return;
        }
        tokio::select! {
            () = core.usage_due.notified() => {}
            () = sleep(Duration::from_millis(wait.0)) => return,
        }
    }
}

async fn send(
    core: &Core,
    connection: &mut Option<Connection>,
    keeper: &VmId,
    report: &UsageReport,
) -> Result<UsageAnswer> {
    let address = core.dispatcher.borrow().entry(keeper).and_then(|it| it.peers);
    let address = address.ok_or_else(|| RelayError::NoAddress(keeper.clone()))?;
    let malformed = |cause: String| RelayError::Malformed(address, cause);
    let body = rmp_serde::to_vec_named(report).map_err(|it| malformed(it.to_string()))?;
    let kept = connection.take().filter(|it: &Connection| it.address == address);
    let limits = AnswerLimits {
        start: REPORT_TIMEOUT,
        stall: REPORT_TIMEOUT,
        transfer: REPORT_TIMEOUT,
        size: MAX_MESSAGE,
    };
    let answer = post(core, kept, address, message(USAGE_PATH, body), limits).await?;
    let PeerAnswer { head, body, connection: open } = answer;
    if !head.status.is_success() {
        return Err(RelayError::Status(address, head.status));
    }
    *connection = Some(open);
    rmp_serde::from_slice(&body).map_err(|it| malformed(it.to_string()))
}
