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
pub use deadline::{next_hop_timeout, remaining};
pub use decision::{FailedAttempt, RetryDecision, RetryStop, SlowAttempt};
pub use latency::LatencyWindow;
pub use policy::RetryPolicy;
pub use settings::RetrySettings;
