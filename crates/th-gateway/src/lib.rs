//! Data path of requests without a ticket.
//!
//! A single thread runs everything: the listeners for callers and look-ups, the connections to backend servers, and the
//! decisions of [`th_steer::dispatch`]. A [`Dialect`] defines the headers and paths of the messages.

mod answer;
mod answer_head;
mod answer_room;
mod authorise;
mod body;
mod call;
mod charge;
mod connection;
mod core;
mod crash;
mod dialect;
mod forward;
mod gateway;
mod hedge;
mod listen;
mod logging;
mod lookup;
mod memory;
mod metrics;
mod open_request;
mod outgoing;
mod pipeline;
mod relay;
mod request_body;
mod request_log;
mod settings;
mod slot_wait;
mod stop;
mod usage;

pub use crate::core::Core;
pub use connection::ConnectError;
pub use dialect::{AnswerInfo, Dialect, LookupQuery, RequestInfo};
pub use gateway::{Gateway, Result};
pub use logging::{LineCounts, start_logging};
pub use pipeline::{Framing, HeadStatus, RequestHead, parse_head};
pub use relay::{Changes, DRAGGING_PATH, Question, Relay, RelayClient, RelayError};
pub use settings::{GatewaySettings, Listeners};
pub use usage::{QUOTAS_PATH, admit, set_quotas};
