//! What goes over connections: answers, attempts and clients.

mod clients;
mod reply;
mod send;

pub(crate) use clients::{ClientSettings, Clients, client};
pub(crate) use reply::{Body, Kept, Reply};
pub(crate) use send::{Outgoing, SendSettings, Sent, Signs, is_fault, receive_reply, send};
