//! Health of one backend server. Outcomes of own requests take precedence over load reports and
//! failed probes.

use th_protocol::{LoadReport, Millis, Permille, Time};

use super::Outcome;

/// Settings of ejection, slow start and backoff.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthSettings {
    /// Consecutive failures after which a server is ejected.
    pub failure_limit: u32,
    /// Length of the first ejection; each further one is twice as long.
    pub base_ejection: Millis,
    /// Upper limit of an ejection and of a backoff, also one that the server requests.
    pub max_delay: Millis,
    /// Time until a server in slow start gets its full share of requests.
    pub slow_start: Millis,
    /// Share of its slots that a server gets at the beginning of its slow start.
    pub initial_share: Permille,
    /// Backoff after a server shed a request without a retry hint; doubles with each consecutive
    /// one.
    pub base_backoff: Millis,
    /// Own outcomes younger than this take precedence over load reports, stalls and failed probes;
    /// load reports older than this are ignored, and latencies count half for each such time.
    pub outcome_validity: Millis,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            failure_limit: 3,
            base_ejection: Millis(1_000),
            max_delay: Millis(60_000),
            slow_start: Millis(10_000),
            initial_share: Permille(250),
            base_backoff: Millis(50),
            outcome_validity: Millis(2_000),
        }
    }
}

/// Observed health of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    settings: HealthSettings,
    latency: Option<Millis>,
    /// When `latency` was last measured, or the server was added.
    measured: Time,
    last_outcome: Option<Time>,
    last_report: Option<(LoadReport, Time)>,
    failures: u32,
    ejections: u32,
    sheds: u32,
    ejected_until: Option<Time>,
    backoff_until: Option<Time>,
    cold_since: Option<Time>,
}

/// Inverse of the weight of the newest latency in the moving average.
const LATENCY_DIVISOR: u64 = 5;
/// Ejections and backoffs are doubled at most this many times.
const MAX_DOUBLINGS: u32 = 10;

impl Health {
    /// Creates the health of a newly added server, which starts cold.
    pub fn new(settings: HealthSettings, now: Time) -> Health {
        Health {
            settings,
            latency: None,
            measured: now,
            last_outcome: None,
            last_report: None,
            failures: 0,
            ejections: 0,
            sheds: 0,
            ejected_until: None,
            backoff_until: None,
            cold_since: Some(now),
        }
    }

    /// Creates the health of a server that was in use before this VM knew it, and that gets its
    /// full share at once.
    pub fn warm(settings: HealthSettings, now: Time) -> Health {
        Health { cold_since: None, ..Health::new(settings, now) }
    }

    /// Applies the outcome of an own request.
    pub fn on_outcome(&mut self, outcome: Outcome, latency: Millis, now: Time) {
        if outcome == Outcome::Cancelled {
            return;
        }
        self.last_outcome = Some(now);
        if let Outcome::Shed(hint) = outcome {
            self.back_off(hint, now);
            return;
        }
        self.update_latency(latency, now);
        if outcome.is_failure() {
            self.record_failure(now);
            return;
        }
        self.sheds = 0;
        self.failures = 0;
        if self.warm_share(now) == Permille::WHOLE {
            self.ejections = 0;
        }
    }

    /// Records that a connection stalled, which counts as a failure unless there is a recent own
    /// outcome.
    pub fn on_stall(&mut self, now: Time) {
        if !self.has_recent_outcome(now) {
            self.record_failure(now);
        }
    }

    /// Records a load report.
    pub fn on_report(&mut self, report: LoadReport, now: Time) {
        self.last_report = Some((report, now));
    }

    /// Applies the result of a probe of the health endpoint. A passed probe returns an ejected
    /// server to service with a slow start, and a failed one extends its ejection. For any other
    /// server, a failed probe counts as a failure unless there is a recent own outcome.
    pub fn on_probe(&mut self, passed: bool, now: Time) {
        if self.ejected_until.is_some() {
            if passed {
                self.ejected_until = None;
                self.failures = 0;
                self.cold_since = Some(now);
            } else {
                self.eject(now);
            }
            return;
        }
        if !passed && !self.has_recent_outcome(now) {
            self.record_failure(now);
        }
    }

