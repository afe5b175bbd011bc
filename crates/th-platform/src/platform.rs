//! The calls of the platform's service.

use std::{fmt, str::FromStr};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use th_protocol::{Bytes, Mbit, Millis, Revision, VmRecord};

use crate::{PlatformError, Result, wire::base64_bytes};

/// Largest value that the service stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest time for an answer that has begun.
pub const MAX_TRANSFER: Millis = Millis(9_000);

/// Half of the link of a small VM; callers' requests may have the other half.
const UPLOAD_RATE: Mbit = Mbit(5);

/// Longest time that a value takes to the service; base64 makes four bytes of three.
pub(crate) fn upload_time(value: Option<&[u8]>) -> Millis {
    let size = value.map_or(0, <[u8]>::len) as u64;
    Millis(size * 4 / 3 / UPLOAD_RATE.bytes_per_ms())
}

/// The name of a value in the key-value store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
    /// Creates the key with this name.
    pub fn new(name: impl Into<String>) -> Key {
        Key(name.into())
    }

    /// Returns the name as text.
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

/// The id that the service gave to a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "lease-{}", self.0)
    }
}

/// A stored value and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The value's name.
    pub key: Key,
    /// The value; `None` if it was removed.
    #[serde(with = "base64_bytes")]
    pub value: Option<Vec<u8>>,
    /// The store's revision after the write of this value; each write to any value raises it by one.
    pub revision: Revision,
}

/// The outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome<T> {
    /// The write took effect.
    Applied(T),
    /// The write did not and will not take effect. Holds the stored value that conflicted with it,
    /// if there is one.
    Refused(Option<Entry>),
    /// The answer was lost: the write may have taken effect, or may still do so.
    Unknown(PlatformError),
}

/// The platform's service. Each call has a time-out and is counted; a watch that waits counts as
/// one call.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads one value.
    async fn read(&self, key: &Key) -> Result<Option<Entry>>;

    /// Writes `value` (`None` removes the value) if the stored revision is still `expected`;
    /// `None` expects that there is no value. With a lease, the value is removed when the lease
    /// ends.
    async fn cas(
        &self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> WriteOutcome<Revision>;

    /// Takes a lease that expires after `ttl` unless it is extended.
    async fn lease(&self, ttl: Millis) -> WriteOutcome<LeaseId>;

    /// Extends a lease by its `ttl` from now. Refused if the lease has expired.
    async fn keep_alive(&self, lease: LeaseId) -> WriteOutcome<()>;

    /// Waits up to `wait` until a value under `prefix` has a revision above `after`, and returns
    /// the changed values; an empty answer means that nothing changed.
    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>>;

    /// Returns the list of live and leaving VMs.
    async fn vms(&self) -> Result<Vec<VmRecord>>;

    /// Size of the answers received so far, unfinished ones included; zero if answers arrive whole.
    fn received(&self) -> Bytes {
        Bytes::ZERO
    }
}
