//! Whether a VM takes over what another one passes on.
//!
//! Handles VMs that are frozen or cut off and answer with old knowledge, and a store that came back from an older copy of
//! which not all VMs know yet.

use th_protocol::{Era, Millis};
use thiserror::Error;

/// Result of judging what another VM passes on.
pub(crate) type Result<T, E = NewsError> = std::result::Result<T, E>;

/// What another VM says about the changes that it passes on.
#[derive(Debug, Clone, Copy)]
pub struct News {
    /// Time since the store had no others, when the VM answered.
    pub age: Millis,
    /// Era of the store up to which they are known.
    pub era: Era,
    /// Whether the VM stated that era; earlier builds do not tell eras apart.
    pub is_stated: bool,
}

/// Reason why what another VM passes on is not taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NewsError {
    /// It is too old.
    #[error("its knowledge is {0} old, the limit is {1}")]
    Old(Millis, Millis),
    /// It is of an earlier era than this VM's own knowledge.
    #[error("it knows era {0}, this VM era {1}")]
    EarlierEra(Era, Era),
    /// The store is in a later era than this VM's knowledge, and the VM does not say of which one its own is.
    #[error("it states no era, and the store is in era {0}")]
    Unsure(Era),
}

impl News {
    /// Checks news against the limit on their age, the era of this VM's knowledge, and the latest one that the store stated.
    pub fn check(&self, limit: Millis, own: Era, latest: Era) -> Result<()> {
        if limit < self.age {
            return Err(NewsError::Old(self.age, limit));
        }
        if self.era < own {
            return Err(NewsError::EarlierEra(self.era, own));
        }
        if !self.is_stated && own < latest {
            return Err(NewsError::Unsure(latest));
        }
        Ok(())
    }
}
