//! Look-ups: which entry VMs callers are told of.

mod alternative;
mod roll_call;

pub(crate) use alternative::{Alternative, add_alternative};
pub use roll_call::{Sign, unresponsive_vms};
