//! Retries, hedges and deadlines.

mod attempt;
mod backoff;
mod budget;
mod deadline;
mod decision;
mod latency;
mod policy;
mod settings;

pub use attempt::{Accepted, Attempts, StrayAnswer};
pub use backoff::backoff;
pub use budget::RetryBudget;
pub use deadline::{next_hop, remaining};
pub use decision::{Failure, RetryDecision, RetryStop, Slow};
pub use latency::LatencyWindow;
pub use policy::RetryPolicy;
pub use settings::RetrySettings;
