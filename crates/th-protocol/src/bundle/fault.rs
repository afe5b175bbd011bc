//! A parse or validation error of a bundle.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A parse or validation error of a bundle: where it is, what is wrong and how to fix it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, such as `services.roster.regions.north.cap`; empty if the fault
    /// concerns the whole text.
    pub path: String,
    /// What is wrong.
    pub cause: String,
    /// How to fix it.
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
