//! Reasons of decisions, kept in a bounded ring.

mod journal;
mod record;
mod ring;

pub use journal::{Journal, Settings};
pub use record::{Input, Inputs, Limit, MAX_INPUTS, Outcome, Quantity, Record, Rule};
