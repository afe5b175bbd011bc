//! The limiter for all movement of a service's traffic between regions.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Reason, RegionId, Shift, Time};

/// Why work is rejected, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The limit that was reached.
    pub reason: Reason,
    /// Time until another attempt may be admitted.
    #[serde(rename = "retry")]
    pub retry_after: Millis,
}

/// A share of a service's traffic, in millionths.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millionths(pub u64);

impl Millionths {
    /// All of the traffic.
    pub const WHOLE: Millionths = Millionths(1_000_000);
}

/// Granularity at which the ends of charges are rounded up.
///
/// Charges with the same end and cause are merged, which bounds the memory.
const CHARGE_BUCKET: Millis = Millis(100);

/// The share of a service's traffic that goes to each region.
///
/// The shares sum up to [`Millionths::WHOLE`], unless there is no region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Weights(BTreeMap<RegionId, u64>);

impl Weights {
    /// Scales relative weights to shares of all traffic.
    pub fn new(relative: &BTreeMap<RegionId, u32>) -> Weights {
        let mut sum = 0u64;
        for weight in relative.values() {
            sum += u64::from(*weight);
        }
        let mut shares = BTreeMap::new();
        if sum == 0 {
            return Weights(shares);
        }
        // Running totals are rounded, so that the shares sum up exactly.
        let (mut weight_sum, mut allocated) = (0u64, 0u64);
        for (region, weight) in relative {
            weight_sum += u64::from(*weight);
            let until =
                (u128::from(weight_sum) * u128::from(Millionths::WHOLE.0) / u128::from(sum)) as u64;
            shares.insert(region.clone(), until - allocated);
            allocated = until;
        }
        Weights(shares)
    }

    /// Returns the share of a region.
    pub fn get(&self, region: &RegionId) -> Millionths {
        Millionths(self.0.get(region).copied().unwrap_or(0))
    }

    /// Iterates over the regions and their shares.
    pub fn iter(&self) -> impl Iterator<Item = (&RegionId, Millionths)> {
        self.0.iter().map(|(region, share)| (region, Millionths(*share)))
    }

    /// Returns how much traffic moves when these shares change to `next`.
    pub fn moved(&self, next: &Weights) -> Millionths {
        let mut gains = 0;
        for (region, share) in next.iter() {
            gains += share.0.saturating_sub(self.get(region).0);
        }
        Millionths(gains)
    }

    /// Returns the shares on the linear path to `next` that move at most `budget`; the full path
    /// moves `moved`.
    fn step_toward(&self, next: &Weights, budget: u64, moved: u64) -> Weights {
        let mut shares = self.0.clone();
        let scale = |span: u64| (u128::from(span) * u128::from(budget) / u128::from(moved)) as u64;
        let mut gained = 0;
        for (region, share) in next.iter() {
            let gain = scale(share.0.saturating_sub(self.get(region).0));
            *shares.entry(region.clone()).or_default() += gain;
            gained += gain;
        }
        // Gains are rounded down. The second pass increases losses region by region until they equal
        // the gains.
        for pass in [false, true] {
            for (region, share) in &self.0 {
                let loss = share.saturating_sub(next.get(region).0);
                let part = if pass { loss } else { scale(loss) };
                let at = shares.entry(region.clone()).or_default();
                let done = (*share).saturating_sub(*at);
                let take = part.saturating_sub(done).min(gained);
                *at -= take;
                gained -= take;
            }
        }
        Weights(shares)
    }
}

/// Why traffic moves. All causes are charged to the same cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShiftCause {
    /// A new bundle changed the weights.
    Bundle,
    /// A region or data centre failed.
    Failure,
    /// A region has too little headroom.
    Spill,
    /// A region has recovered.
    Recovery,
}

/// The result of one step of a shift.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShiftStep {
    /// The shares in force from now on.
    pub weights: Weights,
    /// Traffic moved by this step.
    pub moved: Millionths,
    /// Traffic that has still to move.
    pub remaining: Millionths,
    /// Why the rest has to wait, and for how long.
    pub rejection: Option<Rejection>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ActiveCharge {
    until: Time,
    amount: u64,
    cause: ShiftCause,
}

/// The shift limiter of one service at one entry VM.
///
/// A movement is charged until the cached look-up answers that it replaces have expired and one
/// more window has passed. Callers with a cached answer move late; this way their late movement
/// shares no window with a movement that is admitted after the charge ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShiftLimiter {
    shift: Shift,
    weights: Weights,
    charges: VecDeque<ActiveCharge>,
    now: Time,
}

impl ShiftLimiter {
    /// Creates a limiter with the shares in force: those of a peer, or else the bundle's plan.
    ///
    /// A VM that starts does not know the earlier movements, so the full cap is charged at first.
    pub fn new(shift: Shift, weights: Weights, ttl: Millis, now: Time) -> ShiftLimiter {
        let mut limiter = ShiftLimiter { shift, weights, charges: VecDeque::new(), now };
        let cap = limiter.cap();
        limiter.charge(cap, ttl, ShiftCause::Recovery);
        limiter
    }

