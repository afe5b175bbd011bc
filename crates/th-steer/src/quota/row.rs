//! A VM's tokens and use of one organisation's quota.

use std::collections::VecDeque;

use th_protocol::{Millis, OrganisationId, Time};

use super::{Quota, QuotaLimits, UsageEntry};

/// Number of slots in which the admitted requests of a window are counted.
const SLOTS: u64 = 10;
/// Time for which a VM may use tokens after the report that the keeper answered.
pub(super) const LEASE: Millis = Millis(10_000);
/// Time after which an unchanged entry is reported again.
const RENEWAL: Millis = Millis(5_000);
/// Time over which the rate of requests is smoothed.
const SMOOTHING: Millis = Millis(2_000);
/// Change to the rate, as a share of it, that is not reported on its own.
const MAX_CHANGE: f32 = 0.25;
/// Rate below which a VM counts as not asked, in requests a second.
const MIN_ASKED: f32 = 0.05;

#[derive(Debug)]
pub(super) struct Row {
    pub(super) quota: Quota,
    pub(super) tokens: u32,
    /// Time from which the tokens are not used.
    expires: Time,
    /// Admitted requests, by slot of the window.
    slots: VecDeque<(u64, u32)>,
    /// Requests admitted since the last report.
    fresh: u32,
    /// Requests since the last report, admitted or not.
    recent: u32,
    /// When the last report that lists this row was made.
    reported: Time,
    /// Those of them that found no token.
    wanted: u32,
    /// Whether the last answer had no token though one was wanted.
    denied: bool,
    /// Smoothed rate of requests a second.
    pub(super) asked: f32,
    /// The last entry that the keeper answered, and when it was sent.
    answered: Option<(UsageEntry, Time)>,
    /// Tokens from which on the next report is urgent.
    low: u32,
    /// Requests let in and refused since the start.
    pub(super) admitted: u64,
    pub(super) refused: u64,
}

impl Row {
    pub(super) fn new(quota: Quota, now: Time) -> Row {
        Row {
            quota,
            tokens: 0,
            expires: Time::ZERO,
            slots: VecDeque::new(),
            fresh: 0,
            recent: 0,
            reported: now,
            wanted: 0,
            denied: false,
            asked: 0.0,
            answered: None,
            low: 0,
            admitted: 0,
            refused: 0,
        }
    }

    /// Takes a token for a new request; returns whether there was one.
    pub(super) fn take(&mut self, limits: &QuotaLimits, now: Time) -> bool {
        self.recent += 1;
        let admitted = self.take_token(limits, now);
        if !admitted {
            self.refused += 1;
            self.wanted += 1;
        }
        admitted
    }

    /// Takes a token for a request that waited for it; returns whether there was one.
    pub(super) fn take_waiting(&mut self, limits: &QuotaLimits, now: Time) -> bool {
        let admitted = self.take_token(limits, now);
        if admitted {
            self.refused = self.refused.saturating_sub(1);
        }
        admitted
    }

    /// Whether the next answer is likely to bring a token.
    pub(super) fn may_wait(&self) -> bool {
        !self.denied && self.answered.is_some()
    }

    fn take_token(&mut self, limits: &QuotaLimits, now: Time) -> bool {
        self.expire(now);
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        self.fresh += 1;
        self.admitted += 1;
        let slot = slot(limits, now);
        match self.slots.back_mut() {
            Some((last, count)) if *last == slot => *count += 1,
            _ => self.slots.push_back((slot, 1)),
        }
        true
    }

    /// Puts a token back. If its use was already reported, the keeper may have given out another in its place, and it is lost.
    pub(super) fn give_back(&mut self) {
        if self.fresh == 0 {
            return;
        }
        let Some((_, count)) = self.slots.back_mut() else { return };
        *count -= 1;
        if *count == 0 {
            self.slots.pop_back();
        }
        self.fresh -= 1;
        self.tokens += 1;
        self.admitted -= 1;
    }

    fn expire(&mut self, now: Time) {
        if self.expires <= now {
            self.tokens = 0;
        }
    }

    /// Whether the tokens run out before an ordinary report would bring more.
    pub(super) fn is_urgent(&self) -> bool {
        0 < self.recent && self.tokens <= self.low
    }

    /// Requests admitted in the last window.
    fn used(&mut self, limits: &QuotaLimits, now: Time) -> u32 {
        let current = slot(limits, now);
        while self.slots.front().is_some_and(|(it, _)| it + SLOTS < current) {
            self.slots.pop_front();
        }
        self.slots.iter().map(|(_, count)| count).sum()
    }

    /// Starts a report, for the requests since the last one.
    pub(super) fn entry(
        &mut self,
        id: &OrganisationId,
        limits: &QuotaLimits,
        now: Time,
    ) -> UsageEntry {
        self.expire(now);
        let span = now.since(self.reported).0.max(1) as f32;
        self.reported = now;
        let rate = self.recent as f32 * 1_000.0 / span;
        let weight = 1.0 - (-span / SMOOTHING.0 as f32).exp();
        self.asked += (rate - self.asked) * weight;
        if self.asked < MIN_ASKED {
            self.asked = 0.0;
        }
        (self.recent, self.fresh) = (0, 0);
        UsageEntry {
            wanted: std::mem::take(&mut self.wanted),
            id: id.clone(),
            used: self.used(limits, now),
            tokens: self.tokens,
            asked: self.asked,
        }
    }

    /// Whether a report may leave an entry out.
    pub(super) fn is_known(&self, entry: &UsageEntry, now: Time) -> bool {
        let Some((known, sent)) = &self.answered else { return false };
        let is_same = (known.used, known.tokens, 0) == (entry.used, entry.tokens, entry.wanted);
        let change = (known.asked - entry.asked).abs();
        now < sent.after(RENEWAL) && is_same && change <= known.asked.max(entry.asked) * MAX_CHANGE
    }

    /// Time since the last report that the keeper answered.
    pub(super) fn age(&self, now: Time) -> Option<Millis> {
        self.answered.as_ref().map(|(_, sent)| now.since(*sent))
    }

    /// Handles the keeper's answer to an entry.
    pub(super) fn on_answer(&mut self, entry: UsageEntry, sent: Time, change: i32, now: Time) {
        self.expire(now);
        self.expires = sent.after(LEASE);
        self.tokens = self.tokens.saturating_add_signed(change);
        self.low = self.tokens / 2;
        if 0 < entry.wanted || 0 < change {
            self.denied = change <= 0;
        }
        let tokens = entry.tokens.saturating_add_signed(change);
        self.answered = Some((UsageEntry { tokens, ..entry }, sent));
    }

    /// Forgets what the keeper knows, since another one is asked.
    pub(super) fn forget_answer(&mut self) {
        self.answered = None;
    }
}

fn slot(limits: &QuotaLimits, now: Time) -> u64 {
    now.0 * SLOTS / limits.window.0.max(1)
}
