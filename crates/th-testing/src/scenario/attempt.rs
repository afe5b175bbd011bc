//! Attempts at backend servers.

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
    call::{CALL, Incoming},
    entry::Entry,
    server::{self, Ran, Work},
    world::{Fail, host_at},
};

/// Between two looks at whether an attempt makes progress, in milliseconds.
const LOOK: u64 = 500;
/// An attempt without an answer for this long is taken to be on a silent connection.
const SILENCE: Millis = Millis(1_000);
/// An attempt that holds a slot. Dropped without an end, it counts as cancelled.
pub(crate) struct Attempt {
    entry: Entry,
    service: ServiceId,
    choice: Choice,
    began: Time,
    open: bool,
}

impl Attempt {
    pub(crate) fn new(entry: &Entry, run: &Run, choice: Choice) -> Attempt {
        let (entry, service) = (entry.clone(), run.call.service.clone());
        entry.sim.state.borrow_mut().tally.tries += 1;
        Attempt { began: entry.now(), entry, service, choice, open: true }
    }

    fn end(&mut self, outcome: Outcome) {
        self.open = false;
        let id = self.choice.attempt;
        self.entry.decide(|engine, now| {
            engine.finish(&self.service, id, outcome, now.since(self.began), now);
        });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let process = self.entry.sim.state.try_borrow().map(|it| it.hosts[self.entry.host].process);
        if self.open && process.is_ok_and(|it| it == Some(self.entry.process)) {
            self.end(Outcome::Cancelled);
        }
    }
}

/// Sends a request to a backend server and, where that is slow or silent and it is idempotent, once more beside.
pub(crate) async fn send_here(
    entry: &Entry,
    run: &Run,
    incoming: &Incoming,
    attempt: Attempt,
) -> Result<String, Outcome> {
    let (id, began) = (attempt.choice.attempt, attempt.began);
    let mut open = FuturesUnordered::new();
    open.push(one(entry, run, incoming, attempt));
    let mut worst = None;
    for wait in waits(entry, run) {
        let mut due = pin!(entry.sim.sleep(began.after(wait).since(entry.now()).0 + 1));
        while let Either::Left((Some(ended), _)) = select(open.next(), &mut due).await {
            if ended.is_ok() || open.is_empty() {
                return worse(worst, ended);
            }
            worst = Some(worse(worst, ended));
        }
        if SILENCE <= wait {
            entry.decide(|engine, now| engine.on_stall(id, began, now));
        }
        if let Some(second) = beside(entry, run, began) {
            open.push(one(entry, run, incoming, second));
        }
    }
    while let Some(ended) = open.next().await {
        if ended.is_ok() || open.is_empty() {
            return worse(worst, ended);
        }
        worst = Some(worse(worst, ended));
    }
    unreachable!("the last attempt's end was returned")
}

/// When to send an attempt beside the first.
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

type Ended = Result<String, Outcome>;

fn worse(before: Option<Ended>, ended: Ended) -> Ended {
    match (before, ended) {
        (Some(before), Err(outcome)) if outcome.is_not_executed() => before,
        (_, ended) => ended,
    }
}

fn beside(entry: &Entry, run: &Run, began: Time) -> Option<Attempt> {
    let place = entry.decide(|engine, now| {
        let silent = SILENCE <= now.since(began);
        let may = engine.hedge(run, began, now)
            || silent && !matches!(engine.retry(run, false, now), RetryDecision::Stop(_));
        if may { engine.place_hedge(run, now) } else { None }
    });
    match place {
        Some(Placement::Backend(choice)) => Some(Attempt::new(entry, run, choice)),
        _ => None,
    }
}

async fn one(
    entry: &Entry,
    run: &Run,
    incoming: &Incoming,
    mut attempt: Attempt,
) -> Result<String, Outcome> {
    let (to, id) = (host_at(attempt.choice.address), attempt.choice.attempt);
    let left = run.call.deadline.since(entry.now()).0;
    let work = Work {
        request: incoming.request.clone(),
        operation: run.call.operation.to_string(),
        home: incoming.home,
        left,
    };
    let sim = Rc::clone(&entry.sim);
    let pool = 1 + attempt.choice.generation.0;
    let serve = move || server::run(sim, to, work);
    let mut sending = pin!(entry.sim.exchange((entry.host, to), pool, (0, 0), left, serve));
    let sent = loop {
        match select(&mut sending, pin!(entry.sim.sleep(LOOK))).await {
            Either::Left((sent, _)) => break sent,
            Either::Right(_) => {
                let began = attempt.began;
                entry.decide(|engine, now| engine.on_stall(id, began, now));
            }
        }
    };
    let (outcome, answer) = match sent {
        Err(Fail::Unsent) => (Outcome::ConnectFailed, None),
        Err(Fail::Late) => (Outcome::Timeout, None),
        Err(Fail::Cut) => (Outcome::Cut, None),
        Ok(Ran { request, leaving }) => {
            if leaving {
                entry.decide(|engine, now| engine.on_leaving(&attempt.choice.backend, now));
            }
            let outcome =
                if request.is_some() { Outcome::Answered } else { Outcome::Shed(Some(CALL)) };
            (outcome, request)
        }
    };
    attempt.end(outcome);
    answer.ok_or(outcome)
}
