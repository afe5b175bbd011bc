//! Small fakes at the interfaces, a deployment of them on loopback, and the scenario language; for tests only.

mod backend;
mod caller;
mod deployment;
mod listen;
mod platform;
mod relay;
pub mod scenario;

pub use backend::{BackendSettings, Behaviour, FakeBackend, Ledger, REQUEST, Run};
pub use caller::{Audit, Caller, CallerSettings, End, Record, Records};
pub use deployment::{Deployment, DeploymentSpec, ZoneSpec};
pub use platform::{FakePlatform, Faults, PlatformServer, Store, Taken};
pub use relay::Relay;
