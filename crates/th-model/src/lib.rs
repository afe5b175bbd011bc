//! Models of the core protocols, explored exhaustively.

mod explore;
mod ticket;

pub use explore::{Model, Outcome, explore};
pub use ticket::{TicketAction, TicketFault, TicketModel, TicketState};
