//! Requests that run at a backend server of this data centre.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use th_protocol::Time;
use th_steer::{
    backend::{Choice, Outcome},
    engine::{Place, Run},
};
use tokio::time::sleep;

use super::{Incoming, attempt::Attempt, stream::guarded};
use crate::{
    entry::Entry,
    io::{Body, Course, Reply, Sent, Signs, is_fault, send},
};

/// Between two looks at whether an attempt makes progress.
const SILENCE_CHECK: Duration = Duration::from_millis(500);

/// Sends a request to a backend server, and to a second one where the first is slow and the operation is idempotent.
/// Gives how it ended and, if there is one, the answer to pass on.
pub(crate) async fn send_to(
    entry: &Arc<Entry>,
    run: &Run,
    incoming: &Incoming,
    choice: Choice,
    attempt: Attempt,
) -> (Outcome, Option<Reply>) {
    let first = one(entry, run, incoming, choice, attempt);
    if !run.spec.idempotent || run.call.forwarded || 1 < run.tries {
        return first.await;
    }
    let Some(wait) = entry.decide(|engine, _| engine.hedge_after(&run.call.service)) else {
        return first.await;
    };
    let sent = entry.now();
    tokio::pin!(first);
    tokio::select! {
        ended = &mut first => return ended,
        () = sleep(Duration::from_millis(wait.0 + 1)) => {}
    }
    let Some((choice, attempt)) = hedge(entry, run, sent) else {
        return first.await;
    };
    let second = one(entry, run, incoming, choice, attempt);
    tokio::pin!(second);
    // The loser is dropped, which frees its slot and closes its connection.
    tokio::select! {
        ended = &mut first => better(ended, second).await,
        ended = &mut second => better(ended, first).await,
    }
}

/// The answer of the try that ended, or else how the other one ends. Without any, what may have run counts.
async fn better(
    ended: (Outcome, Option<Reply>),
    other: impl Future<Output = (Outcome, Option<Reply>)>,
) -> (Outcome, Option<Reply>) {
    if ended.1.is_some() {
        return ended;
    }
    let last = other.await;
    if last.1.is_none() && last.0.surely_not_run() { ended } else { last }
}

/// A second backend server for a slow request, where the budget and a free slot allow it.
fn hedge(entry: &Arc<Entry>, run: &Run, sent: Time) -> Option<(Choice, Attempt)> {
    let place = entry.decide(|engine, now| {
        if !engine.hedge(run, sent, now) {
            return None;
        }
        engine.place_hedge(run, now)
    });
    let Some(Place::Backend(choice)) = place else {
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
) -> (Outcome, Option<Reply>) {
    let client = entry.clients.get(&choice.backend, choice.generation);
    let course = Course {
        address: choice.address,
        attempt: attempt.id(),
        left: run.call.deadline.since(entry.now()),
        whole: entry.settings.limits.answer.0 as usize,
        tries: run.tries,
    };
    let sent = {
        let sending = send(&client, &incoming.request, course);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                sent = &mut sending => break sent,
                () = sleep(SILENCE_CHECK) => note_silence(entry, &attempt),
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

fn note_silence(entry: &Entry, attempt: &Attempt) {
    let left = entry.decide(|engine, now| engine.on_silence(attempt.id(), attempt.began(), now));
    if left {
        log::info!(target: "backend", "Attempt {} made no progress; its connections are left.", attempt.id());
    }
}

fn note_signs(entry: &Entry, choice: &Choice, signs: Signs) {
    if signs.leaving {
        entry.decide(|engine, now| engine.on_leaving(&choice.backend, now));
    }
}

/// Ends the attempt, now or when the last byte of a streamed body has passed.
fn pass(entry: &Entry, attempt: Attempt, reply: Reply) -> (Outcome, Option<Reply>) {
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
