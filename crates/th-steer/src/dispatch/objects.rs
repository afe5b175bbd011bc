//! The objects of a service that are in use.
//!
//! Handles many VMs that each see few of a service's requests. A VM that counted only the objects that it saw would take
//! them for fewer than there are, and assign more objects to a server than the server keeps warm.

use std::collections::BTreeMap;

use th_protocol::Time;

/// Recent use of an object by this VM's requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ObjectUse {
    pub(crate) last: Time,
    /// Number of requests.
    pub(crate) uses: u32,
    /// Number of requests that another data centre of the region served.
    pub(crate) remote_uses: u32,
}

/// The objects that this VM's requests concerned lately.
#[derive(Debug, Default)]
pub struct ObjectsInUse {
    objects: BTreeMap<u64, ObjectUse>,
    /// Estimated number of all objects in use.
    estimate: usize,
}

impl ObjectsInUse {
    /// Counts a request.
    pub fn add(&mut self, object: u64, now: Time) {
        let first = ObjectUse { last: now, uses: 0, remote_uses: 0 };
        let entry = self.objects.entry(object).or_insert(first);
        entry.last = now;
        entry.uses += 1;
        self.estimate = self.estimate.max(self.objects.len());
    }

    /// Drops the objects that were last used before a time, and estimates the number of all objects anew: by the Chao1
    /// estimator, from the numbers of objects that were used once and twice.
    pub fn update(&mut self, start: Time) {
        self.objects.retain(|_, it| start <= it.last);
        let used = |times: u32| self.objects.values().filter(|it| it.uses == times).count() as f64;
        let (once, twice) = (used(1), used(2));
        let unseen = once * (once - 1.0).max(0.0) / (2.0 * (twice + 1.0));
        self.estimate = self.objects.len() + unseen as usize;
    }

    /// Estimated number of all objects in use.
    pub fn estimate(&self) -> usize {
        self.estimate
    }

    pub(crate) fn get(&self, object: u64) -> Option<&ObjectUse> {
        self.objects.get(&object)
    }

    pub(crate) fn get_mut(&mut self, object: u64) -> Option<&mut ObjectUse> {
        self.objects.get_mut(&object)
    }
}
