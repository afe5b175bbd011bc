//! Operations of the operators' tool: rolling a bundle and querying entry VMs.

mod client;
mod outcome;
mod plan;
mod roll;

pub use client::{ClientError, EntryClient, Failure, query_all};
pub use outcome::{HeadInfo, Outcome, Rejection};
pub use plan::{Head, Plan, plan};
pub use roll::{RollError, RollSettings, read_bundle, read_head, roll};
