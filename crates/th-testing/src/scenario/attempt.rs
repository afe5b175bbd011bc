//! Attempts to run a request at a backend server.

use std::{pin::pin, rc::Rc};

use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use th_protocol::{Millis, ServiceId, Time};
use th_steer::{
    backend::{Choice, Outcome},
    engine::{Placement, Run},
    retry::RetryDecision,
};

use super::{
    call::{Incoming, RETRY_AFTER},
    entry::Entry,
    server::{self, ServerAnswer, ServerRequest},
    simulation::{ExchangeError, host_at},
};

/// Time between two checks of whether an attempt has stalled, in milliseconds.
const STALL_CHECK_MS: u64 = 500;
/// An attempt without an answer for this long counts as stalled: its connection may be dead.
const STALL_TIMEOUT: Millis = Millis(1_000);
/// An attempt that holds a slot. If it is dropped before it finishes, it counts as cancelled.
pub(crate) struct Attempt {
    entry: Entry,
    service: ServiceId,
    choice: Choice,
    began: Time,
    unfinished: bool,
}

impl Attempt {
    pub(crate) fn new(entry: &Entry, run: &Run, choice: Choice) -> Attempt {
        let (entry, service) = (entry.clone(), run.call.service.clone());
        entry.sim.state.borrow_mut().stats.attempts += 1;
        Attempt { began: entry.now(), entry, service, choice, unfinished: true }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.unfinished = false;
        let id = self.choice.attempt;
        self.entry.with_engine(|engine, now| {
            engine.finish(&self.service, id, outcome, now.since(self.began), now);
        });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let process = self.entry.sim.state.try_borrow().map(|it| it.hosts[self.entry.host].process);
        if self.unfinished && process.is_ok_and(|it| it == Some(self.entry.process)) {
            self.finish(Outcome::Cancelled);
        }
    }
}

/// Sends a request to a backend server. If it is idempotent and its attempt is slow or stalled, sends hedged attempts
/// to other servers as well.
pub(crate) async fn send_to_backend(
    entry: &Entry,
    run: &Run,
    incoming: &Incoming,
    attempt: Attempt,
) -> Result<String, Outcome> {
    let (id, began) = (attempt.choice.attempt, attempt.began);
    let mut open = FuturesUnordered::new();
    open.push(send_attempt(entry, run, incoming, attempt));
    let mut most_severe = None;
    for wait in hedge_delays(entry, run) {
        let mut due = pin!(entry.sim.sleep(began.after(wait).since(entry.now()).0 + 1));
        while let Either::Left((Some(ended), _)) = select(open.next(), &mut due).await {
            if ended.is_ok() || open.is_empty() {
                return more_severe(most_severe, ended);
            }
            most_severe = Some(more_severe(most_severe, ended));
        }
        if STALL_TIMEOUT <= wait {
            entry.with_engine(|engine, now| engine.on_stall(id, began, now));
        }
        if let Some(hedge) = start_hedge(entry, run, began) {
            open.push(send_attempt(entry, run, incoming, hedge));
        }
    }
    while let Some(ended) = open.next().await {
        if ended.is_ok() || open.is_empty() {
            return more_severe(most_severe, ended);
        }
        most_severe = Some(more_severe(most_severe, ended));
    }
    unreachable!("the result of the last open attempt is returned above")
}

/// Returns how long after the start of the first attempt hedged attempts are due. There are none for a retry or for a
/// request that is not idempotent or was forwarded.
fn hedge_delays(entry: &Entry, run: &Run) -> Vec<Millis> {
    if !run.spec.idempotent || run.call.forwarded || 1 < run.attempts {
        return Vec::new();
    }
    match entry.with_engine(|engine, _| engine.hedge_after(&run.call.service)) {
        Some(slow) if STALL_TIMEOUT <= slow => vec![slow],
        Some(slow) => vec![slow, STALL_TIMEOUT],
        None => vec![STALL_TIMEOUT],
    }
}

type AttemptEnd = Result<String, Outcome>;

/// Returns the result to report of two failed attempts: one that may have been executed takes precedence over one that
/// was not.
fn more_severe(before: Option<AttemptEnd>, ended: AttemptEnd) -> AttemptEnd {
    match (before, ended) {
        (Some(before), Err(outcome)) if outcome.is_not_executed() => before,
        (_, ended) => ended,
    }
}

/// Starts a hedged attempt. After a stall, the retry budget may allow it where the hedge rules do not.
fn start_hedge(entry: &Entry, run: &Run, began: Time) -> Option<Attempt> {
    let place = entry.with_engine(|engine, now| {
        let stalled = STALL_TIMEOUT <= now.since(began);
        let is_allowed = engine.hedge(run, began, now)
            || stalled && !matches!(engine.retry(run, false, now), RetryDecision::Stop(_));
        if is_allowed { engine.place_hedge(run, now) } else { None }
    });
    match place {
        Some(Placement::Backend(choice)) => Some(Attempt::new(entry, run, choice)),
        _ => None,
    }
}

async fn send_attempt(
    entry: &Entry,
    run: &Run,
    incoming: &Incoming,
    mut attempt: Attempt,
) -> Result<String, Outcome> {
    let (to, id) = (host_at(attempt.choice.address), attempt.choice.attempt);
    let time_left = run.call.deadline.since(entry.now()).0;
    let request = ServerRequest {
        request: incoming.request.clone(),
        operation: run.call.operation.to_string(),
        caller_region: incoming.caller_region,
        time_left,
    };
    let sim = Rc::clone(&entry.sim);
    let pool = 1 + attempt.choice.generation.0;
    let serve = move || server::run(sim, to, request);
    let mut exchange = pin!(entry.sim.exchange((entry.host, to), pool, (0, 0), time_left, serve));
    let sent = loop {
        match select(&mut exchange, pin!(entry.sim.sleep(STALL_CHECK_MS))).await {
            Either::Left((sent, _)) => break sent,
            Either::Right(_) => {
                let began = attempt.began;
                entry.with_engine(|engine, now| engine.on_stall(id, began, now));
            }
        }
    };
    let (outcome, answer) = match sent {
        Err(ExchangeError::ConnectFailed) => (Outcome::ConnectFailed, None),
        Err(ExchangeError::Timeout) => (Outcome::Timeout, None),
        Err(ExchangeError::Cut) => (Outcome::Cut, None),
        Ok(ServerAnswer { request, leaving }) => {
            if leaving {
                entry.with_engine(|engine, now| engine.on_leaving(&attempt.choice.backend, now));
            }
            let outcome = if request.is_some() {
                Outcome::Answered
            } else {
                Outcome::Shed(Some(RETRY_AFTER))
            };
            (outcome, request)
        }
    };
    attempt.finish(outcome);
    answer.ok_or(outcome)
}
