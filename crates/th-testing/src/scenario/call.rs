//! The way of a request through an entry VM, in the same steps as the entry process takes.

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
    attempt::{Attempt, send_here},
    entry::Entry,
    world::{Fail, host_at},
};

/// Time that a request and its answer are taken to spend between two entry VMs.
const ROUND_TRIP: Millis = Millis(50);
/// When a request that was refused may come back.
pub(crate) const CALL: Millis = Millis(1_000);

/// A request with what the fakes need of it.
#[derive(Clone)]
pub(crate) struct Incoming {
    pub(crate) call: Call,
    pub(crate) request: String,
    /// The region of its caller.
    pub(crate) home: usize,
}

/// The whole answer to the request that it names, or a notice.
pub(crate) type Reply = Result<String, Notice>;

/// Who sent a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    Caller,
    Forwarder,
    Placer,
}

enum Right {
    Free,
    Received(Operation<Received>),
    Admitted(Operation<Admitted>),
}

enum Sent {
    Free,
    Once(Operation<Dispatched>),
}

enum Tried {
    Done(Reply),
    Again(Right, Reason),
    Repeat(Reason),
}

/// A request in flight, for planned stops.
struct Passage(Entry);

impl Passage {
    fn enter(entry: &Entry) -> Passage {
        entry.node(|it| it.flight += 1);
        Passage(entry.clone())
    }
}

impl Drop for Passage {
    fn drop(&mut self) {
        let Ok(mut state) = self.0.sim.state.try_borrow_mut() else {
            return;
        };
        if state.hosts[self.0.host].process == Some(self.0.process)
            && let Some(node) = state.entries.get_mut(&self.0.host)
        {
            node.flight -= 1;
        }
    }
}

