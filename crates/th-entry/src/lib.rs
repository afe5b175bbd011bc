//! The entry process: its listeners, the dispatch of requests to backend servers, and the tick loop.

mod bundle_cache;
mod call;
mod caller;
mod entry;
mod in_flight;
mod io;
mod listen;
mod logs;
mod metrics;
mod peer;
mod server;
mod settings;
mod task;

pub use logs::{PARTS, start_logs};
pub use server::{RequestCount, Running, Stopped, start, start_with};
pub use settings::{Keys, Limits, Listen, LogForm, Logs, Pace, Settings, SettingsFault, Stop};
