//! Identity of an operation: its ticket and the caller's idempotency key.

use th_protocol::Time;

use super::{fingerprint::Fingerprint, idempotency::IdempotencyKey, ticket::Ticket};

/// Identity of an operation at its owner, ordered by the ticket's expiry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationName {
    expiry: Time,
    ticket: Fingerprint,
    key: IdempotencyKey,
}

impl OperationName {
    /// Creates the identity of the operation with `key` under `ticket`.
    pub fn new(ticket: &Ticket, key: IdempotencyKey) -> OperationName {
        let digest = Fingerprint::of(&[ticket.payload().as_bytes()]);
        OperationName { expiry: ticket.expiry, ticket: digest, key }
    }

    /// Returns the first time at which the operation may no longer be dispatched.
    pub fn expiry(&self) -> Time {
        self.expiry
    }

    /// Returns the caller's idempotency key.
    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }
}
