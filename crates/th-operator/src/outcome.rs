//! Outcomes of a roll.

use std::fmt;

use serde::{Deserialize, Serialize};
use th_protocol::{Digest, Fault, ManifestError, OperatorId, SignError, Version};
use thiserror::Error;

/// Version and signer of the bundle at the head.
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

/// The outcome of a roll.
///
/// A roll that took effect, or may still do so, is never reported as failed.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The roll took effect.
    Rolled {
        /// The version rolled.
        version: Version,
        /// The head that has replaced it since, if any.
        replaced_by: Option<HeadInfo>,
    },
    /// An earlier roll of the same bundle took effect.
    AlreadyRolled {
        /// The version rolled.
        version: Version,
        /// The head that has replaced it since, if any.
        replaced_by: Option<HeadInfo>,
    },
    /// Another bundle was rolled first; this roll did not and will not take effect.
    Conflict(HeadInfo),
    /// The bundle was rejected, and nothing changed.
    Rejected(Rejection),
    /// The platform's service became unreachable before the head was written: the roll did not
    /// take effect.
    Unreachable(String),
    /// A write of the head was sent, and it is unknown whether it took effect or still will.
    Unknown(String),
}

/// The reason why a bundle is rejected.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Rejection {
    /// The signature is missing, malformed or wrong.
    #[error(transparent)]
    Sign(#[from] SignError),
    /// The parts do not form the bundle that the manifest describes.
    #[error(transparent)]
    Parts(#[from] ManifestError),
    /// The bundle does not pass validation.
    #[error("the bundle has {} faults", .0.len())]
    Faults(Vec<Fault>),
    /// The bundle's version is more than one above the version in force.
    #[error("version {version} does not follow version {head}, which is in force")]
    VersionGap {
        /// The version in force.
        head: Version,
        /// The version of the bundle.
        version: Version,
    },
    /// The store has other bytes under the part's digest.
    #[error("the bytes stored for part {0} differ from those of the bundle")]
    PartMismatch(Digest),
    /// The head, or a part that it names, cannot be read.
    #[error("the bundle in force cannot be read: {0}")]
    MalformedHead(String),
}
