//! A backend server from its start to its end.

use std::{fmt, str::FromStr};

use th_protocol::{BackendId, IdError};
use thiserror::Error;

/// Result of reading a process.
pub(crate) type Result<T, E = ProcessError> = std::result::Result<T, E>;

/// Reason why a text names no process.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProcessError {
    /// The server's id is not valid.
    #[error("{0}")]
    Id(#[from] IdError),
    /// The start is not a time.
    #[error("expected the server's start in Unix milliseconds, got {0:?}")]
    Start(String),
}

/// A backend server from its start to its end; it may start again under the same id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendProcess {
    /// The server.
    pub backend: BackendId,
    /// Its start in Unix milliseconds, if known.
    pub started: Option<u64>,
}

impl fmt::Display for BackendProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(f, "{}@{started}", self.backend),
            None => self.backend.fmt(f),
        }
    }
}

impl FromStr for BackendProcess {
    type Err = ProcessError;

    fn from_str(text: &str) -> Result<BackendProcess> {
        let Some((backend, started)) = text.split_once('@') else {
            return Ok(BackendProcess { backend: text.parse()?, started: None });
        };
        let time = started.parse().map_err(|_| ProcessError::Start(started.to_owned()))?;
        Ok(BackendProcess { backend: backend.parse()?, started: Some(time) })
    }
}
