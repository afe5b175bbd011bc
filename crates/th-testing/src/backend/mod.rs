//! A fake backend server, and the log of the requests that it ran.

mod fake;
mod run_log;

pub use fake::{BackendSettings, Behaviour, FakeBackend, REQUEST_HEADER};
pub use run_log::{Run, RunLog};
