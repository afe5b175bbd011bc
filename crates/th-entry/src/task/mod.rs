//! Background tasks of an entry process: the tick loop and the actions that it triggers.

mod actions;
mod bundles;
mod grants;
mod sample;
mod ticking;
mod vms;
mod watch;

pub(crate) use actions::perform;
pub(crate) use sample::{meets_latency, sample};
pub(crate) use ticking::run_ticks;
pub(crate) use vms::poll_vms;
pub(crate) use watch::watch_store;
