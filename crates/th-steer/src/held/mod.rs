//! What a VM holds for callers and backend servers, and which requests are turned away before they run because their
//! answers could not be held, or not be carried by the VM's network link in time.

mod account;
mod drain;
mod link;
mod returns;
mod settings;
mod sizes;

pub use account::{Admission, HeldKind, HeldMemory, Lack};
pub use settings::HeldSettings;
pub use sizes::AnswerSizes;
