//! The path of a request through a simulated entry VM, with the same phases as in the entry process.

use std::{pin::pin, rc::Rc};

use futures_util::future::{Either, LocalBoxFuture, select};
use th_protocol::{Bytes, Millis, Notice, Reason, Verdict};
use th_steer::{
    backend::Outcome,
    engine::{Call, Peer, Placement, ReceiveOutcome, Run, notices},
    retry::{RetryDecision, next_hop_timeout},
    ticket::{Admitted, Dispatched, Operation, Received},
};
use tokio::sync::oneshot;

use super::{
    attempt::{Attempt, send_to_backend},
    entry::Entry,
    simulation::{ExchangeError, host_at},
};

/// Time that a request and its answer are assumed to spend between two entry VMs.
const PEER_ROUND_TRIP: Millis = Millis(50);
/// The `retry_after` of a rejected request.
pub(crate) const RETRY_AFTER: Millis = Millis(1_000);

/// A request, with the details that the simulated servers need.
#[derive(Clone)]
pub(crate) struct Incoming {
    pub(crate) call: Call,
    pub(crate) request: String,
    /// The region of the caller.
    pub(crate) caller_region: usize,
}

/// The name of the request that the answer belongs to, or a notice.
pub(crate) type Reply = Result<String, Notice>;

/// Who sent a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    Caller,
    /// An entry VM that sent it to the owner of its ticket.
    Forwarder,
    /// An entry VM that placed it in another data centre.
    Placer,
}

/// The permit to run a request: the state of its ticket, which an idempotent request does not need.
enum RunPermit {
    Idempotent,
    Received(Operation<Received>),
    Admitted(Operation<Admitted>),
}

/// The permit to send one attempt.
enum DispatchPermit {
    Idempotent,
    Once(Operation<Dispatched>),
}

/// The outcome of an attempt.
enum AttemptResult {
    /// The request ended.
    Done(Reply),
    /// No server executed it, so it may be sent again.
    NotExecuted(RunPermit, Reason),
    /// A server may have executed it. It is idempotent, so it may be sent again.
    MayHaveRun(Reason),
}

/// While held, counts a request as in flight. A planned stop waits until none is.
struct InFlightGuard(Entry);

impl InFlightGuard {
    fn new(entry: &Entry) -> InFlightGuard {
        entry.with_state(|it| it.in_flight += 1);
        InFlightGuard(entry.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let Ok(mut state) = self.0.sim.state.try_borrow_mut() else {
            return;
        };
        if state.hosts[self.0.host].process == Some(self.0.process)
            && let Some(entry) = state.entries.get_mut(&self.0.host)
        {
            entry.in_flight -= 1;
        }
    }
}

/// Serves a request to its end. A non-idempotent one continues after its caller has abandoned it.
pub(crate) fn serve_call(
    entry: Entry,
    incoming: Incoming,
    origin: Origin,
) -> LocalBoxFuture<'static, Reply> {
    Box::pin(async move {
        let guard = InFlightGuard::new(&entry);
        loop {
            let ended = entry.finished();
            let mut ended = pin!(ended.notified());
            ended.as_mut().enable();
            let call = incoming.call.clone();
            match entry.with_engine(|engine, now| engine.receive(call, now)) {
                ReceiveOutcome::Run(run) if run.token.is_none() => {
                    return run_attempts(&entry, run, &incoming).await;
                }
                ReceiveOutcome::Run(run) => {
                    let (sender, receiver) = oneshot::channel();
                    let it = entry.clone();
                    entry.spawn(async move {
                        let _ = sender.send(run_attempts(&it, run, &incoming).await);
                        drop(guard);
                    });
                    let reply = receiver.await;
                    return reply.unwrap_or_else(|_| Err(notices::unknown(Reason::Cancelled)));
                }
                ReceiveOutcome::Answered(request) => return Ok(request),
                ReceiveOutcome::Notice(notice) => return Err(notice),
                ReceiveOutcome::Forward { .. } if origin != Origin::Caller => {
                    return Err(notices::unknown(Reason::OwnerGone));
                }
                ReceiveOutcome::Forward { vm, address } => {
                    let time_left = incoming.call.deadline.since(entry.now());
                    let size = incoming.call.size;
                    entry.with_engine(|engine, _| engine.charge_forward(&vm, size));
                    let sent =
                        forward(&entry, host_at(address), &incoming, time_left, Origin::Forwarder);
                    return sent.await.unwrap_or_else(|_| Err(notices::unknown(Reason::OwnerGone)));
                }
                ReceiveOutcome::Wait => {}
            }
            let time_left = incoming.call.deadline.since(entry.now());
            if let Either::Right(_) = select(ended, pin!(entry.sim.sleep(time_left.0))).await {
                return Err(notices::unknown(Reason::Timeout));
            }
        }
    })
}

