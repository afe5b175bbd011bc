//! Records of the reasons for decisions, in bounded ring buffers.

mod journal;
mod record;
mod ring;

pub use journal::{Journal, Settings};
pub use record::{Input, Inputs, Limit, MAX_INPUTS, Outcome, Quantity, Record, Rule};
