//! What an entry VM counts for its services.

use std::fmt;

use serde::{Deserialize, Serialize};
use th_protocol::{ServiceId, Time};

/// Good events among all events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Events that kept the promise.
    pub good: u64,
    /// All events.
    pub total: u64,
}

impl Count {
    /// The sum.
    #[must_use]
    pub fn plus(self, other: Count) -> Count {
        Count {
            good: self.good.saturating_add(other.good),
            total: self.total.saturating_add(other.total),
        }
    }

    /// What was added to a counter since it stood at `earlier`; a counter that fell began anew.
    #[must_use]
    pub fn since(self, earlier: Count) -> Count {
        let total = match self.total.checked_sub(earlier.total) {
            Some(it) => it,
            None => return Count { good: self.good.min(self.total), total: self.total },
        };
        Count { good: self.good.saturating_sub(earlier.good).min(total), total }
    }
}

/// Which promise a count is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Requests; good: answered within the latency objective.
    Latency,
    /// Looks at a region's headroom; good: at least the wanted headroom was free.
    Headroom,
    /// Drains; good: the backend server was quiet within the promised time.
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

/// How a counter stood at some time. Counters start at zero with the process and only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// When.
    pub at: Time,
    /// The service.
    pub service: ServiceId,
    /// The promise.
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
