//! Counts and samples of service-level events.

use std::fmt;

use serde::{Deserialize, Serialize};
use th_protocol::{ServiceId, Time};

/// A number of events, and how many of them were good.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Events that met the objective.
    pub good: u64,
    /// All events.
    pub total: u64,
}

impl Count {
    /// Returns the sum of both counts.
    #[must_use]
    pub fn plus(self, other: Count) -> Count {
        Count {
            good: self.good.saturating_add(other.good),
            total: self.total.saturating_add(other.total),
        }
    }

    /// Returns what was added to a counter since it was at `earlier`. A counter that fell has been
    /// restarted from zero.
    #[must_use]
    pub fn since(self, earlier: Count) -> Count {
        let total = match self.total.checked_sub(earlier.total) {
            Some(it) => it,
            None => return Count { good: self.good.min(self.total), total: self.total },
        };
        Count { good: self.good.saturating_sub(earlier.good).min(total), total }
    }
}

/// The service-level objective that a count is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Requests. Good ones were answered within the latency objective.
    Latency,
    /// Samples of the lowest headroom of a service's regions. Good ones had at least the headroom
    /// objective free.
    Headroom,
    /// Drains. Good ones ended within the drain objective: the backend server had become idle.
    Drain,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Measure::Latency => "latency",
            Measure::Headroom => "headroom",
            Measure::Drain => "drain",
        })
    }
}

/// The value of a counter at a point in time. Counters start at zero with the process and only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// When the counter had this value.
    pub at: Time,
    /// The service.
    pub service: ServiceId,
    /// The objective that the counter is about.
    pub measure: Measure,
    /// Good events since the process started.
    pub good: u64,
    /// All events since the process started.
    pub total: u64,
}

impl Sample {
    pub(crate) fn count(&self) -> Count {
        Count { good: self.good, total: self.total }
    }
}
