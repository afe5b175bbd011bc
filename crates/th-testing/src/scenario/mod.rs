//! Scripted scenarios in virtual time: the real steering engine of each entry VM between simulated callers, backend
//! servers, network and store.

mod attempt;
mod call;
mod caller;
mod entry;
mod event;
mod executor;
mod grants;
mod parse;
mod report;
mod run;
mod script;
mod server;
mod simulation;
mod store;

pub use parse::{SyntaxError, parse};
pub use report::Summary;
pub use run::{UnknownName, run, run_with_unsafe_retries};
pub use script::{PolicySpec, Scenario};
