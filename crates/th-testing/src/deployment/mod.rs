//! A small deployment on loopback.

mod running;
mod spec;

pub use running::Deployment;
pub use spec::{DeploymentSpec, ZoneSpec};