/// Sends a request to another entry VM, which charges the bytes of the answer to the link.
async fn forward(
    entry: &Entry,
    to: usize,
    incoming: &Incoming,
    time_left: Millis,
    origin: Origin,
) -> Result<Reply, ExchangeError> {
    let region = entry.with_engine(|engine, _| engine.region().cloned());
    let (sim, mut incoming) = (Rc::clone(&entry.sim), incoming.clone());
    let size = incoming.call.size.0;
    let serve = move || async move {
        let process = sim.state.borrow().hosts[to].process.expect("the host runs a process");
        let peer = Entry { sim, host: to, process };
        incoming.call.deadline = peer.now().after(time_left);
        incoming.call.forwarded = origin == Origin::Placer;
        let (service, operation) = (incoming.call.service.clone(), incoming.call.operation.clone());
        let charge = region.map_or(Ok(None), |region| {
            peer.with_engine(|engine, now| {
                let size = engine.expected_size(&service, &operation);
                match engine.charge(&region, size, now) {
                    Ok(charge) => Ok(charge),
                    Err(it) if origin == Origin::Placer => {
                        Err(notices::refused(it.reason, it.retry_after))
                    }
                    Err(_) => {
                        engine.add_debt(&region, size);
                        Ok(None)
                    }
                }
            })
        })?;
        let reply = serve_call(peer.clone(), incoming, origin).await;
        if let Some(charge) = charge {
            let actual = if reply.is_ok() { size } else { 0 };
            peer.with_engine(|engine, _| engine.settle(charge, Bytes(actual)));
        }
        reply
    };
    entry.sim.exchange((entry.host, to), 0, (size, size), time_left.0, serve).await
}

async fn run_attempts(entry: &Entry, mut run: Run, incoming: &Incoming) -> Reply {
    let mut permit = match run.token.take() {
        None => RunPermit::Idempotent,
        Some(token) => RunPermit::Received(token),
    };
    let mut uncertainty = None;
    loop {
        let place = match place_or_wait(entry, &mut run).await {
            Some(Placement::Reject(notice)) => {
                return match uncertainty {
                    Some(reason) => Err(notices::unknown(reason)),
                    None => end_not_executed(entry, permit, notice),
                };
            }
            Some(place) => place,
            None => {
                let notice = entry.with_engine(|engine, now| engine.reject_waiter(&run.call, now));
                return end_not_executed(entry, permit, notice);
            }
        };
        run.attempts += 1;
        let result = run_attempt(entry, &mut run, incoming, place, permit).await;
        let (not_executed, reason) = match result {
            AttemptResult::Done(reply) => return reply,
            AttemptResult::NotExecuted(returned, reason) => {
                permit = returned;
                (true, reason)
            }
            AttemptResult::MayHaveRun(reason) => {
                permit = RunPermit::Idempotent;
                uncertainty = Some(reason);
                (false, reason)
            }
        };
        if not_executed && reason == Reason::NoSlot {
            run.attempts -= 1;
            continue;
        }
        let wait = match entry.with_engine(|engine, now| engine.retry(&run, not_executed, now)) {
            RetryDecision::After(wait) => wait,
            RetryDecision::Stop(_) if not_executed && uncertainty.is_none() => {
                return end_not_executed(entry, permit, notices::refused(reason, RETRY_AFTER));
            }
            RetryDecision::Stop(_) => return Err(notices::unknown(uncertainty.unwrap_or(reason))),
        };
        entry.sim.sleep(wait.0).await;
    }
}

async fn place_or_wait(entry: &Entry, run: &mut Run) -> Option<Placement> {
    let place = entry.with_engine(|engine, now| engine.place(run, now));
    let Placement::Queued(waiter) = place else {
        return Some(place);
    };
    let (sender, receiver) = oneshot::channel();
    let waiting = (run.call.service.clone(), sender);
    entry.with_state(|it| it.waiters.insert(waiter, waiting));
    receiver.await.ok()
}

fn end_not_executed(entry: &Entry, permit: RunPermit, notice: Notice) -> Reply {
    match permit {
        RunPermit::Idempotent => {}
        RunPermit::Received(token) => entry.with_engine(|engine, _| engine.abandon(token)),
        RunPermit::Admitted(token) => entry.with_engine(|engine, _| engine.abandon(token)),
    }
    entry.finished().notify_waiters();
    Err(notice)
}

