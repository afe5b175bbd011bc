//! Matching of answers to requests by attempt id.

use std::collections::BTreeMap;

use th_protocol::AttemptId;
use thiserror::Error;

/// The result of matching an answer with its attempt.
pub(crate) type Result<T, E = StrayAnswer> = std::result::Result<T, E>;

/// Why an answer is discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StrayAnswer {
    /// The answer carries no attempt id.
    #[error("the answer on the connection of attempt {sent} carries no attempt id")]
    MissingId {
        /// The attempt that was sent on the connection.
        sent: AttemptId,
    },
    /// The answer carries the id of another attempt.
    #[error("the answer on the connection of attempt {sent} carries the id of attempt {received}")]
    OtherId {
        /// The attempt that was sent on the connection.
        sent: AttemptId,
        /// The attempt id in the answer.
        received: AttemptId,
    },
    /// The request of the attempt has already ended.
    #[error("the request of attempt {sent} has already ended")]
    Late {
        /// The attempt that was sent on the connection.
        sent: AttemptId,
    },
}

/// An answer that matches an attempt in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted<R> {
    /// The request that it answers.
    pub request: R,
    /// The request's other attempts, which are now cancelled.
    pub cancelled: Vec<AttemptId>,
}

/// Attempts in flight at an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempts<R> {
    next: AttemptId,
    in_flight: BTreeMap<AttemptId, R>,
    requests: BTreeMap<R, Vec<AttemptId>>,
}

impl<R: Clone + Ord> Attempts<R> {
    /// Creates an empty table. Attempt ids count up from `first`, which a process draws at random
    /// at its start.
    pub fn new(first: AttemptId) -> Attempts<R> {
        Attempts { next: first, in_flight: BTreeMap::new(), requests: BTreeMap::new() }
    }

    /// Starts an attempt of a request and returns its id.
    pub fn start(&mut self, request: R) -> AttemptId {
        let id = self.next;
        self.next = AttemptId(id.0.wrapping_add(1));
        self.requests.entry(request.clone()).or_default().push(id);
        self.in_flight.insert(id, request);
        id
    }

    /// Matches an answer that carries the id `received` and arrived on the connection of attempt
    /// `sent`.
    ///
    /// The first matching answer ends the request; answers to its other attempts are late from then
    /// on.
    pub fn accept(&mut self, sent: AttemptId, received: Option<AttemptId>) -> Result<Accepted<R>> {
        let received = received.ok_or(StrayAnswer::MissingId { sent })?;
        if received != sent {
            return Err(StrayAnswer::OtherId { sent, received });
        }
        let request = self.in_flight.get(&sent).cloned().ok_or(StrayAnswer::Late { sent })?;
        let mut cancelled = self.end(&request);
        cancelled.retain(|id| *id != sent);
        Ok(Accepted { request, cancelled })
    }

    /// Ends one attempt without an answer. Returns false if it had already ended.
    pub fn fail(&mut self, id: AttemptId) -> bool {
        let Some(request) = self.in_flight.remove(&id) else {
            return false;
        };
        let Some(ids) = self.requests.get_mut(&request) else {
            return true;
        };
        ids.retain(|other| *other != id);
        if ids.is_empty() {
            self.requests.remove(&request);
        }
        true
    }

    /// Ends a request and returns its attempts that were in flight.
    pub fn end(&mut self, request: &R) -> Vec<AttemptId> {
        let ids = self.requests.remove(request).unwrap_or_default();
        for id in &ids {
            self.in_flight.remove(id);
        }
        ids
    }

    /// Returns the number of attempts in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }
}
