//! Settings of the table of backend servers.

use th_protocol::{Millis, Permille};

use super::{HealthSettings, PoolSettings};

/// Settings of the table of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Settings of health tracking.
    pub health: HealthSettings,
    /// Settings of connection pools.
    pub pool: PoolSettings,
    /// Number of randomly drawn candidates that are compared. All candidates are compared if there
    /// are no more than this.
    pub samples: usize,
    /// Ejections are ignored if a smaller share than this of a service's servers is not ejected.
    pub panic_threshold: Permille,
    /// Minimum time between probes of one server by all entry VMs together.
    pub probe_interval: Millis,
    /// Number of entry VMs that share the servers and divide the probes among them.
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
