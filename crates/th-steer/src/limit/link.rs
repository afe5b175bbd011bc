//! Limits the bytes that one entry VM sends over a link in one direction.

use std::collections::VecDeque;

use th_protocol::{Bytes, Millis, Reason, Time};

use crate::limit::{LINK_WINDOW, Rejection};

/// How long a charge counts.
///
/// Times are whole milliseconds, so this is one more than the window.
const CHARGE_LIFETIME: Millis = Millis(LINK_WINDOW.0 + 1);

/// Bytes that were charged for a request at its admission.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a charge must be settled with the actual size"]
pub struct Charge {
    bytes: Bytes,
}

/// Sliding-window limiter that keeps the bytes charged in any 100 ms within the VM's share.
///
/// The bytes charged in any [`LINK_WINDOW`] sum up to at most the largest share in force during it.
/// Bytes sent beyond the estimate are a debt, which is charged before any new request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LinkMeter {
    /// Charged bytes per millisecond, oldest first.
    charges: VecDeque<(Time, u64)>,
    used: u64,
    debt: u64,
    now: Time,
}

impl LinkMeter {
    /// Charges `bytes` against `share` (bytes in each [`LINK_WINDOW`]), or rejects with a time to
    /// retry after.
    ///
    /// More bytes than the share are never admitted in one charge; the sender has to split them.
    pub fn charge(&mut self, bytes: Bytes, share: u64, now: Time) -> Result<Charge, Rejection> {
        let now = self.advance(now);
        self.repay(share, now);
        let fits = self.used.checked_add(bytes.0).is_some_and(|sum| sum <= share);
        if 0 < self.debt || !fits {
            return Err(Rejection {
                reason: Reason::LinkCap,
                retry_after: self.wait(bytes, share, now),
            });
        }
        self.add(bytes.0, now);
        Ok(Charge { bytes })
    }

    /// Settles a charge with the actual size: bytes above the charge add to the debt, bytes below
    /// it reduce the debt.
    ///
    /// Unused bytes are not credited beyond the debt, since a credit could be used in a later window.
    pub fn settle(&mut self, charge: Charge, actual: Bytes) {
        self.debt = self.debt.saturating_add(actual.minus(charge.bytes).0);
        self.debt = self.debt.saturating_sub(charge.bytes.minus(actual).0);
    }

    /// Adds bytes that are sent without a charge to the debt.
    pub fn add_debt(&mut self, bytes: Bytes) {
        self.debt = self.debt.saturating_add(bytes.0);
    }

    /// Returns the bytes sent beyond the charges that are still to be charged.
    pub fn debt(&self) -> Bytes {
        Bytes(self.debt)
    }

    /// Returns the bytes charged in the last [`LINK_WINDOW`].
    pub fn used(&mut self, now: Time) -> Bytes {
        self.advance(now);
        Bytes(self.used)
    }

    /// Advances to `now` and removes expired charges; returns the latest time seen, so a clock that
    /// goes back has no effect.
    fn advance(&mut self, now: Time) -> Time {
        self.now = self.now.max(now);
        while let Some((at, bytes)) = self.charges.front().copied() {
            if self.now.since(at) < CHARGE_LIFETIME {
                break;
            }
            self.used -= bytes;
            self.charges.pop_front();
        }
        self.now
    }

    fn repay(&mut self, share: u64, now: Time) {
        let pay = self.debt.min(share.saturating_sub(self.used));
        if 0 < pay {
            self.debt -= pay;
            self.add(pay, now);
        }
    }

    fn add(&mut self, bytes: u64, now: Time) {
        self.used += bytes;
        match self.charges.back_mut() {
            Some((at, sum)) if *at == now => *sum += bytes,
            _ => self.charges.push_back((now, bytes)),
        }
    }

    /// Returns the time until the debt is repaid and `bytes` fit, if nothing else is charged.
    fn wait(&self, bytes: Bytes, share: u64, now: Time) -> Millis {
        let rounds = self.debt / share.max(1);
        let mut wait = Millis(CHARGE_LIFETIME.0.saturating_mul(rounds));
        let mut excess =
            (self.debt % share.max(1)).saturating_add(bytes.0).saturating_add(self.used);
        excess = excess.saturating_sub(share);
        for (at, sum) in &self.charges {
            if excess == 0 {
                return wait;
            }
            excess = excess.saturating_sub(*sum);
            wait = wait.max(at.after(CHARGE_LIFETIME).since(now));
        }
        wait.max(CHARGE_LIFETIME)
    }
}
