//! Hedged attempts: idempotent requests that are sent to a second backend server while the first has not answered.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use th_protocol::{Millis, Version};
use th_steer::dispatch::{Attempt, AttemptOutcome, Job};
use tokio::time::sleep;

use crate::{
    authorise::check_hedge,
    call::{FinishedAttempt, is_crashing, pass_on, run_attempt},
    core::{Core, Slot},
    outgoing::Outgoing,
    request_log::LogRecord,
};

/// Sends a request to one backend server. An idempotent request without an answer long after the expected time gets a
/// hedged attempt. The first good answer is used and the other attempt dropped; a failed one does not end the other.
pub(crate) async fn run_hedged(
    core: &Rc<Core>,
    job: &mut Job,
    outgoing: &Outgoing,
    attempt: Attempt,
    address: SocketAddr,
    record: &mut LogRecord,
) -> FinishedAttempt {
    job.tried.push(attempt.backend.clone());
    let delay = hedge_delay(core, job, attempt.expected);
    let slot = Slot::new(Rc::clone(core), job.clone(), attempt);
    let first_outcome = slot.outcome();
    let mut first = Box::pin(run_attempt(slot, outgoing.clone(), address));
    let Some(delay) = delay else {
        return first.await;
    };
    tokio::select! {
        done = &mut first => return done,
        () = sleep(Duration::from_millis(delay.0)) => {}
    }
    let Some(mut second) = start_hedge(core, job, outgoing, record) else {
        return first.await;
    };
    let (ended, first_ended) = tokio::select! {
        done = &mut first => (done, true),
        done = &mut second => (done, false),
    };
    if matches!(ended.result.outcome, AttemptOutcome::Answered) {
        if !first_ended {
            first_outcome.set(AttemptOutcome::Overtaken);
        }
        return ended;
    }
    // The other attempt may still succeed.
    record.attempts.push(ended.summary);
    let mut done = if first_ended { second.await } else { first.await };
    done.result.not_executed &= ended.result.not_executed;
    done
}

/// Starts a hedged attempt at another backend server, or by another VM if this one reaches none; `None` if there is no
/// room for one.
fn start_hedge<'a>(
    core: &'a Rc<Core>,
    job: &mut Job,
    outgoing: &'a Outgoing,
    record: &LogRecord,
) -> Option<LocalBoxFuture<'a, FinishedAttempt>> {
    if is_crashing(core, outgoing) || !check_hedge(core, job, outgoing) {
        return None;
    }
    let mut dispatcher = core.dispatcher.borrow_mut();
    dispatcher.renew_homes(job, Version(record.version));
    if !dispatcher.is_isolated() {
        let (attempt, address) = dispatcher.place_hedge(job, core.now())?;
        job.tried.push(attempt.backend.clone());
        let slot = Slot::new(Rc::clone(core), job.clone(), attempt);
        return Some(Box::pin(run_attempt(slot, outgoing.clone(), address)));
    }
    if record.forwarder.is_some() || !dispatcher.take_retry(job, core.now()) {
        return None;
    }
    let attempts = job.route.attempts.saturating_sub(job.tried.len() as u32);
    let (job, version) = (job.clone(), record.version);
    Some(Box::pin(async move {
        let mut done = pass_on(core, &job, outgoing, attempts, version).await;
        if done.result.not_executed {
            // The first attempt may have run it.
            done.result.answer = None;
        }
        done
    }))
}

/// Returns the delay of a hedged attempt; `None` if the request must not be sent twice, or if this VM is stopping and
/// starts no new work.
fn hedge_delay(core: &Core, job: &Job, expected: Millis) -> Option<Millis> {
    let settings = &core.settings;
    let last = job.route.attempts as usize <= job.tried.len();
    if !job.route.idempotent || last || core.is_stopping() {
        return None;
    }
    let delay = Millis(expected.0 * u64::from(settings.hedge_factor));
    Some(delay.max(settings.hedge_min))
}
