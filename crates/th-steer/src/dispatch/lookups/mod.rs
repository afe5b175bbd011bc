//! Look-ups: which entry VMs callers are told of.

mod alternative;
mod home_use;
mod liveness;

pub(crate) use alternative::{Alternative, add_alternative};
pub(crate) use home_use::HomeUse;
pub use liveness::{Sign, unresponsive_vms};
