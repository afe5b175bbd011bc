//! Order of what is known of the platform's service, which may come back from an older copy and give out revisions again.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Era, Revision, UnitError};

/// The result of reading a moment.
pub(crate) type Result<T, E = MomentError> = std::result::Result<T, E>;

/// Reason why a text names no moment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MomentError {
    /// It has no two parts.
    #[error("expected an era and a revision with a colon between, got {0:?}")]
    Parts(String),
    /// A part is no number.
    #[error("moment {0:?}: {1}")]
    Number(String, UnitError),
}

/// A revision and the era in which it was given out. A later era is newer, whatever the revisions.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreMoment {
    /// The era.
    pub era: Era,
    /// The revision in that era.
    pub revision: Revision,
}

impl StoreMoment {
    /// The moment of a revision in an era.
    pub const fn new(era: Era, revision: Revision) -> StoreMoment {
        StoreMoment { era, revision }
    }
}

impl fmt::Display for StoreMoment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

impl FromStr for StoreMoment {
    type Err = MomentError;

    fn from_str(text: &str) -> Result<StoreMoment> {
        let Some((era, revision)) = text.split_once(':') else {
            return Err(MomentError::Parts(text.to_owned()));
        };
        let number = |cause| MomentError::Number(text.to_owned(), cause);
        Ok(StoreMoment {
            era: era.parse().map_err(number)?,
            revision: revision.parse().map_err(number)?,
        })
    }
}
