//! Which answer belongs to which request.

use std::collections::BTreeMap;

use th_protocol::AttemptId;
use thiserror::Error;

/// The result of matching an answer with its attempt.
pub(crate) type Result<T, E = StrayAnswer> = std::result::Result<T, E>;

/// Why an answer is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StrayAnswer {
    /// It carries no attempt id.
    #[error("the answer to attempt {sent} names no attempt")]
    MissingId {
        /// The attempt that the connection was used for.
        sent: AttemptId,
    },
    /// It answers another attempt than the one sent.
    #[error("the answer to attempt {sent} names attempt {received}")]
    OtherId {
        /// The attempt that the connection was used for.
        sent: AttemptId,
        /// The attempt that the answer names.
        received: AttemptId,
    },
    /// Its request has ended.
    #[error("the request of attempt {sent} has ended")]
    Late {
        /// The attempt that the connection was used for.
        sent: AttemptId,
    },
}

/// An answer that belongs to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted<R> {
    /// The request.
    pub request: R,
    /// Its other attempts, now cancelled.
    pub cancelled: Vec<AttemptId>,
}

/// The attempts that are under way at an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempts<R> {
    next: AttemptId,
    in_flight: BTreeMap<AttemptId, R>,
    requests: BTreeMap<R, Vec<AttemptId>>,
}

impl<R: Clone + Ord> Attempts<R> {
    /// Ids count up from `first`, which a process draws at random at its start.
    pub fn new(first: AttemptId) -> Attempts<R> {
        Attempts { next: first, in_flight: BTreeMap::new(), requests: BTreeMap::new() }
    }

    /// Begins an attempt of a request.
    pub fn start(&mut self, request: R) -> AttemptId {
        let id = self.next;
        self.next = AttemptId(id.0.wrapping_add(1));
        self.requests.entry(request.clone()).or_default().push(id);
        self.in_flight.insert(id, request);
        id
    }

    /// Matches an answer that names `received` and came on the connection that `sent` used.
    ///
    /// The first answer that fits ends the request; those of its other attempts are late from then on.
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

    /// Ends one attempt without an answer. `false` where it had ended.
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

    /// Ends a request, and returns the attempts that were under way.
    pub fn end(&mut self, request: &R) -> Vec<AttemptId> {
        let ids = self.requests.remove(request).unwrap_or_default();
        for id in &ids {
            self.in_flight.remove(id);
        }
        ids
    }

    /// Attempts under way.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether no attempt is under way.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }
}
