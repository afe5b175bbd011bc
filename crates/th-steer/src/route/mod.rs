//! Look-ups: chooses the entry VMs for the callers of a block.
//!
//! [`RouteMap`] holds the bundle's contents, [`Fleet`] the entry VMs, [`Demand`] and
//! [`MeasuredLoads`] the observations, and [`PendingEffects`] the decisions whose effects are not
//! measured yet. [`Planner::tick`] computes the desired weights from them. The caller moves the
//! weights in force towards the desired ones step by step, and [`lookup`] answers from the weights
//! in force.

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
pub use hash::{block_key, hash_bytes, hash_name, mix};
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
