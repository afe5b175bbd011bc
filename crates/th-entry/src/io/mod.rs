//! HTTP exchanges: clients, attempts at backend servers, and answers.

mod clients;
mod reply;
mod send;

pub(crate) use clients::{ClientSettings, Clients, client};
pub(crate) use reply::{Body, Reply, RetainedAnswer};
pub(crate) use send::{
    Outgoing, SendOutcome, SendSettings, ServerReport, is_error_status, receive_reply, send,
};
