//! Look-ups: which entry VMs a block of clients is sent to.
//!
//! [`Map`] holds what the bundle states, [`Fleet`] the entry VMs, [`Demand`] and [`Loads`] what
//! was observed, [`Effects`] what was decided and not yet seen. [`Planner::tick`] turns them into
//! the desired weights; the weights in force are set by the caller, step by step. [`lookup`]
//! answers from the weights in force.

pub mod baseline;
mod carry;
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
mod picks;
mod planner;
mod ranges;
mod reason;
mod settings;
mod slots;
mod trust;
mod weights;

pub use carry::Carry;
pub use choice::choose;
pub use demand::Demand;
pub use effects::Effects;
pub use fleet::{Fleet, VmState};
pub use hash::{hash_name, key, mix};
pub use index::{ClassIx, RegionIx, ServiceIx, VmIx, ZoneIx};
pub use loads::{Expected, Loads, Sample};
pub use lookup::{Answer, Tables, lookup};
pub use map::{Map, Place};
pub use picks::{MAX_PICKS, Picks};
pub use planner::{Inputs, Planner};
pub use reason::reason;
pub use settings::Settings;
pub use trust::trust;
pub use weights::Weights;
