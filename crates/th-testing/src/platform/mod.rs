//! A fake of the platform's service.

mod fake;
mod server;
mod store;

pub use fake::{CallCounts, FakePlatform, Faults};
pub use server::PlatformServer;
pub use store::Store;
