//! The data path of requests that carry no ticket.
//!
//! One thread runs everything: listeners for callers and look-ups, connections to backend servers, and the decisions
//! of [`th_steer::dispatch`]. What the messages look like is left to a [`Dialect`].

mod call;
mod core;
mod dialect;
mod gateway;
mod held;
mod lines;
mod link;
mod listen;
mod lookup;
mod metrics;
mod outgoing;
mod settings;
mod stop;

pub use crate::core::Core;
pub use dialect::{Dialect, Facts, LookupQuery, Report};
pub use gateway::{Gateway, Result};
pub use lines::{LineCounts, start_lines};
pub use settings::{GatewaySettings, Listeners};
