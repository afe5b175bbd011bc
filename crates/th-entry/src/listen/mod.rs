//! Listeners, the connections that they accept, and how a planned stop ends both.

mod listener;
mod stream;
mod unanswered;

pub(crate) use listener::Listener;
