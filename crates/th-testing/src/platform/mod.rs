//! A fake of the platform's service, in process and over HTTP.

mod fake;
mod server;
mod store;

pub use fake::{CallCounts, FakePlatform, Faults};
pub use server::PlatformServer;
pub use store::Store;
