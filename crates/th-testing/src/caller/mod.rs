//! Callers that keep the answers to look-ups, and what they were told.

#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod caller;
mod record;

pub use caller::{Caller, CallerSettings};
pub use record::{Audit, CallOutcome, Record, Records};
