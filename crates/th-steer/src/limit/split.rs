//! How the lease holder of a data centre splits a grant among the entry VMs there.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Time, VmId};

use crate::limit::{CapId, Part};

/// Asks the lease holder of the data centre for a part of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Who asks.
    pub vm: VmId,
    /// The cap.
    pub cap: CapId,
    /// What the VM would spend over its floor.
    pub want: u64,
}

/// The lease holder's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The cap.
    pub cap: CapId,
    /// What the VM may spend.
    pub amount: u64,
    /// For how long, counted from before the request was sent.
    pub left: Millis,
}

impl PartAnswer {
    /// The part, for a request that was sent at `requested` on the VM's own clock.
    pub fn part(&self, requested: Time) -> Part {
        Part { amount: self.amount, requested, expiry: requested.after(self.left) }
    }
}

/// The parts of one grant that are out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Splitter {
    parts: BTreeMap<VmId, Vec<Part>>,
}

impl Splitter {
    /// Answers `request` out of a grant of `total` that is good until `expiry`.
    ///
    /// Parts that are out count in full until they expire, since an answer that replaces one may
    /// be lost. `drift` is added to the lifetime of each, as another VM's clock measures it.
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
            // Those that neither exceed nor outlast the new one no longer matter.
            parts.retain(|it| part.amount < it.amount || part.expiry < it.expiry);
            parts.push(part);
        }
        PartAnswer { cap: request.cap.clone(), amount, left }
    }

    /// What is out at most: a grant must not shrink below it.
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
