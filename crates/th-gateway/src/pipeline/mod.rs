//! Pipelined requests: a caller sends further requests on a connection before the first one is answered.
//!
//! The HTTP library serves the requests of a connection one after the other. The stream between it and the socket hands
//! over one request at a time, reads on while that request runs, and starts the idempotent requests behind it at once.
//! Their answers wait for their turn, so that all answers leave in the order of the requests.

mod connection;
mod framing;
mod stream;

pub(crate) use connection::{Pipeline, StartAhead};
pub use framing::{Framing, HeadStatus, RequestHead, parse_head};
pub(crate) use stream::PipelinedStream;
