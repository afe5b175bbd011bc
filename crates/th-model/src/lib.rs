//! Models of the core protocols, explored exhaustively.

mod explore;

pub use explore::{Model, Outcome, explore};
