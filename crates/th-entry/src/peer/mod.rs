//! Messages between entry VMs: heartbeats, records, bundles, parts of grants, and requests.

pub(crate) mod client;
mod codec;
mod control;
mod requests;
mod router;

pub(crate) use client::Route;
pub(crate) use router::{entry, router};
