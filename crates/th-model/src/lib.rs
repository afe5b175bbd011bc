//! Models of the core protocols, whose reachable states are all checked.

mod drain;
mod era;
mod explore;
mod grant;
mod quota;
mod relay;
mod shard;
mod spread;
mod ticket;

pub use drain::{DrainAction, DrainFault, DrainModel, DrainState};
pub use era::{EraAction, EraFault, EraModel, EraState};
pub use explore::{Model, Outcome, explore};
pub use grant::{Call, GrantAction, GrantFault, GrantModel, GrantState};
pub use quota::{QuotaAction, QuotaFault, QuotaModel, QuotaState};
pub use relay::{RelayAction, RelayFault, RelayModel, RelayState};
pub use shard::{ShardAction, ShardFault, ShardModel, ShardState};
pub use spread::{Roll, SpreadAction, SpreadFault, SpreadModel, SpreadState};
pub use ticket::{TicketAction, TicketFault, TicketModel, TicketState};
