//! What one entry VM may spend of a cap: its floor and its part of a leased grant.

use th_protocol::{Millis, Time};

/// A part of a leased grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part {
    /// Slots, or bytes in each link window.
    pub amount: u64,
    /// When the request for it was sent, on this VM's boot clock.
    pub asked: Time,
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
        if now < self.part.asked || self.part.expiry.0 <= end {
            return self.floor;
        }
        self.floor.saturating_add(self.part.amount)
    }

    /// Takes a part over, unless it was asked for before the present one.
    pub fn on_part(&mut self, part: Part) {
        if self.part.asked <= part.asked {
            self.part = part;
        }
    }
}
