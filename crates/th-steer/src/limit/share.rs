//! What one entry VM may spend of a cap: its floor and its part of a leased grant.

use th_protocol::{Millis, Time};

/// A part of a leased grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part {
    /// Slots, or bytes in each link window.
    pub amount: u64,
    /// When the request for it was sent, on this VM's boot clock.
    pub requested: Time,
    /// Until when it may be spent, on this VM's boot clock.
    pub expiry: Time,
}

/// What one entry VM may spend of one cap.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// The floor; always valid while the VM owns its shard.
    pub floor: u64,
    /// The leased part.
    pub part: Part,
}

impl Share {
    /// What may be spent by new work that lasts at most `span`.
    ///
    /// A leased part counts only for work that ends before the part expires. So nothing that was
    /// admitted on it is still running when the store grants it to others.
    pub fn spendable(&self, now: Time, span: Millis) -> u64 {
        // Overflow must not make an unbounded span look short.
        let Some(end) = now.0.checked_add(span.0) else { return self.floor };
        if now < self.part.requested || self.part.expiry.0 <= end {
            return self.floor;
        }
        self.floor.saturating_add(self.part.amount)
    }

    /// Takes a part over, unless it was requested before the present one.
    pub fn on_part(&mut self, part: Part) {
        if self.part.requested <= part.requested {
            self.part = part;
        }
    }
}

/// An amount that each bundle states anew: it falls at once and rises late.
///
/// VMs take a bundle at different moments. What one loses by it, another must not spend before all
/// have taken it and the work that was admitted under the earlier bundle has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Floor {
    amount: u64,
    raise: Option<(u64, Time)>,
}

impl Floor {
    /// The amount that the first bundle states.
    pub fn new(amount: u64) -> Floor {
        Floor { amount, raise: None }
    }

    /// What may be spent now.
    pub fn get(&self, now: Time) -> u64 {
        match self.raise {
            Some((amount, from)) if from <= now => amount,
            _ => self.amount,
        }
    }

    /// Takes in what a new bundle states. `wait` is the time in which a bundle is in force at all
    /// VMs, plus the longest deadline.
    pub fn set(&mut self, amount: u64, wait: Millis, now: Time) {
        self.amount = self.get(now);
        if self.raise.is_some_and(|(next, from)| next == amount && now < from) {
            return;
        }
        self.raise = None;
        if amount <= self.amount {
            self.amount = amount;
        } else {
            self.raise = Some((amount, now.after(wait)));
        }
    }
}
