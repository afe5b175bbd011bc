//! Test support: fakes of the platform, backend servers and callers, a small deployment on loopback, and the scenario
//! language.

mod backend;
mod caller;
mod deployment;
mod listen;
mod platform;
mod relay;
pub mod scenario;

pub use backend::{BackendSettings, Behaviour, FakeBackend, REQUEST_HEADER, Run, RunLog};
pub use caller::{Audit, CallOutcome, Caller, CallerSettings, Record, Records};
pub use deployment::{Deployment, DeploymentSpec, ZoneSpec};
pub use platform::{CallCounts, FakePlatform, Faults, PlatformServer, Store};
pub use relay::Relay;