    /// Returns the shares in force.
    pub fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Applies the cap and window of a new bundle. Existing charges stay.
    pub fn set_shift(&mut self, shift: Shift) {
        self.shift = shift;
    }

    /// Moves towards `desired` as far as the cap allows. Look-up answers are cached for `ttl`.
    pub fn step(
        &mut self,
        desired: &Weights,
        ttl: Millis,
        cause: ShiftCause,
        now: Time,
    ) -> ShiftStep {
        self.advance(now);
        let moved = self.weights.moved(desired).0;
        if self.weights.0.is_empty() || desired.0.is_empty() {
            // The first region of a service takes no traffic from another one.
            let weights = if desired.0.is_empty() { &self.weights } else { desired };
            self.weights = weights.clone();
            return self.step_result(0, 0);
        }
        let budget = self.free();
        if moved <= budget {
            self.weights = desired.clone();
            self.charge(moved, ttl, cause);
            return self.step_result(moved, 0);
        }
        let next = self.weights.step_toward(desired, budget, moved);
        let made = self.weights.moved(&next).0;
        self.weights = next;
        self.charge(made, ttl, cause);
        self.step_result(made, moved - made)
    }

    /// Charges as much of `moved` as the cap allows now, and returns that amount.
    ///
    /// Look-up answers are cached for `ttl`. This is for code that keeps the shares itself.
    pub fn allow(
        &mut self,
        moved: Millionths,
        ttl: Millis,
        cause: ShiftCause,
        now: Time,
    ) -> Millionths {
        self.advance(now);
        let allowed = moved.0.min(self.free());
        self.charge(allowed, ttl, cause);
        Millionths(allowed)
    }

    /// Charges `weight` of the traffic for one request that is forwarded to another region.
    ///
    /// No answer is cached, so the charge lasts for one window.
    pub fn try_move(
        &mut self,
        from: &RegionId,
        to: &RegionId,
        weight: Millionths,
        now: Time,
    ) -> Result<(), Rejection> {
        self.advance(now);
        if from == to {
            return Ok(());
        }
        if self.free() < weight.0 {
            return Err(self.rejection());
        }
        self.charge(weight.0, Millis::ZERO, ShiftCause::Spill);
        Ok(())
    }

    /// Returns the time until the first charge ends.
    pub fn next_free(&mut self, now: Time) -> Millis {
        self.advance(now);
        self.rejection().retry_after
    }

    /// Returns the current charges by cause.
    pub fn charged(&mut self, now: Time) -> BTreeMap<ShiftCause, Millionths> {
        self.advance(now);
        let mut causes: BTreeMap<ShiftCause, Millionths> = BTreeMap::new();
        for charge in &self.charges {
            let sum = causes.entry(charge.cause).or_default();
            sum.0 = sum.0.saturating_add(charge.amount);
        }
        causes
    }

    fn cap(&self) -> u64 {
        u64::from(self.shift.cap.0).saturating_mul(1000).min(Millionths::WHOLE.0)
    }

    fn free(&self) -> u64 {
        let mut free = self.cap();
        for charge in &self.charges {
            free = free.saturating_sub(charge.amount);
        }
        free
    }

    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        let now = self.now;
        self.charges.retain(|charge| now < charge.until);
    }

    fn charge(&mut self, amount: u64, ttl: Millis, cause: ShiftCause) {
        if amount == 0 {
            return;
        }
        // Rounded up, so that a charge may last longer but never shorter.
        let end = self.now.after(ttl).after(self.shift.window);
        let until =
            Time((end.0 / CHARGE_BUCKET.0).saturating_add(1).saturating_mul(CHARGE_BUCKET.0));
        for charge in &mut self.charges {
            if charge.until == until && charge.cause == cause {
                charge.amount = charge.amount.saturating_add(amount);
                return;
            }
        }
        self.charges.push_back(ActiveCharge { until, amount, cause });
    }

    fn step_result(&self, moved: u64, remaining: u64) -> ShiftStep {
        let rejection = if remaining == 0 { None } else { Some(self.rejection()) };
        let (moved, remaining) = (Millionths(moved), Millionths(remaining));
        ShiftStep { weights: self.weights.clone(), moved, remaining, rejection }
    }

    /// Builds the rejection, to be retried when the first charge ends.
    fn rejection(&self) -> Rejection {
        let mut retry = None;
        for charge in &self.charges {
            let left = charge.until.since(self.now);
            retry = Some(retry.map_or(left, |least: Millis| least.min(left)));
        }
        Rejection { reason: Reason::ShiftCap, retry_after: retry.unwrap_or(self.shift.window) }
    }
}

/// Returns the number of steps for a movement of `moved`, with one window and one TTL between steps.
pub fn count_steps(moved: Millionths, shift: &Shift) -> u64 {
    let cap = u64::from(shift.cap.0).saturating_mul(1000).min(Millionths::WHOLE.0);
    if cap == 0 {
        return if moved.0 == 0 { 0 } else { u64::MAX };
    }
    moved.0.div_ceil(cap)
}
