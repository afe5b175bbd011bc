//! Callers that cache look-up answers, and records of their requests' outcomes.

#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod caller;
mod record;

pub use caller::{Caller, CallerSettings};
pub use record::{Audit, CallOutcome, Record, Records};
