//! Bytes that one entry VM sends over a link, one way.

use std::collections::VecDeque;

use th_protocol::{Bytes, Millis, Reason, Time};

use crate::limit::{LINK_WINDOW, Rejection};

/// How long a charge counts. Times are whole milliseconds, so one more than the window.
const CHARGE_LIFETIME: Millis = Millis(LINK_WINDOW.0 + 1);

/// Bytes that were charged when a request was admitted.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a charge is settled by the actual size"]
pub struct Charge {
    bytes: Bytes,
}

/// Counts bytes so that no 100 ms carry more than the share.
///
/// The bytes charged in any [`LINK_WINDOW`] sum up to at most the largest share in force in it.
/// Bytes sent over the estimate are a debt, which is charged before any new work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LinkMeter {
    /// Charges by millisecond, oldest first.
    charges: VecDeque<(Time, u64)>,
    used: u64,
    debt: u64,
    now: Time,
}

impl LinkMeter {
    /// Charges `bytes` against `share` (bytes in each [`LINK_WINDOW`]) or says when to come back.
    ///
    /// A request larger than the share can never pass in one piece; its sender cuts it.
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

    /// Settles a charge by the actual size: more is a debt, less repays one.
    ///
    /// Unused bytes are not credited beyond the debt: a credit could be spent in a later window.
    pub fn settle(&mut self, charge: Charge, actual: Bytes) {
        self.debt = self.debt.saturating_add(actual.minus(charge.bytes).0);
        self.debt = self.debt.saturating_sub(charge.bytes.minus(actual).0);
    }

    /// Notes bytes that are sent without having been charged.
    pub fn add_debt(&mut self, bytes: Bytes) {
        self.debt = self.debt.saturating_add(bytes.0);
    }

    /// Bytes that were sent over the estimates and are still to be charged.
    pub fn debt(&self) -> Bytes {
        Bytes(self.debt)
    }

    /// Bytes charged in the last [`LINK_WINDOW`].
    pub fn used(&mut self, now: Time) -> Bytes {
        self.advance(now);
        Bytes(self.used)
    }

    /// Moves on to `now`, or stays where the clock went back.
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

    /// Time until the debt is repaid and `bytes` fit, if nothing else is charged.
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