    /// Returns when the ejection period ends, or `None` if the server is not ejected. After that
    /// time it is probed, and it stays ejected until a probe passes.
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns when the current backoff ends, if there is one.
    pub fn backoff_until(&self, now: Time) -> Option<Time> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Returns whether the server is in a backoff period, in which it gets no requests.
    pub fn is_backing_off(&self, now: Time) -> bool {
        self.backoff_until(now).is_some()
    }

    /// Returns the age of the last own outcome.
    pub fn outcome_age(&self, now: Time) -> Option<Millis> {
        Some(now.since(self.last_outcome?))
    }

    /// Returns the moving average of own latencies.
    pub fn latency(&self) -> Option<Millis> {
        self.latency
    }

    /// Returns how often the latency is halved for its age, so that a server without requests becomes
    /// cheap enough to get one, the sooner the faster it was.
    pub(crate) fn latency_halvings(&self, now: Time) -> u32 {
        let age = now.since(self.measured);
        let halvings = age.0 / self.settings.outcome_validity.0.max(1);
        halvings.min(u64::from(u64::BITS - 1)) as u32
    }

    /// Returns the share of its slots that may be used, which is lower during slow start.
    pub fn warm_share(&self, now: Time) -> Permille {
        let Some(start) = self.cold_since else { return Permille::WHOLE };
        let (elapsed, slow_start) = (now.since(start), self.settings.slow_start);
        if slow_start <= elapsed {
            return Permille::WHOLE;
        }
        let floor = self.settings.initial_share.0.min(1000);
        let added = u64::from(1000 - floor) * elapsed.0 / slow_start.0;
        Permille(floor + added as u32)
    }

    /// Returns the share of busy slots in the last load report, unless that is too old or there is
    /// a recent own outcome.
    pub fn reported_load(&self, now: Time) -> Option<Permille> {
        if self.has_recent_outcome(now) {
            return None;
        }
        let (report, at) = self.last_report.as_ref()?;
        if self.settings.outcome_validity < now.since(*at) || report.slots.0 == 0 {
            return None;
        }
        let share = u64::from(report.busy.0) * 1000 / u64::from(report.slots.0);
        Some(Permille(share.min(1000) as u32))
    }

    fn has_recent_outcome(&self, now: Time) -> bool {
        self.outcome_age(now).is_some_and(|age| age <= self.settings.outcome_validity)
    }

    fn update_latency(&mut self, latency: Millis, now: Time) {
        let is_stale = 0 < self.latency_halvings(now);
        self.measured = now;
        let Some(old) = self.latency.filter(|_| !is_stale) else {
            self.latency = Some(latency);
            return;
        };
        let sum = old.0.saturating_mul(LATENCY_DIVISOR - 1).saturating_add(latency.0);
        self.latency = Some(Millis(sum.div_ceil(LATENCY_DIVISOR)));
    }

    fn record_failure(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        if self.settings.failure_limit <= self.failures && self.ejected_until.is_none() {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Time) {
        let span =
            doubled(self.settings.base_ejection, self.ejections).min(self.settings.max_delay);
        self.ejected_until = Some(now.after(span));
        self.ejections = self.ejections.saturating_add(1);
    }

    fn back_off(&mut self, hint: Option<Millis>, now: Time) {
        let span = hint.unwrap_or_else(|| doubled(self.settings.base_backoff, self.sheds));
        let until = now.after(span.min(self.settings.max_delay));
        self.backoff_until = Some(self.backoff_until.map_or(until, |old| old.max(until)));
        self.sheds = self.sheds.saturating_add(1);
    }
}

fn doubled(span: Millis, times: u32) -> Millis {
    Millis(span.0.saturating_mul(1 << times.min(MAX_DOUBLINGS)))
}
