//! The decisions: tables of entities and the systems that run over them each tick.
//!
//! Nothing here does I/O or reads a clock. Time, random numbers and observations are arguments.

pub mod backend;
pub mod dispatch;
pub mod engine;
pub mod explain;
pub mod limit;
pub mod member;
pub mod queue;
pub mod retry;
pub mod route;
pub mod ticket;
