//! The listener for callers and operators.

mod burn;
mod call;
mod explain;
mod health;
mod lookup;
mod metrics;
mod router;
mod status;

pub(crate) use router::router;
pub(crate) use status::of as status_of;
