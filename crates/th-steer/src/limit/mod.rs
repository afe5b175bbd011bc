//! Limits: each VM's share of the caps, the slots and bytes in use, and traffic shifts between
//! regions.

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

pub use cap::{Cap, CapId, CapTable, LINK_WINDOW, split_evenly};
pub use grant::{Answer, GrantState, Lease, Revisioned};
pub use holder::{LeaseHolder, LeaseHolderSettings, Need, StoreAction};
pub use ledger::{Ledger, LedgerEntry, fair_share};
pub use link::{Charge, LinkMeter};
pub use orphan::{NeighbourView, OrphanSettings, OwnerReserve, admit_neighbour};
pub use shard::{ShardClaim, ShardSlot, may_claim};
pub use share::{Floor, Part, Share};
pub use shift::{Millionths, Rejection, ShiftCause, ShiftLimiter, ShiftStep, Weights, count_steps};
pub use slots::{SlotError, SlotLimit, Slots};
pub use split::{PartAnswer, PartRequest, Splitter};
