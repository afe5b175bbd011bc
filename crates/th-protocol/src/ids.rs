//! Ids of the entities in a bundle.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The result of parsing an id.
pub(crate) type Result<T, E = IdError> = std::result::Result<T, E>;

/// Maximum length of an id, in bytes.
pub const MAX_ID_BYTES: usize = 63;

/// An error from parsing an id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an id must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("an id has at most {MAX_ID_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The text contains a character that is not allowed in ids.
    #[error("an id has only the characters a-z, 0-9, '-' and '.', got {0:?}")]
    Character(char),
}

fn validate(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if MAX_ID_BYTES < text.len() {
        return Err(IdError::TooLong(text.len()));
    }
    for c in text.chars() {
        let allowed = c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if !allowed {
            return Err(IdError::Character(c));
        }
    }
    Ok(())
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                validate(text)?;
                Ok($name(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.as_str().to_owned()
            }
        }
    )*};
}

ids! {
    /// A service that callers send requests to.
    ServiceId;
    /// One operation of a service.
    OperationId;
    /// A region: a group of data centres with low delay between them.
    RegionId;
    /// A data centre.
    ZoneId;
    /// An entry VM.
    VmId;
    /// A backend server.
    BackendId;
    /// A network link from one region to another, in one direction.
    LinkId;
    /// A customer; several customers share one deployment.
    CustomerId;
    /// An organisation whose callers identify themselves by keys.
    OrganisationId;
    /// A class of client blocks that have the same delay to each region.
    ClassId;
    /// An operator, who signs bundles.
    OperatorId;
}
