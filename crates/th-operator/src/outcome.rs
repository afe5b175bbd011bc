//! How a roll ended.

use std::fmt;

use serde::{Deserialize, Serialize};
use th_protocol::{Digest, Fault, ManifestError, OperatorId, SignError, Version};
use thiserror::Error;

/// The bundle that stands at the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadInfo {
    /// Its version.
    pub version: Version,
    /// Who signed it.
    pub by: OperatorId,
}

impl fmt::Display for HeadInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} of operator {}", self.version, self.by)
    }
}

/// How a roll ended. It never says that a roll failed which took effect, or may yet.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// It took effect.
    Rolled {
        /// The version rolled.
        version: Version,
        /// What has replaced it since.
        replaced_by: Option<HeadInfo>,
    },
    /// An earlier roll of the same bundle took effect.
    AlreadyRolled {
        /// The version rolled.
        version: Version,
        /// What has replaced it since.
        replaced_by: Option<HeadInfo>,
    },
    /// Another bundle was rolled first; this one did not and will not take effect.
    Conflict(HeadInfo),
    /// The bundle was not taken, and nothing changed.
    Rejected(Rejection),
    /// The service could not be reached before the head was written: it did not take effect.
    Unreachable(String),
    /// The head was written, and nobody can tell whether the write took effect or will.
    Unknown(String),
}

/// Why a bundle is not rolled.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Rejection {
    /// The signature is not good.
    #[error(transparent)]
    Sign(#[from] SignError),
    /// The parts do not make a bundle.
    #[error(transparent)]
    Parts(#[from] ManifestError),
    /// The bundle has faults.
    #[error("the bundle has {} faults", .0.len())]
    Faults(Vec<Fault>),
    /// The version does not follow the one in force.
    #[error("version {version} does not follow version {head}, which is in force")]
    VersionGap {
        /// The version in force.
        head: Version,
        /// The version of the bundle.
        version: Version,
    },
    /// What is stored under a part's digest is something else.
    #[error("the stored part {0} has other bytes")]
    PartMismatch(Digest),
    /// What stands at the head cannot be read.
    #[error("the bundle in force cannot be read: {0}")]
    MalformedHead(String),
}
