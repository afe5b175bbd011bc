//! The health of one backend server: own outcomes before reports, reports before probes.

use th_protocol::{LoadReport, Millis, Permille, Time};

use super::Outcome;

/// Bounds for health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthSettings {
    /// Failures in a row that eject.
    pub failures: u32,
    /// The first ejection's length; each further one is twice as long.
    pub ejection: Millis,
    /// The longest ejection.
    pub longest: Millis,
    /// Time from a return until the full share.
    pub ramp: Millis,
    /// Share of the slots at the start of the ramp.
    pub floor: Permille,
    /// Rest after a refusal that gave no hint; doubles with each in a row.
    pub rest: Millis,
    /// Own outcomes younger than this outvote load reports.
    pub trust: Millis,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            failures: 3,
            ejection: Millis(1_000),
            longest: Millis(60_000),
            ramp: Millis(10_000),
            floor: Permille(250),
            rest: Millis(50),
            trust: Millis(2_000),
        }
    }
}

/// What is known of one backend server's health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    settings: HealthSettings,
    latency: Option<Millis>,
    outcome: Option<Time>,
    report: Option<(LoadReport, Time)>,
    failures: u32,
    ejections: u32,
    sheds: u32,
    ejected: Option<Time>,
    resting: Option<Time>,
    warm: Option<Time>,
}

/// Weight of the newest latency in the moving average, as a divisor.
const LATENCY_DIVISOR: u64 = 5;
/// The largest power of two by which ejections and rests grow.
const DOUBLINGS: u32 = 10;

impl Health {
    /// A server that is not known yet; it starts cold.
    pub fn new(settings: HealthSettings, now: Time) -> Health {
        Health {
            settings,
            latency: None,
            outcome: None,
            report: None,
            failures: 0,
            ejections: 0,
            sheds: 0,
            ejected: None,
            resting: None,
            warm: Some(now),
        }
    }

    /// A server that has been in use before this VM knew it; it is given its whole share at once.
    pub fn in_use(settings: HealthSettings, now: Time) -> Health {
        Health { warm: None, ..Health::new(settings, now) }
    }

    /// Takes the outcome of an own request.
    pub fn on_outcome(&mut self, outcome: Outcome, latency: Millis, now: Time) {
        if outcome == Outcome::Cancelled {
            return;
        }
        self.outcome = Some(now);
        if let Outcome::Shed(hint) = outcome {
            self.rest(hint, now);
            return;
        }
        self.learn(latency);
        if outcome.is_failure() {
            self.fail(now);
            return;
        }
        self.sheds = 0;
        self.failures = 0;
        if self.warm_share(now) == Permille::WHOLE {
            self.ejections = 0;
        }
    }

    /// Notes that a connection went silent, which counts as a failure where no own outcome
    /// outvotes it.
    pub fn on_stall(&mut self, now: Time) {
        if !self.has_own_word(now) {
            self.fail(now);
        }
    }

    /// Takes a load report.
    pub fn on_report(&mut self, report: LoadReport, now: Time) {
        self.report = Some((report, now));
    }

    /// Takes the result of a probe of the health endpoint. A good one brings an ejected server
    /// back to a slow start; a bad one counts only where no own outcome outvotes it.
    pub fn on_probe(&mut self, good: bool, now: Time) {
        if self.ejected.is_some() {
            if good {
                self.ejected = None;
                self.failures = 0;
                self.warm = Some(now);
            } else {
                self.eject(now);
            }
            return;
        }
        if !good && !self.has_own_word(now) {
            self.fail(now);
        }
    }

    /// When the ejection's time is over; the server then waits for a good probe.
    pub fn ejected(&self) -> Option<Time> {
        self.ejected
    }

    /// Until when it asked for a rest, if that still lasts.
    pub fn backoff_until(&self, now: Time) -> Option<Time> {
        self.resting.filter(|until| now < *until)
    }

    /// Whether it asked for a rest that still lasts.
    pub fn resting(&self, now: Time) -> bool {
        self.backoff_until(now).is_some()
    }

    /// Age of the last own outcome.
    pub fn outcome_age(&self, now: Time) -> Option<Millis> {
        Some(now.since(self.outcome?))
    }

    /// The moving average of own latencies.
    pub fn latency(&self) -> Option<Millis> {
        self.latency
    }

    /// The share of its slots that a server in slow start is given.
    pub fn warm_share(&self, now: Time) -> Permille {
        let Some(start) = self.warm else { return Permille::WHOLE };
        let (gone, ramp) = (now.since(start), self.settings.ramp);
        if ramp <= gone {
            return Permille::WHOLE;
        }
        let floor = self.settings.floor.0.min(1000);
        let grown = u64::from(1000 - floor) * gone.0 / ramp.0;
        Permille(floor + grown as u32)
    }

    /// The busy share by the last report, where no own outcome outvotes it.
    pub fn reported_load(&self, now: Time) -> Option<Permille> {
        if self.has_own_word(now) {
            return None;
        }
        let (report, at) = self.report.as_ref()?;
        if self.settings.trust < now.since(*at) || report.slots.0 == 0 {
            return None;
        }
        let share = u64::from(report.busy.0) * 1000 / u64::from(report.slots.0);
        Some(Permille(share.min(1000) as u32))
    }

    fn has_own_word(&self, now: Time) -> bool {
        self.outcome_age(now).is_some_and(|age| age <= self.settings.trust)
    }

    fn learn(&mut self, latency: Millis) {
        let Some(old) = self.latency else {
            self.latency = Some(latency);
            return;
        };
        let sum = old.0.saturating_mul(LATENCY_DIVISOR - 1).saturating_add(latency.0);
        self.latency = Some(Millis(sum.div_ceil(LATENCY_DIVISOR)));
    }

    fn fail(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        if self.settings.failures <= self.failures && self.ejected.is_none() {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Time) {
        let span = doubled(self.settings.ejection, self.ejections).min(self.settings.longest);
        self.ejected = Some(now.after(span));
        self.ejections = self.ejections.saturating_add(1);
    }

    fn rest(&mut self, hint: Option<Millis>, now: Time) {
        let span = hint.unwrap_or_else(|| doubled(self.settings.rest, self.sheds));
        let until = now.after(span.min(self.settings.longest));
        self.resting = Some(self.resting.map_or(until, |old| old.max(until)));
        self.sheds = self.sheds.saturating_add(1);
    }
}

fn doubled(span: Millis, times: u32) -> Millis {
    Millis(span.0.saturating_mul(1 << times.min(DOUBLINGS)))
}
