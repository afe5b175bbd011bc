//! Limits: shares of caps, what is spent of them, and shifts of traffic between regions.

mod cap;
mod grant;
mod holder;
mod ledger;
mod link;
mod orphan;
mod shard;
mod share;
mod shift;
mod slots;
mod split;

pub use cap::{Cap, CapId, CapTable, LINK_WINDOW, deal};
pub use grant::{Answer, GrantState, Lease, Revisioned};
pub use holder::{Holder, HolderSettings, Need, StoreAction};
pub use ledger::{Ledger, LedgerEntry, fair};
pub use link::{Charge, LinkMeter};
pub use orphan::{Evidence, OrphanSettings, OwnerSpare, neighbour_may};
pub use shard::{ShardClaim, ShardSlot, may_take};
pub use share::{Floor, Part, Share};
pub use shift::{Millionths, Movement, Refusal, ShiftLimiter, Step, Weights, steps};
pub use slots::{SlotError, SlotLimit, Slots};
pub use split::{PartAnswer, PartAsk, Splitter};
