//! Scripted scenarios in virtual time: the real decisions of each entry VM between small fakes.

mod attempt;
mod call;
mod caller;
mod entry;
mod event;
mod exec;
mod grants;
mod parse;
mod report;
mod run;
mod script;
mod server;
mod store;
mod world;

pub use parse::{SyntaxError, parse};
pub use report::Summary;
pub use run::{UnknownName, run, run_with_unsafe_retries};
pub use script::{PolicySpec, Scenario};
