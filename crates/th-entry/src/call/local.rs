//! Requests that run at a backend server of this data centre.

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

use super::{Incoming, attempt::Attempt, stream::guarded};
use crate::{
    entry::Entry,
    io::{Body, Reply, SendSettings, Sent, Signs, is_fault, send},
};

/// Between two looks at whether an attempt makes progress.
const SILENCE_CHECK: Duration = Duration::from_millis(500);

/// An attempt without an answer for this long is taken to be on a silent connection.
const SILENCE: Millis = Millis(1_000);

/// How an attempt ended and, if there is one, the answer to pass on.
type Ended = (Outcome, Option<Reply>);

/// Sends a request to a backend server and, where that is slow or silent and the operation is idempotent, sends it once
/// more beside. Gives how it ended and, if there is one, the answer to pass on.
pub(crate) async fn send_to(
    entry: &Arc<Entry>,
    run: &Run,
    incoming: &Incoming,
    choice: Choice,
    attempt: Attempt,
) -> Ended {
    let (id, began) = (attempt.id(), attempt.began());
    // Whoever is dropped frees its slot and closes its connection.
    let mut open = FuturesUnordered::new();
    open.push(one(entry, run, incoming, choice, attempt));
    let mut worst = None;
    for wait in waits(entry, run) {
        let due = sleep(Duration::from_millis((began.after(wait).since(entry.now())).0 + 1));
        tokio::pin!(due);
        loop {
            tokio::select! {
                Some(ended) = open.next() => {
                    if ended.1.is_some() || open.is_empty() {
                        return worse(worst, ended);
                    }
                    worst = Some(worse(worst, ended));
                }
                () = &mut due => break,
            }
        }
        if SILENCE <= wait {
            note_silence(entry, id, began);
        }
        if let Some((choice, attempt)) = beside(entry, run, began) {
            open.push(one(entry, run, incoming, choice, attempt));
        }
    }
    while let Some(ended) = open.next().await {
        if ended.1.is_some() || open.is_empty() {
            return worse(worst, ended);
        }
        worst = Some(worse(worst, ended));
    }
    unreachable!("the last attempt's end was returned")
}

/// When to send an attempt beside the first: once it is slower than most, and once its connection counts as silent. The
/// connections that may be silent are left by then, so that the second of them goes over a fresh one.
fn waits(entry: &Entry, run: &Run) -> Vec<Millis> {
    if !run.spec.idempotent || run.call.forwarded || 1 < run.attempts {
        return Vec::new();
    }
    match entry.decide(|engine, _| engine.hedge_after(&run.call.service)) {
        Some(slow) if SILENCE <= slow => vec![slow],
        Some(slow) => vec![slow, SILENCE],
        None => vec![SILENCE],
    }
}

/// An answer, or else the end that leaves more open: what may have run counts.
fn worse(before: Option<Ended>, ended: Ended) -> Ended {
    match before {
        Some(before) if ended.1.is_none() && ended.0.is_not_executed() => before,
        _ => ended,
    }
}

/// A backend server for an attempt beside a slow one, where the budget and a free slot allow it.
fn beside(entry: &Arc<Entry>, run: &Run, began: Time) -> Option<(Choice, Attempt)> {
    let place = entry.decide(|engine, now| {
        if engine.hedge(run, began, now) {
            return engine.place_hedge(run, now);
        }
        let silent = SILENCE <= now.since(began);
        if !silent || matches!(engine.retry(run, false, now), RetryDecision::Stop(_)) {
            return None;
        }
        engine.place_hedge(run, now)
    });
    let Some(Placement::Backend(choice)) = place else {
        return None;
    };
    entry.metrics.retries.with_label_values(&[run.call.service.as_str(), "hedge"]).inc();
    let attempt = Attempt::new(entry, run.call.service.clone(), choice.attempt);
    Some((choice, attempt))
}

async fn one(
    entry: &Arc<Entry>,
    run: &Run,
    incoming: &Incoming,
    choice: Choice,
    attempt: Attempt,
) -> Ended {
    let client = entry.clients.get(&choice.backend, choice.generation);
    let settings = SendSettings {
        address: choice.address,
        attempt: attempt.id(),
        left: run.call.deadline.since(entry.now()),
        whole: entry.settings.limits.answer.0 as usize,
        tries: run.attempts,
    };
    let sent = {
        let sending = send(&client, &incoming.request, settings);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                sent = &mut sending => break sent,
                () = sleep(SILENCE_CHECK) => note_silence(entry, attempt.id(), attempt.began()),
            }
        }
    };
    let signs = match &sent {
        Sent::Answer(_, signs) | Sent::Failed(_, signs) => *signs,
    };
    note_signs(entry, &choice, signs);
    match sent {
        Sent::Failed(outcome, _) => {
            attempt.end(outcome);
            (outcome, None)
        }
        Sent::Answer(reply, _) => pass(entry, attempt, reply),
    }
}

fn note_silence(entry: &Entry, attempt: AttemptId, began: Time) {
    let left = entry.decide(|engine, now| engine.on_stall(attempt, began, now));
    if left {
        log::info!(target: "backend", "Attempt {attempt} made no progress; its connections are left.");
    }
}

fn note_signs(entry: &Entry, choice: &Choice, signs: Signs) {
    if signs.leaving {
        entry.decide(|engine, now| engine.on_leaving(&choice.backend, now));
    }
}

/// Ends the attempt, now or when the last byte of a streamed body has passed.
fn pass(entry: &Entry, attempt: Attempt, reply: Reply) -> Ended {
    let outcome = outcome_of(reply.status);
    let Reply { status, headers, body } = reply;
    let body = match body {
        Body::Whole(body) => {
            attempt.end(outcome);
            Body::Whole(body)
        }
        Body::Stream(rest) => {
            Body::Stream(guarded(rest, attempt, outcome, entry.settings.limits.slow))
        }
    };
    (outcome, Some(Reply { status, headers, body }))
}

fn outcome_of(status: StatusCode) -> Outcome {
    if is_fault(status) { Outcome::ErrorStatus } else { Outcome::Answered }
}
