//! One entry VM's share of a cap: its floor and its part of a leased grant.

use th_protocol::{Millis, Time};

/// One VM's part of a leased grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part {
    /// Slots, or bytes in each link window.
    pub amount: u64,
    /// When the request for the part was sent, on this VM's boot clock.
    pub requested: Time,
    /// When the part expires, on this VM's boot clock.
    pub expiry: Time,
}

/// One entry VM's share of one cap.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// The floor, valid as long as the VM owns its shard.
    pub floor: u64,
    /// The leased part.
    pub part: Part,
}

impl Share {
    /// Returns the amount available to new work that takes at most `span`.
    ///
    /// A leased part counts only for work that ends before the part expires. No work admitted on
    /// it is therefore still running when the store grants the amount to others.
    pub fn spendable(&self, now: Time, span: Millis) -> u64 {
        // A span that overflows the clock must not be taken for a short one.
        let Some(end) = now.0.checked_add(span.0) else { return self.floor };
        if now < self.part.requested || self.part.expiry.0 <= end {
            return self.floor;
        }
        self.floor.saturating_add(self.part.amount)
    }

    /// Replaces the part, unless the new one was requested before the current one.
    pub fn on_part(&mut self, part: Part) {
        if self.part.requested <= part.requested {
            self.part = part;
        }
    }
}

/// An amount that is configured by each bundle. It is lowered at once and raised with a delay.
///
/// VMs apply a bundle at different times. An amount that moves from one VM to another must not be
/// used by the latter before all VMs have applied the bundle and the work admitted under the
/// earlier bundle has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Floor {
    amount: u64,
    raise: Option<(u64, Time)>,
}

impl Floor {
    /// Creates a floor with the amount from the first bundle.
    pub fn new(amount: u64) -> Floor {
        Floor { amount, raise: None }
    }

    /// Returns the amount that may be used now.
    pub fn get(&self, now: Time) -> u64 {
        match self.raise {
            Some((amount, from)) if from <= now => amount,
            _ => self.amount,
        }
    }

    /// Applies the amount from a new bundle.
    ///
    /// `wait` is the time after which a bundle is in force at all VMs, plus the longest deadline.
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
