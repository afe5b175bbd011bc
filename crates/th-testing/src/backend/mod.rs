//! A fake backend server and the ledger of what it ran.

mod fake;
mod ledger;

pub use fake::{BackendSettings, Behaviour, FakeBackend, REQUEST};
pub use ledger::{Ledger, Run};
