//! Settings of the table of backend servers.

use th_protocol::{Millis, Permille};

use super::{HealthSettings, PoolSettings};

/// Settings of the table of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Health of each server.
    pub health: HealthSettings,
    /// Connections to each server.
    pub pool: PoolSettings,
    /// Random candidates that are compared; at least the pool's size compares all.
    pub samples: usize,
    /// Where a smaller share of a service's servers is not ejected, ejections are ignored.
    pub panic_threshold: Permille,
    /// Shortest time between probes of one server, over all entry VMs together.
    pub probe_interval: Millis,
    /// Entry VMs that share the servers, and so the probes.
    pub vm_count: u32,
}

impl Default for BackendSettings {
    fn default() -> BackendSettings {
        BackendSettings {
            health: HealthSettings::default(),
            pool: PoolSettings::default(),
            samples: 2,
            panic_threshold: Permille(500),
            probe_interval: Millis(1_000),
            vm_count: 1,
        }
    }
}
