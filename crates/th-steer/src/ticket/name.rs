//! What identifies an operation: its ticket and the caller's key.

use th_protocol::Time;

use super::{fingerprint::Fingerprint, idempotency::IdempotencyKey, ticket::Ticket};

/// Identity of an operation at its owner; ordered by the ticket's expiry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationName {
    expiry: Time,
    ticket: Fingerprint,
    key: IdempotencyKey,
}

impl OperationName {
    /// The operation that `key` names under `ticket`.
    pub fn new(ticket: &Ticket, key: IdempotencyKey) -> OperationName {
        let digest = Fingerprint::of(&[ticket.payload().as_bytes()]);
        OperationName { expiry: ticket.expiry, ticket: digest, key }
    }

    /// First moment at which the operation may no longer be dispatched.
    pub fn expiry(&self) -> Time {
        self.expiry
    }

    /// The caller's key.
    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }
}
