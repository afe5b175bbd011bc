//! Memory that a VM holds for callers and backend servers: what may be held, and which requests are turned away before
//! they run because their answers could not be held.

mod account;
mod drain;
mod settings;
mod sizes;

pub use account::{Admission, HeldKind, HeldMemory};
pub use settings::HeldSettings;
pub use sizes::AnswerSizes;
