//! Models of the core protocols, explored exhaustively.

mod explore;
mod grant;
mod shard;

pub use explore::{Model, Outcome, explore};
pub use grant::{Call, GrantAction, GrantFault, GrantModel, GrantState};
pub use shard::{ShardAction, ShardFault, ShardModel, ShardState};
