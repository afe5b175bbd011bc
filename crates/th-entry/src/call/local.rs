//! Sends requests to backend servers of this data centre.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use http::StatusCode;
use th_protocol::{AttemptId, Millis, Time};
use th_steer::{
    backend::{Choice, Outcome},
    engine::{Placement, Run},
    retry::RetryDecision,
};
use tokio::time::sleep;

use super::{Incoming, attempt::Attempt, stream::hold_slot};
use crate::{
    entry::Entry,
    io::{Body, Reply, SendOutcome, SendSettings, ServerReport, is_error_status, send},
};

/// Time between two checks of whether an attempt makes progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An attempt without an answer for this time is considered to be on a stalled connection.
const STALL_TIMEOUT: Millis = Millis(1_000);

/// The outcome of an attempt and, if there is one, the answer to pass on.
type AttemptEnd = (Outcome, Option<Reply>);

/// Sends a request to a backend server and, if that is slow or stalled and the operation is idempotent, starts hedged
/// attempts. Returns the outcome and, if there is one, the answer to pass on.
pub(crate) async fn send_to(
    entry: &Arc<Entry>,
    run: &Run,
    incoming: &Incoming,
    choice: Choice,
    attempt: Attempt,
) -> AttemptEnd {
    let (id, began) = (attempt.id(), attempt.began());
    // An attempt that is dropped releases its slot and closes its connection.
    let mut open = FuturesUnordered::new();
    open.push(run_attempt(entry, run, incoming, choice, attempt));
    let mut failure = None;
    for wait in hedge_waits(entry, run) {
        let timer = sleep(Duration::from_millis((began.after(wait).since(entry.now())).0 + 1));
        tokio::pin!(timer);
        loop {
            tokio::select! {
                Some(ended) = open.next() => {
                    if ended.1.is_some() || open.is_empty() {
                        return combine_ends(failure, ended);
                    }
                    failure = Some(combine_ends(failure, ended));
                }
                () = &mut timer => break,
            }
        }
        if STALL_TIMEOUT <= wait {
            report_stall(entry, id, began);
        }
        if let Some((choice, attempt)) = start_hedge(entry, run, began) {
            open.push(run_attempt(entry, run, incoming, choice, attempt));
        }
    }
    while let Some(ended) = open.next().await {
        if ended.1.is_some() || open.is_empty() {
            return combine_ends(failure, ended);
        }
        failure = Some(combine_ends(failure, ended));
    }
    unreachable!("the loop returns the end of the last open attempt")
}

/// Returns the times after which to start a hedged attempt: when the first is slower than most, and when its connection
/// counts as stalled. Stalled connections have been retired by then, so that the later hedge uses a new connection.
fn hedge_waits(entry: &Entry, run: &Run) -> Vec<Millis> {
    if !run.spec.idempotent || run.call.forwarded || 1 < run.attempts {
        return Vec::new();
    }
    match entry.with_engine(|engine, _| engine.hedge_after(&run.call.service)) {
        Some(slow) if STALL_TIMEOUT <= slow => vec![slow],
        Some(slow) => vec![slow, STALL_TIMEOUT],
        None => vec![STALL_TIMEOUT],
    }
}

/// Returns the end with an answer. Among failures, one that may have run takes precedence over one that was not
/// executed.
fn combine_ends(before: Option<AttemptEnd>, ended: AttemptEnd) -> AttemptEnd {
    match before {
        Some(before) if ended.1.is_none() && ended.0.is_not_executed() => before,
        _ => ended,
    }
}

/// Places a hedged attempt for a slow or stalled one, if the budget and a free slot allow it.
fn start_hedge(entry: &Arc<Entry>, run: &Run, began: Time) -> Option<(Choice, Attempt)> {
    let placement = entry.with_engine(|engine, now| {
        if engine.hedge(run, began, now) {
            return engine.place_hedge(run, now);
        }
        let is_stalled = STALL_TIMEOUT <= now.since(began);
        if !is_stalled || matches!(engine.retry(run, false, now), RetryDecision::Stop(_)) {
            return None;
        }
        engine.place_hedge(run, now)
    });
    let Some(Placement::Backend(choice)) = placement else {
        return None;
    };
    entry.metrics.retries.with_label_values(&[run.call.service.as_str(), "hedge"]).inc();
    let attempt = Attempt::new(entry, run.call.service.clone(), choice.attempt);
    Some((choice, attempt))
}

async fn run_attempt(
    entry: &Arc<Entry>,
    run: &Run,
    incoming: &Incoming,
    choice: Choice,
    attempt: Attempt,
) -> AttemptEnd {
    let client = entry.clients.get(&choice.backend, choice.generation);
    let settings = SendSettings {
        address: choice.address,
        attempt: attempt.id(),
        time_left: run.call.deadline.since(entry.now()),
        max_buffered: entry.settings.limits.answer.0 as usize,
        attempt_number: run.attempts,
    };
    let outcome = {
        let sending = send(&client, &incoming.request, settings);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                outcome = &mut sending => break outcome,
                () = sleep(STALL_CHECK_INTERVAL) => report_stall(entry, attempt.id(), attempt.began()),
            }
        }
    };
    let report = match &outcome {
        SendOutcome::Answer(_, report) | SendOutcome::Failed(_, report) => *report,
    };
    apply_report(entry, &choice, report);
    match outcome {
        SendOutcome::Failed(outcome, _) => {
            attempt.end(outcome);
            (outcome, None)
        }
        SendOutcome::Answer(reply, _) => pass_on(entry, attempt, reply),
    }
}

fn report_stall(entry: &Entry, attempt: AttemptId, began: Time) {
    let retired = entry.with_engine(|engine, now| engine.on_stall(attempt, began, now));
    if retired {
        log::info!(target: "backend", "Attempt {attempt} made no progress; its generation of connections is retired.");
    }
}

fn apply_report(entry: &Entry, choice: &Choice, report: ServerReport) {
    if report.leaving {
        entry.with_engine(|engine, now| engine.on_leaving(&choice.backend, now));
    }
}

/// Ends the attempt, either now or when the last byte of a streamed body has been passed on.
fn pass_on(entry: &Entry, attempt: Attempt, reply: Reply) -> AttemptEnd {
    let outcome = outcome_of(reply.status);
    let Reply { status, headers, body } = reply;
    let body = match body {
        Body::Complete(body) => {
            attempt.end(outcome);
            Body::Complete(body)
        }
        Body::Stream(stream) => {
            Body::Stream(hold_slot(stream, attempt, outcome, entry.settings.limits.slow))
        }
    };
    (outcome, Some(Reply { status, headers, body }))
}

fn outcome_of(status: StatusCode) -> Outcome {
    if is_error_status(status) { Outcome::ErrorStatus } else { Outcome::Answered }
}
