//! Look-ups: which entry VMs callers are told of.

mod alternative;

pub(crate) use alternative::{Alternative, add_alternative};
