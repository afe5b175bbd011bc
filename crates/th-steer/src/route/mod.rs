//! Look-ups: which entry VMs a block of clients is sent to.
//!
//! [`RouteMap`] holds what the bundle states, [`Fleet`] the entry VMs, [`Demand`] and [`MeasuredLoads`] what
//! was observed, [`PendingEffects`] what was decided and not yet seen. [`Planner::tick`] turns them into
//! the desired weights; the weights in force are set by the caller, step by step. [`lookup`]
//! answers from the weights in force.

pub mod baseline;
mod choice;
mod demand;
mod effects;
mod fill;
mod fleet;
mod hash;
mod index;
mod loads;
mod lookup;
mod map;
mod planner;
mod ranges;
mod reason;
mod remap;
mod settings;
mod slots;
mod trust;
mod vm_list;
mod weights;

pub use choice::choose;
pub use demand::Demand;
pub use effects::PendingEffects;
pub use fleet::{Fleet, VmState};
pub use hash::{block_key, hash_name, mix};
pub use index::{ClassIx, RegionIx, ServiceIx, VmIx, ZoneIx};
pub use loads::{ExpectedLoad, LoadSample, MeasuredLoads};
pub use lookup::{Answer, LookupTables, lookup};
pub use map::{CallerBlock, RouteMap};
pub use planner::{Planner, PlannerInputs};
pub use reason::explain_lookup;
pub use remap::RowRemap;
pub use settings::Settings;
pub use trust::trust;
pub use vm_list::{MAX_ANSWER_VMS, VmList};
pub use weights::Weights;
