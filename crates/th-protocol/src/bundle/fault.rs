//! One thing that is wrong with a bundle.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A fault, where it is and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// The field, such as `services.roster.regions.north.cap`; empty for the whole text.
    pub path: String,
    /// What is wrong.
    pub cause: String,
    /// What to do next.
    pub help: String,
}

impl Fault {
    pub(crate) fn new(
        path: impl Into<String>,
        cause: impl Into<String>,
        help: impl Into<String>,
    ) -> Fault {
        Fault { path: path.into(), cause: cause.into(), help: help.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "(the whole text)" } else { &self.path };
        write!(f, "{path}: {}\n  help: {}", self.cause, self.help)
    }
}
