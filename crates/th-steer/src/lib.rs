//! Decision logic of the entry VM and the gateway: routing, capacity limits, membership, queues, retries and
//! tickets. State is held in tables, which are updated on each tick.
//!
//! This crate does no I/O and reads no clock. Time, random numbers and observations are arguments.

pub mod backend;
pub mod dispatch;
pub mod engine;
pub mod explain;
pub mod held;
pub mod limit;
pub mod member;
pub mod organisation;
pub mod queue;
pub mod quota;
pub mod relay;
pub mod retry;
pub mod route;
pub mod ticket;
