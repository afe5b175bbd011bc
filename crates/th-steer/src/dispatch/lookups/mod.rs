//! Look-ups: which entry VMs callers are told of.

mod alternative;
mod liveness;

pub(crate) use alternative::{Alternative, add_alternative};
pub use liveness::{Sign, unresponsive_vms};
