//! Splits a grant among the entry VMs of a data centre; this runs on the lease holder.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Time, VmId};

use crate::limit::{CapId, Part};

/// A request to the data centre's lease holder for a part of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The requesting VM.
    pub vm: VmId,
    /// The cap.
    pub cap: CapId,
    /// The VM's demand beyond its floor.
    pub want: u64,
}

/// The lease holder's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The cap.
    pub cap: CapId,
    /// Amount that the VM may use.
    pub amount: u64,
    /// How long it may be used, counted from when the request was sent.
    pub left: Millis,
}

impl PartAnswer {
    /// Returns the part, given the time on the VM's own clock at which the request was sent.
    pub fn part(&self, requested: Time) -> Part {
        Part { amount: self.amount, requested, expiry: requested.after(self.left) }
    }
}

/// The outstanding parts of one grant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Splitter {
    parts: BTreeMap<VmId, Vec<Part>>,
}

impl Splitter {
    /// Answers `request` from a grant of `total` that is valid until `expiry`.
    ///
    /// Outstanding parts count in full until they expire, since an answer that replaces one may be
    /// lost. The lifetime in the answer is shorter by `drift`, since the VM measures it with its own
    /// clock.
    pub fn on_request(
        &mut self,
        request: &PartRequest,
        total: u64,
        expiry: Time,
        now: Time,
        drift: Millis,
    ) -> PartAnswer {
        self.expire(now);
        let left = expiry.since(now).minus(drift);
        let mut free = total;
        for (vm, parts) in &self.parts {
            if *vm != request.vm {
                free = free.saturating_sub(largest_amount(parts));
            }
        }
        let amount = if left == Millis::ZERO { 0 } else { request.want.min(free) };
        if 0 < amount {
            let part = Part { amount, requested: now, expiry };
            let parts = self.parts.entry(request.vm.clone()).or_default();
            // Parts that are not larger than the new one and do not expire later no longer count.
            parts.retain(|it| part.amount < it.amount || part.expiry < it.expiry);
            parts.push(part);
        }
        PartAnswer { cap: request.cap.clone(), amount, left }
    }

    /// Returns the largest amount that may be in use. A grant must not shrink below it.
    pub fn outstanding(&mut self, now: Time) -> u64 {
        self.expire(now);
        let mut sum = 0u64;
        for parts in self.parts.values() {
            sum = sum.saturating_add(largest_amount(parts));
        }
        sum
    }

    fn expire(&mut self, now: Time) {
        self.parts.retain(|_, parts| {
            parts.retain(|part| now < part.expiry);
            !parts.is_empty()
        });
    }
}

fn largest_amount(parts: &[Part]) -> u64 {
    let mut largest = 0;
    for part in parts {
        largest = part.amount.max(largest);
    }
    largest
}
