//! Small fakes at the interfaces and the scenario language; for tests only.

mod backend;
mod listen;
mod platform;
mod relay;

pub use backend::{BackendSettings, Behaviour, FakeBackend, Ledger, REQUEST, Run};
pub use platform::{FakePlatform, Faults, PlatformServer, Store, Taken};
pub use relay::Relay;
