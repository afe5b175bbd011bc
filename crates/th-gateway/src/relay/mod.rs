//! Changes of the store's items between entry VMs: the listener that passes them on, and the client that asks for them.

mod client;
mod error;
mod packing;
mod peer_call;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod relay;
mod serve;
mod wire;

pub use client::{Changes, Question, RelayClient};
pub use error::RelayError;
pub(crate) use error::{BoxError, Result};
pub(crate) use peer_call::{AnswerLimits, PeerAnswer, message, post};
pub use relay::Relay;
pub use serve::DRAGGING_PATH;
pub(crate) use serve::serve_peer;