async fn run_attempt(
    entry: &Entry,
    run: &mut Run,
    incoming: &Incoming,
    place: Placement,
    permit: RunPermit,
) -> AttemptResult {
    let (guard, peer) = match place {
        Placement::Backend(choice) => (Some(Attempt::new(entry, run, choice)), None),
        Placement::Peer(peer) => (None, Some(peer)),
        Placement::Queued(_) | Placement::Reject(_) => unreachable!("handled by the caller"),
    };
    let token = match permit {
        RunPermit::Idempotent => None,
        RunPermit::Received(token) => Some(token.admit()),
        RunPermit::Admitted(token) => Some(token),
    };
    let deadline = run.call.deadline;
    let token = token.map(|it| entry.with_engine(|engine, now| engine.dispatch(it, deadline, now)));
    let sent = match token.transpose() {
        Ok(token) => token.map_or(DispatchPermit::Idempotent, DispatchPermit::Once),
        Err(reason) => {
            drop(guard);
            entry.finished().notify_waiters();
            return AttemptResult::Done(Err(notices::not_run(reason)));
        }
    };
    let ended = match (guard, peer) {
        (Some(guard), _) => send_to_backend(entry, run, incoming, guard).await,
        (None, Some(peer)) => {
            let zone = peer.zone.clone();
            match send_to_peer(entry, run, incoming, peer).await {
                Some(Ok(reply)) => Ok(reply),
                Some(Err(outcome)) => Err(outcome),
                None => {
                    run.rejected_by.insert(zone);
                    return AttemptResult::NotExecuted(
                        revert_dispatch(entry, sent),
                        Reason::NoSlot,
                    );
                }
            }
        }
        (None, None) => unreachable!("there is either a backend server or a peer"),
    };
    match ended {
        Ok(request) => {
            if let DispatchPermit::Once(token) = sent {
                let (retained, size) = (request.clone(), Bytes(request.len() as u64));
                entry.with_engine(|engine, _| engine.answered(token, retained, size));
                entry.finished().notify_waiters();
            }
            AttemptResult::Done(Ok(request))
        }
        Err(outcome) => on_failed_attempt(entry, sent, outcome),
    }
}

fn revert_dispatch(entry: &Entry, sent: DispatchPermit) -> RunPermit {
    match sent {
        DispatchPermit::Idempotent => RunPermit::Idempotent,
        DispatchPermit::Once(token) => {
            RunPermit::Admitted(entry.with_engine(|engine, _| engine.revert_dispatch(token)))
        }
    }
}

fn on_failed_attempt(entry: &Entry, sent: DispatchPermit, outcome: Outcome) -> AttemptResult {
    let reason = match outcome {
        Outcome::Shed(_) => Reason::Shed,
        Outcome::ConnectFailed => Reason::Unreachable,
        Outcome::Timeout => Reason::Timeout,
        Outcome::Cancelled => Reason::Cancelled,
        Outcome::Cut | Outcome::Answered | Outcome::ErrorStatus => Reason::Cut,
    };
    if outcome.is_not_executed() {
        return AttemptResult::NotExecuted(revert_dispatch(entry, sent), reason);
    }
    match sent {
        DispatchPermit::Idempotent => AttemptResult::MayHaveRun(reason),
        // The unsafe variant sends a request again that may have been executed.
        DispatchPermit::Once(token) if entry.sim.unsafe_retries => {
            AttemptResult::NotExecuted(revert_dispatch(entry, DispatchPermit::Once(token)), reason)
        }
        DispatchPermit::Once(token) => {
            entry.with_engine(|engine, _| engine.unknown(token, reason));
            entry.finished().notify_waiters();
            AttemptResult::Done(Err(notices::unknown(reason)))
        }
    }
}

async fn send_to_peer(
    entry: &Entry,
    run: &Run,
    incoming: &Incoming,
    peer: Peer,
) -> Option<Result<String, Outcome>> {
    let Some(time_left) = next_hop_timeout(run.call.deadline, entry.now(), PEER_ROUND_TRIP) else {
        if let Some(charge) = peer.charge {
            entry.with_engine(|engine, _| engine.settle(charge, Bytes(0)));
        }
        return None;
    };
    let sent = forward(entry, host_at(peer.address), incoming, time_left, Origin::Placer).await;
    if let Some(charge) = peer.charge {
        entry.with_engine(|engine, _| engine.settle(charge, incoming.call.size));
    }
    match sent {
        Ok(Ok(request)) => Some(Ok(request)),
        Ok(Err(notice)) if notice.verdict == Verdict::Unknown => Some(Err(Outcome::Cut)),
        Ok(Err(_)) | Err(ExchangeError::ConnectFailed) => None,
        Err(ExchangeError::Timeout) => Some(Err(Outcome::Timeout)),
        Err(ExchangeError::Cut) => Some(Err(Outcome::Cut)),
    }
}
