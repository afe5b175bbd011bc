//! Decides on retries and hedges for each service.

use std::collections::BTreeMap;

use rand::Rng;
use th_protocol::{Millis, ServiceId, Slots, Time};

use super::{
    backoff::backoff,
    budget::RetryBudget,
    decision::{FailedAttempt, RetryDecision, RetryStop, SlowAttempt},
    latency::LatencyWindow,
    settings::RetrySettings,
};

#[derive(Debug, Clone)]
struct Row {
    budget: RetryBudget,
    latency: LatencyWindow,
}

/// Retry budgets and recent latencies of the services at one entry VM.
#[derive(Debug, Clone)]
pub struct RetryPolicy {
    settings: RetrySettings,
    rows: BTreeMap<ServiceId, Row>,
}

impl RetryPolicy {
    /// Creates a policy without any recorded requests.
    pub fn new(settings: RetrySettings) -> RetryPolicy {
        RetryPolicy { settings, rows: BTreeMap::new() }
    }

    /// Counts the first attempt of a request. Forwarded requests are counted only at the entry VM
    /// that received them from the caller.
    pub fn on_first_attempt(&mut self, service: &ServiceId) {
        self.row(service).budget.on_first_attempt();
    }

    /// Records the latency of an answered attempt.
    pub fn on_answer(&mut self, service: &ServiceId, latency: Millis) {
        self.row(service).latency.record(latency);
    }

    /// Removes the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceId) -> bool) {
        self.rows.retain(|service, _| keep(service));
    }

    /// Decides whether to retry after a failed attempt, and takes the retry from the budget.
    pub fn retry(
        &mut self,
        service: &ServiceId,
        failure: &FailedAttempt,
        now: Time,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        if !failure.idempotent && !failure.not_executed {
            return RetryDecision::Stop(RetryStop::MayHaveRun);
        }
        if failure.forwarded {
            return RetryDecision::Stop(RetryStop::Forwarded);
        }
        if self.settings.max_attempts <= failure.attempts {
            return RetryDecision::Stop(RetryStop::MaxAttempts);
        }
        let retry = failure.attempts.saturating_sub(1);
        let wait = backoff(retry, self.settings.base_backoff, self.settings.max_backoff, rng);
        if failure.deadline < now.after(wait).after(failure.expected) {
            return RetryDecision::Stop(RetryStop::Deadline);
        }
        if !self.row(service).budget.try_spend(now) {
            return RetryDecision::Stop(RetryStop::Budget);
        }
        RetryDecision::After(wait)
    }

    /// Decides whether to send a hedge for a slow read, and takes it from the budget.
    pub fn hedge(&mut self, service: &ServiceId, slow: &SlowAttempt, now: Time) -> bool {
        let may_hedge = slow.idempotent && !slow.forwarded && slow.attempts <= 1;
        if !may_hedge || slow.free == Slots::ZERO {
            return false;
        }
        match self.hedge_after(service) {
            Some(wait) if wait < now.since(slow.sent) => self.row(service).budget.try_spend(now),
            _ => false,
        }
    }

    /// Returns how long an attempt may take before a hedge is considered, or `None` while too few
    /// latencies are recorded.
    pub fn hedge_after(&self, service: &ServiceId) -> Option<Millis> {
        let row = self.rows.get(service)?;
        if row.latency.samples() < self.settings.min_samples {
            return None;
        }
        row.latency.quantile(self.settings.hedge_quantile)
    }

    fn row(&mut self, service: &ServiceId) -> &mut Row {
        if !self.rows.contains_key(service) {
            let RetrySettings { budget_share, burst, interval, .. } = self.settings;
            let budget = RetryBudget::new(budget_share, burst, interval);
            self.rows.insert(service.clone(), Row { budget, latency: LatencyWindow::default() });
        }
        self.rows.get_mut(service).expect("the row was just inserted")
    }
}
