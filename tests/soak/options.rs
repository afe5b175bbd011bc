//! Options of a manual run, from environment variables.

use std::{env, path::PathBuf};

/// Number of entry VMs, unless `SOAK_VMS` states another.
pub(crate) const DEFAULT_VMS: usize = 4;
/// Largest number of entry VMs in a run.
const MAX_VMS: usize = 24;

/// Options of a run.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Number of entry VMs; more than the default also stop more often.
    pub(crate) vms: usize,
    /// Program file, if it is not the one of this build.
    pub(crate) program: Option<PathBuf>,
    /// Directory for the logs of the processes.
    pub(crate) logs: Option<PathBuf>,
    /// Whether VMs are held up in planned stops.
    pub(crate) holds: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { vms: DEFAULT_VMS, program: None, logs: None, holds: true }
    }
}

impl Options {
    /// Reads `SOAK_VMS`, `SOAK_PROGRAM`, `SOAK_LOGS` and `SOAK_HOLDS`.
    pub(crate) fn from_env() -> Options {
        let defaults = Options::default();
        let vms = env::var("SOAK_VMS").map_or(defaults.vms, |it| it.parse().unwrap());
        assert!((1..=MAX_VMS).contains(&vms), "SOAK_VMS is 1 to {MAX_VMS}, got {vms}");
        Options {
            vms,
            program: env::var_os("SOAK_PROGRAM").map(PathBuf::from),
            logs: env::var_os("SOAK_LOGS").map(PathBuf::from),
            holds: env::var("SOAK_HOLDS").map_or(defaults.holds, |it| it != "0"),
        }
    }
}
