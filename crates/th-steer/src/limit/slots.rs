//! Counts the slots and connections that one entry VM uses against its shares.

use std::collections::BTreeMap;

use th_protocol::{
    AttemptId, BackendId, Connections, Millis, Reason, RegionId, ServiceId, Slots as Count,
};
use thiserror::Error;

use crate::limit::{CapId, Rejection};

/// Result of releasing a slot or a connection.
pub(crate) type Result<T, E = SlotError> = std::result::Result<T, E>;

/// Delay suggested for a retry after a rejection: a slot becomes free when another request ends.
const SLOT_RETRY_AFTER: Millis = Millis(100);

/// Why a slot or a connection could not be released.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SlotError {
    /// The attempt holds no slot: it never had one, or has released it.
    #[error("attempt {0} holds no slot")]
    NotHeld(AttemptId),
    /// No open connection to the backend server is counted.
    #[error("no connection to {0} is open")]
    NotOpen(BackendId),
}

/// The current limits of this VM, from its shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimit {
    /// Slots under the region's cap.
    pub region: u64,
    /// Slots under the service's cap in the region.
    pub service: u64,
    /// Slots of the backend server.
    pub backend: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldSlot {
    region: RegionId,
    service: ServiceId,
    backend: BackendId,
}

/// Slots in use by attempt, and open connections by backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Slots {
    held: BTreeMap<AttemptId, HeldSlot>,
    caps: BTreeMap<CapId, u64>,
    backends: BTreeMap<BackendId, u64>,
    open: BTreeMap<BackendId, u64>,
}

impl Slots {
    /// Acquires a slot for `attempt`. An attempt that already holds one is rejected.
    pub fn acquire(
        &mut self,
        attempt: AttemptId,
        service: &ServiceId,
        region: &RegionId,
        backend: &BackendId,
        limit: SlotLimit,
    ) -> Result<(), Rejection> {
        let total = CapId::Region(region.clone());
        let target = CapId::Service(service.clone(), region.clone());
        let reject = |reason| Err(Rejection { reason, retry_after: SLOT_RETRY_AFTER });
        if self.held.contains_key(&attempt) {
            return reject(Reason::NoSlot);
        }
        if limit.region <= self.used(&total) || limit.service <= self.used(&target) {
            return reject(Reason::RegionCap);
        }
        if limit.backend <= self.backend(backend) {
            return reject(Reason::NoSlot);
        }
        *self.caps.entry(total).or_default() += 1;
        *self.caps.entry(target).or_default() += 1;
        *self.backends.entry(backend.clone()).or_default() += 1;
        let held =
            HeldSlot { region: region.clone(), service: service.clone(), backend: backend.clone() };
        self.held.insert(attempt, held);
        Ok(())
    }

    /// Releases the slot of `attempt`.
    pub fn release(&mut self, attempt: AttemptId) -> Result<()> {
        let Some(held) = self.held.remove(&attempt) else {
            return Err(SlotError::NotHeld(attempt));
        };
        decrement(&mut self.caps, &CapId::Region(held.region.clone()));
        decrement(&mut self.caps, &CapId::Service(held.service, held.region));
        decrement(&mut self.backends, &held.backend);
        Ok(())
    }

    /// Returns the number of slots in use under a cap.
    pub fn used(&self, cap: &CapId) -> u64 {
        self.caps.get(cap).copied().unwrap_or(0)
    }

    /// Returns the number of slots in use at a backend server.
    pub fn backend(&self, backend: &BackendId) -> u64 {
        self.backends.get(backend).copied().unwrap_or(0)
    }

    /// Returns the number of attempts that hold a slot.
    pub fn held(&self) -> Count {
        Count(u32::try_from(self.held.len()).unwrap_or(u32::MAX))
    }

    /// Counts a new connection to `backend`, to which this VM may open at most `share`.
    pub fn connect(&mut self, backend: &BackendId, share: Connections) -> Result<(), Rejection> {
        let open = self.open.get(backend).copied().unwrap_or(0);
        if u64::from(share.0) <= open {
            return Err(Rejection { reason: Reason::NoSlot, retry_after: SLOT_RETRY_AFTER });
        }
        self.open.insert(backend.clone(), open + 1);
        Ok(())
    }

    /// Counts a connection to `backend` as closed.
    pub fn disconnect(&mut self, backend: &BackendId) -> Result<()> {
        if !self.open.contains_key(backend) {
            return Err(SlotError::NotOpen(backend.clone()));
        }
        decrement(&mut self.open, backend);
        Ok(())
    }
}

/// Decrements a count and removes it at zero, so that the table stays small.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, u64>, key: &K) {
    let Some(count) = counts.get_mut(key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}
