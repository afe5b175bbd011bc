//! The data path of requests that carry no ticket.
//!
//! One thread runs everything: listeners for callers and look-ups, connections to backend servers, and the decisions
//! of [`th_steer::dispatch`]. What the messages look like is left to a [`Dialect`].

mod body_memory;
mod call;
mod connection;
mod core;
mod dialect;
mod gateway;
mod listen;
mod logging;
mod lookup;
mod metrics;
mod outgoing;
mod settings;
mod stop;

pub use crate::core::Core;
pub use dialect::{AnswerInfo, Dialect, LookupQuery, RequestInfo};
pub use gateway::{Gateway, Result};
pub use logging::{LineCounts, start_logging};
pub use settings::{GatewaySettings, Listeners};
