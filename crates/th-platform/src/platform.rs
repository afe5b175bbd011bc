//! The calls that the platform's service takes.

use std::{fmt, str::FromStr};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Revision, VmRecord};

use crate::{PlatformError, Result, wire::base64_bytes};

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The name of a value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
    /// The key of that name.
    pub fn new(name: impl Into<String>) -> Key {
        Key(name.into())
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Key {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> std::result::Result<Key, Self::Err> {
        Ok(Key::new(text))
    }
}

/// A lease, as the service names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "lease-{}", self.0)
    }
}

/// A value and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The value's name.
    pub key: Key,
    /// The value; `None` where it was removed.
    #[serde(with = "base64_bytes")]
    pub value: Option<Vec<u8>>,
    /// Raised by one on each write to any value of the service.
    pub revision: Revision,
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome<T> {
    /// It took effect.
    Applied(T),
    /// It did not and will not take effect; the value that stood against it is given.
    Refused(Option<Entry>),
    /// Its answer is lost: it may have taken effect, and it may yet.
    Unknown(PlatformError),
}

/// The platform's service. Each call has a timeout and counts, a waiting watch as one.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads one value.
    async fn read(&self, key: &Key) -> Result<Option<Entry>>;

    /// Writes `value` (or removes it, for `None`) if the value's revision is still `expected`;
    /// `None` expects that there is no value. With a lease, the value goes when the lease does.
    async fn cas(
        &self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> WriteOutcome<Revision>;

    /// Takes a lease of length `ttl`.
    async fn lease(&self, ttl: Millis) -> WriteOutcome<LeaseId>;

    /// Extends a lease by its length. A lease that has lapsed is refused.
    async fn keep_alive(&self, lease: LeaseId) -> WriteOutcome<()>;

    /// Waits until a value under `prefix` has a revision over `after`, or for `wait`; an empty
    /// answer means that nothing changed.
    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>>;

    /// The list of live and leaving VMs.
    async fn vms(&self) -> Result<Vec<VmRecord>>;
}
