//! Tickets, which ensure that a non-idempotent operation runs at most once.

mod begin;
mod fingerprint;
mod idempotency;
mod key;
mod name;
mod operation;
mod settings;
mod table;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod ticket;

pub use begin::{BeginOutcome, Checkpoint};
pub use fingerprint::Fingerprint;
pub use idempotency::{IdempotencyKey, KeyError, MAX_KEY_BYTES};
pub use key::{KEY_BYTES, TicketKey, TicketKeys};
pub use name::OperationName;
pub use operation::{Admitted, Dispatched, Operation, Received, Undispatched};
pub use settings::TicketSettings;
pub use table::{OPERATION_BYTES, TicketTable};
pub use ticket::{MAX_TICKET_BYTES, Nonce, Ticket, TicketError};
