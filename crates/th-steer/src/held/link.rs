//! The VM's network link to its callers as a capacity.
//!
//! Downloads beyond the link: each one that is admitted makes all others later, until none arrives before its deadline.

use th_protocol::{Bytes, Mbit, Millis, Time};

/// Bytes of answers that the link has yet to carry, or will have once they are made. What a caller reads more slowly than
/// the link could carry it does not keep the link busy, so the bytes go down at the link's rate.
#[derive(Debug, Clone, Default)]
pub(crate) struct LinkBacklog {
    bytes: f64,
    at: Time,
    /// Mean size of the answers, by their bytes.
    typical: f64,
}

impl LinkBacklog {
    /// By how much an answer of that size would miss its deadline; zero if it would not. Connections share the link evenly:
    /// while it carries this answer, it carries no more than as much of each other one.
    pub(crate) fn lateness(
        &mut self,
        link: Mbit,
        size: Bytes,
        deadline: Time,
        now: Time,
    ) -> Millis {
        let rate = link.bytes_per_ms() as f64;
        self.bytes = (self.bytes - now.since(self.at).0 as f64 * rate).max(0.0);
        self.at = now;
        let size = size.0 as f64;
        let others = self.bytes / self.typical.max(1.0);
        let before = self.bytes.min(size * others);
        let carried = now.after(Millis(((before + size) / rate).ceil() as u64));
        carried.since(deadline)
    }

    pub(crate) fn add(&mut self, bytes: Bytes) {
        let size = bytes.0 as f64;
        let total = self.bytes + size;
        self.typical = (self.typical * self.bytes + size * size) / total.max(1.0);
        self.bytes = total;
    }

    /// Takes back bytes that will not be sent.
    pub(crate) fn take_back(&mut self, bytes: Bytes) {
        self.bytes = (self.bytes - bytes.0 as f64).max(0.0);
    }
}