/// What a request comes to. A non-idempotent one goes on when its caller goes away.
pub(crate) fn answer(
    entry: Entry,
    incoming: Incoming,
    origin: Origin,
) -> LocalBoxFuture<'static, Reply> {
    Box::pin(async move {
        let passage = Passage::enter(&entry);
        loop {
            let ended = entry.ended();
            let mut ended = pin!(ended.notified());
            ended.as_mut().enable();
            let call = incoming.call.clone();
            match entry.decide(|engine, now| engine.receive(call, now)) {
                ReceiveOutcome::Run(run) if run.token.is_none() => {
                    return carry_out(&entry, run, &incoming).await;
                }
                ReceiveOutcome::Run(run) => {
                    let (sender, receiver) = oneshot::channel();
                    let it = entry.clone();
                    entry.spawn(async move {
                        let _ = sender.send(carry_out(&it, run, &incoming).await);
                        drop(passage);
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
                    let left = incoming.call.deadline.since(entry.now());
                    let size = incoming.call.size;
                    entry.decide(|engine, _| engine.charge_forward(&vm, size));
                    let sent =
                        forward(&entry, host_at(address), &incoming, left, Origin::Forwarder);
                    return sent.await.unwrap_or_else(|_| Err(notices::unknown(Reason::OwnerGone)));
                }
                ReceiveOutcome::Wait => {}
            }
            let left = incoming.call.deadline.since(entry.now());
            if let Either::Right(_) = select(ended, pin!(entry.sim.sleep(left.0))).await {
                return Err(notices::unknown(Reason::Timeout));
            }
        }
    })
}

/// Sends a request to another entry VM; its answer is charged to the link there.
async fn forward(
    entry: &Entry,
    to: usize,
    incoming: &Incoming,
    left: Millis,
    origin: Origin,
) -> Result<Reply, Fail> {
    let region = entry.decide(|engine, _| engine.region().cloned());
    let (sim, mut incoming) = (Rc::clone(&entry.sim), incoming.clone());
    let size = incoming.call.size.0;
    let serve = move || async move {
        let process = sim.state.borrow().hosts[to].process.expect("its process runs");
        let peer = Entry { sim, host: to, process };
        incoming.call.deadline = peer.now().after(left);
        incoming.call.forwarded = origin == Origin::Placer;
        let (service, operation) = (incoming.call.service.clone(), incoming.call.operation.clone());
        let charge = region.map_or(Ok(None), |region| {
            peer.decide(|engine, now| {
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
        let reply = answer(peer.clone(), incoming, origin).await;
        if let Some(charge) = charge {
            let actual = if reply.is_ok() { size } else { 0 };
            peer.decide(|engine, _| engine.settle(charge, Bytes(actual)));
        }
        reply
    };
    entry.sim.exchange((entry.host, to), 0, (size, size), left.0, serve).await
}

async fn carry_out(entry: &Entry, mut run: Run, incoming: &Incoming) -> Reply {
    let mut right = match run.token.take() {
        None => Right::Free,
        Some(token) => Right::Received(token),
    };
    let mut unsure = None;
    loop {
        let place = match find_place(entry, &mut run).await {
            Some(Placement::Reject(notice)) => {
                return match unsure {
                    Some(reason) => Err(notices::unknown(reason)),
                    None => end_unrun(entry, right, notice),
                };
            }
            Some(place) => place,
            None => {
                let notice = entry.decide(|engine, now| engine.reject_waiter(&run.call, now));
                return end_unrun(entry, right, notice);
            }
        };
        run.attempts += 1;
        let tried = attempt(entry, &mut run, incoming, place, right).await;
        let (sure, reason) = match tried {
            Tried::Done(reply) => return reply,
            Tried::Again(left, reason) => {
                right = left;
                (true, reason)
            }
            Tried::Repeat(reason) => {
                right = Right::Free;
                unsure = Some(reason);
                (false, reason)
            }
        };
        if sure && reason == Reason::NoSlot {
            run.attempts -= 1;
            continue;
        }
        let wait = match entry.decide(|engine, now| engine.retry(&run, sure, now)) {
            RetryDecision::After(wait) => wait,
            RetryDecision::Stop(_) if sure && unsure.is_none() => {
                return end_unrun(entry, right, notices::refused(reason, CALL));
            }
            RetryDecision::Stop(_) => return Err(notices::unknown(unsure.unwrap_or(reason))),
        };
        entry.sim.sleep(wait.0).await;
    }
}

async fn find_place(entry: &Entry, run: &mut Run) -> Option<Placement> {
    let place = entry.decide(|engine, now| engine.place(run, now));
    let Placement::Queued(waiter) = place else {
        return Some(place);
    };
    let (sender, receiver) = oneshot::channel();
    let waiting = (run.call.service.clone(), sender);
    entry.node(|it| it.waiters.insert(waiter, waiting));
    receiver.await.ok()
}

fn end_unrun(entry: &Entry, right: Right, notice: Notice) -> Reply {
    match right {
        Right::Free => {}
        Right::Received(token) => entry.decide(|engine, _| engine.abandon(token)),
        Right::Admitted(token) => entry.decide(|engine, _| engine.abandon(token)),
    }
    entry.ended().notify_waiters();
    Err(notice)
}

async fn attempt(
    entry: &Entry,
    run: &mut Run,
    incoming: &Incoming,
    place: Placement,
    right: Right,
) -> Tried {
    let (guard, peer) = match place {
        Placement::Backend(choice) => (Some(Attempt::new(entry, run, choice)), None),
        Placement::Peer(peer) => (None, Some(peer)),
        Placement::Queued(_) | Placement::Reject(_) => unreachable!("handled by the caller"),
    };
    let token = match right {
        Right::Free => None,
        Right::Received(token) => Some(token.admit()),
        Right::Admitted(token) => Some(token),
    };
    let deadline = run.call.deadline;
    let token = token.map(|it| entry.decide(|engine, now| engine.dispatch(it, deadline, now)));
    let sent = match token.transpose() {
        Ok(token) => token.map_or(Sent::Free, Sent::Once),
        Err(reason) => {
            drop(guard);
            entry.ended().notify_waiters();
            return Tried::Done(Err(notices::not_run(reason)));
        }
    };
    let ended = match (guard, peer) {
        (Some(guard), _) => send_here(entry, run, incoming, guard).await,
        (None, Some(peer)) => {
            let zone = peer.zone.clone();
            match send_elsewhere(entry, run, incoming, peer).await {
                Some(Ok(reply)) => Ok(reply),
                Some(Err(outcome)) => Err(outcome),
                None => {
                    run.rejected_by.insert(zone);
                    return Tried::Again(take_back(entry, sent), Reason::NoSlot);
                }
            }
        }
        (None, None) => unreachable!("there is one of both"),
    };
    match ended {
        Ok(request) => {
            if let Sent::Once(token) = sent {
                let (kept, size) = (request.clone(), Bytes(request.len() as u64));
                entry.decide(|engine, _| engine.answered(token, kept, size));
                entry.ended().notify_waiters();
            }
            Tried::Done(Ok(request))
        }
        Err(outcome) => end_failed(entry, sent, outcome),
    }
}

fn take_back(entry: &Entry, sent: Sent) -> Right {
    match sent {
        Sent::Free => Right::Free,
        Sent::Once(token) => {
            Right::Admitted(entry.decide(|engine, _| engine.revert_dispatch(token)))
        }
    }
}

fn end_failed(entry: &Entry, sent: Sent, outcome: Outcome) -> Tried {
    let reason = match outcome {
        Outcome::Shed(_) => Reason::Shed,
        Outcome::ConnectFailed => Reason::Unreachable,
        Outcome::Timeout => Reason::Timeout,
        Outcome::Cancelled => Reason::Cancelled,
        Outcome::Cut | Outcome::Answered | Outcome::ErrorStatus => Reason::Cut,
    };
    if outcome.is_not_executed() {
        return Tried::Again(take_back(entry, sent), reason);
    }
    match sent {
        Sent::Free => Tried::Repeat(reason),
        // The broken variant: what may have run is sent again.
        Sent::Once(token) if entry.sim.careless => {
            Tried::Again(take_back(entry, Sent::Once(token)), reason)
        }
        Sent::Once(token) => {
            entry.decide(|engine, _| engine.unknown(token, reason));
            entry.ended().notify_waiters();
            Tried::Done(Err(notices::unknown(reason)))
        }
    }
}

async fn send_elsewhere(
    entry: &Entry,
    run: &Run,
    incoming: &Incoming,
    peer: Peer,
) -> Option<Result<String, Outcome>> {
    let Some(left) = next_hop_timeout(run.call.deadline, entry.now(), ROUND_TRIP) else {
        if let Some(charge) = peer.charge {
            entry.decide(|engine, _| engine.settle(charge, Bytes(0)));
        }
        return None;
    };
    let sent = forward(entry, host_at(peer.address), incoming, left, Origin::Placer).await;
    if let Some(charge) = peer.charge {
        entry.decide(|engine, _| engine.settle(charge, incoming.call.size));
    }
    match sent {
        Ok(Ok(request)) => Some(Ok(request)),
        Ok(Err(notice)) if notice.verdict == Verdict::Unknown => Some(Err(Outcome::Cut)),
        Ok(Err(_)) | Err(Fail::Unsent) => None,
        Err(Fail::Late) => Some(Err(Outcome::Timeout)),
        Err(Fail::Cut) => Some(Err(Outcome::Cut)),
    }
}
