//! The state of the fake service: values with revisions, leases, and the list of VMs.

use std::collections::{BTreeMap, BTreeSet};

use th_platform::{Entry, Key, LeaseId, MAX_VALUE_BYTES};
use th_protocol::{Millis, Revision, Time, VmId, VmRecord};

/// A lease and the keys of the values that depend on it.
#[derive(Debug, Clone)]
struct Lease {
    ttl: Millis,
    until: Time,
    keys: BTreeSet<Key>,
}

/// Values, leases and VMs. Removed values stay as tombstones, so that watches see the removal.
#[derive(Debug, Clone, Default)]
pub struct Store {
    revision: Revision,
    values: BTreeMap<Key, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: u64,
    /// The list of VMs that the platform returns.
    pub vms: BTreeMap<VmId, VmRecord>,
}

impl Store {
    /// Returns the entry under `key`, unless it was removed.
    pub fn read(&self, key: &Key) -> Option<&Entry> {
        self.values.get(key).filter(|it| it.value.is_some())
    }

    /// Writes or removes the value under `key` if its present revision is `expected`, the new value has at most
    /// [`MAX_VALUE_BYTES`], and `lease` has not expired. Otherwise returns the present entry.
    pub fn cas(
        &mut self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, Option<Entry>> {
        let current = self.read(key).cloned();
        let is_too_large = value.as_ref().is_some_and(|it| MAX_VALUE_BYTES < it.len());
        let is_expired = lease.is_some_and(|it| !self.leases.contains_key(&it));
        if current.as_ref().map(|it| it.revision) != expected || is_too_large || is_expired {
            return Err(current);
        }
        for it in self.leases.values_mut() {
            it.keys.remove(key);
        }
        if let Some(lease) = lease.and_then(|it| self.leases.get_mut(&it)) {
            lease.keys.insert(key.clone());
        }
        Ok(self.put(key, value))
    }

    fn put(&mut self, key: &Key, value: Option<Vec<u8>>) -> Revision {
        self.revision += Revision(1);
        let entry = Entry { key: key.clone(), value, revision: self.revision };
        self.values.insert(key.clone(), entry);
        self.revision
    }

    /// Grants a lease.
    pub fn lease(&mut self, ttl: Millis, now: Time) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        self.leases.insert(id, Lease { ttl, until: now.after(ttl), keys: BTreeSet::new() });
        id
    }

    /// Extends a lease. Returns `false` if it has expired.
    pub fn keep_alive(&mut self, id: LeaseId, now: Time) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.until = now.after(lease.ttl);
        true
    }

    /// Removes expired leases and the values that depend on them.
    pub fn expire(&mut self, now: Time) {
        let mut expired = Vec::new();
        for (id, lease) in &self.leases {
            if lease.until <= now {
                expired.push(*id);
            }
        }
        for id in expired {
            let Some(lease) = self.leases.remove(&id) else {
                continue;
            };
            for key in lease.keys {
                self.put(&key, None);
            }
        }
    }

    /// Returns the entries under `prefix` with a revision greater than `after`, including removals, in order of
    /// revision.
    pub fn changes(&self, prefix: &str, after: Revision) -> Vec<Entry> {
        let mut changes = Vec::new();
        for entry in self.values.values() {
            if entry.key.as_str().starts_with(prefix) && after < entry.revision {
                changes.push(entry.clone());
            }
        }
        changes.sort_by_key(|it| it.revision);
        changes
    }
}
