//! The limiter that every movement of a service's traffic between regions passes.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Reason, RegionId, Shift, Time};

/// Why something is not allowed now, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The limit that binds.
    pub reason: Reason,
    /// Time until another try may pass.
    #[serde(rename = "retry")]
    pub retry_after: Millis,
}

/// Millionths of a service's traffic.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millionths(pub u64);

impl Millionths {
    /// All of the traffic.
    pub const WHOLE: Millionths = Millionths(1_000_000);
}

/// Movements of so long a time are charged as one, which bounds the memory.
const CHARGE_BUCKET: Millis = Millis(100);

/// The share of a service's traffic that goes to each region. Shares sum up to the whole, unless
/// there is no region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Weights(BTreeMap<RegionId, u64>);

impl Weights {
    /// Scales relative weights to shares of the whole.
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

    /// The share of a region.
    pub fn get(&self, region: &RegionId) -> Millionths {
        Millionths(self.0.get(region).copied().unwrap_or(0))
    }

    /// Regions and their shares.
    pub fn iter(&self) -> impl Iterator<Item = (&RegionId, Millionths)> {
        self.0.iter().map(|(region, share)| (region, Millionths(*share)))
    }

    /// How much traffic moves from these shares to `next`.
    pub fn moved(&self, next: &Weights) -> Millionths {
        let mut gains = 0;
        for (region, share) in next.iter() {
            gains += share.0.saturating_sub(self.get(region).0);
        }
        Millionths(gains)
    }

    /// Shares on the straight way to `next` that move at most `budget` of `moved`.
    fn toward(&self, next: &Weights, budget: u64, moved: u64) -> Weights {
        let mut shares = self.0.clone();
        let scale = |span: u64| (u128::from(span) * u128::from(budget) / u128::from(moved)) as u64;
        let mut gained = 0;
        for (region, share) in next.iter() {
            let gain = scale(share.0.saturating_sub(self.get(region).0));
            *shares.entry(region.clone()).or_default() += gain;
            gained += gain;
        }
        // Losses round up in turn until they meet the gains.
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

/// Why traffic moves. All causes share one cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShiftCause {
    /// The bundle says so.
    Bundle,
    /// A region or data centre failed.
    Failure,
    /// A region is short of headroom.
    Spill,
    /// A region is back.
    Recovery,
}

/// What may move now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The shares that are in force from now on.
    pub weights: Weights,
    /// What moves with this step.
    pub moved: Millionths,
    /// What has still to move.
    pub remaining: Millionths,
    /// Why the rest waits, and for how long.
    pub rejection: Option<Rejection>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Charged {
    until: Time,
    amount: u64,
    cause: ShiftCause,
}

/// The limiter of one service at one entry VM.
///
/// A movement is charged until the cached answers that it replaces have ended and one window has
/// passed. Then whatever part of the movement callers made late is in no window with a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShiftLimiter {
    shift: Shift,
    weights: Weights,
    charged: VecDeque<Charged>,
    now: Time,
}

impl ShiftLimiter {
    /// Starts with the shares in force: those of a peer, or else the bundle's plan.
    ///
    /// A VM that starts knows nothing of earlier movements, so one whole cap counts as used.
    pub fn new(shift: Shift, weights: Weights, ttl: Millis, now: Time) -> ShiftLimiter {
        let mut limiter = ShiftLimiter { shift, weights, charged: VecDeque::new(), now };
        let cap = limiter.cap();
        limiter.charge(cap, ttl, ShiftCause::Recovery);
        limiter
    }

    /// The shares in force.
    pub fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Takes a new bundle's cap over. What is charged stays charged.
    pub fn set_shift(&mut self, shift: Shift) {
        self.shift = shift;
    }

    /// Moves toward `desired` as far as the cap allows; answers are cached for `ttl`.
    pub fn step(&mut self, desired: &Weights, ttl: Millis, cause: ShiftCause, now: Time) -> Step {
        self.advance(now);
        let moved = self.weights.moved(desired).0;
        if self.weights.0.is_empty() || desired.0.is_empty() {
            // The first region of a service takes nothing from another.
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
        let next = self.weights.toward(desired, budget, moved);
        let made = self.weights.moved(&next).0;
        self.weights = next;
        self.charge(made, ttl, cause);
        self.step_result(made, moved - made)
    }

    /// Lets as much of `moved` move as the cap allows now, and charges it; answers are cached for
    /// `ttl`. For callers that keep the shares themselves.
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

    /// Lets `weight` of the traffic move between two regions for one request that is forwarded.
    /// Nothing is cached, so it is charged for one window.
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

    /// Until some of what is charged is free again.
    pub fn next_free(&mut self, now: Time) -> Millis {
        self.advance(now);
        self.rejection().retry_after
    }

    /// What is charged now, by cause.
    pub fn charged(&mut self, now: Time) -> BTreeMap<ShiftCause, Millionths> {
        self.advance(now);
        let mut causes: BTreeMap<ShiftCause, Millionths> = BTreeMap::new();
        for charged in &self.charged {
            let sum = causes.entry(charged.cause).or_default();
            sum.0 = sum.0.saturating_add(charged.amount);
        }
        causes
    }

    fn cap(&self) -> u64 {
        u64::from(self.shift.cap.0).saturating_mul(1000).min(Millionths::WHOLE.0)
    }

    fn free(&self) -> u64 {
        let mut free = self.cap();
        for charged in &self.charged {
            free = free.saturating_sub(charged.amount);
        }
        free
    }

    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        let now = self.now;
        self.charged.retain(|charged| now < charged.until);
    }

    fn charge(&mut self, amount: u64, ttl: Millis, cause: ShiftCause) {
        if amount == 0 {
            return;
        }
        // Rounded up to the bucket's end: a charge may last longer, never shorter.
        let end = self.now.after(ttl).after(self.shift.window);
        let until =
            Time((end.0 / CHARGE_BUCKET.0).saturating_add(1).saturating_mul(CHARGE_BUCKET.0));
        for charged in &mut self.charged {
            if charged.until == until && charged.cause == cause {
                charged.amount = charged.amount.saturating_add(amount);
                return;
            }
        }
        self.charged.push_back(Charged { until, amount, cause });
    }

    fn step_result(&self, moved: u64, remaining: u64) -> Step {
        let rejection = if remaining == 0 { None } else { Some(self.rejection()) };
        let (moved, remaining) = (Millionths(moved), Millionths(remaining));
        Step { weights: self.weights.clone(), moved, remaining, rejection }
    }

    /// Comes back when the first charge ends.
    fn rejection(&self) -> Rejection {
        let mut retry = None;
        for charged in &self.charged {
            let left = charged.until.since(self.now);
            retry = Some(retry.map_or(left, |least: Millis| least.min(left)));
        }
        Rejection { reason: Reason::ShiftCap, retry_after: retry.unwrap_or(self.shift.window) }
    }
}

/// Steps that a movement of `moved` takes, each a window and a TTL after the last.
pub fn count_steps(moved: Millionths, shift: &Shift) -> u64 {
    let cap = u64::from(shift.cap.0).saturating_mul(1000).min(Millionths::WHOLE.0);
    if cap == 0 {
        return if moved.0 == 0 { 0 } else { u64::MAX };
    }
    moved.0.div_ceil(cap)
}
