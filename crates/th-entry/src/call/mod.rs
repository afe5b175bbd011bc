//! Requests of callers, from their arrival to their answer.

mod attempt;
mod elsewhere;
mod flow;
mod here;
mod incoming;
mod owner;
mod run;
mod stream;

pub(crate) use flow::{Origin, answer};
pub(crate) use incoming::{Incoming, Wire, fingerprint};
