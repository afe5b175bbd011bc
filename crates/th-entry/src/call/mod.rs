//! Handles callers' requests, from arrival to answer.

mod answer;
mod attempt;
mod carry_out;
mod incoming;
mod local;
mod owner;
mod remote;
mod stream;

pub(crate) use answer::{Origin, answer};
pub(crate) use incoming::{ForwardedRequest, Incoming, fingerprint};
