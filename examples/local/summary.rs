//! The figures of a run, and the invariants that they violate.

use std::collections::BTreeMap;

use eyre::Result;
use serde::Serialize;
use th_operator::EntryClient;
use th_testing::{CallOutcome, Deployment, Records};

use crate::disruptions::{Disruptions, IN_FORCE_LIMIT};

/// Time after which a leaving backend server must get no new work, in seconds.
const NEW_WORK_LIMIT_S: f64 = 5.0;

/// The figures of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    requests: u64,
    answered: u64,
    lost: u64,
    doubled: u64,
    wrong_answers: u64,
    false_not_run: u64,
    cut_in_flight: u64,
    unknown: u64,
    refused: u64,
    broken: u64,
    overruns: u64,
    p50_ms: u64,
    p99_ms: u64,
    min_headroom: f64,
    drain_s: f64,
    drain_new_work_s: f64,
    bundle_in_force_s: f64,
    store_writes_s: f64,
    store_reads_s: f64,
    lookups: u64,
    reasons: BTreeMap<&'static str, u64>,
}

impl Summary {
    /// Counts requests and their outcomes from the run log and the callers' records, not from reports of the entry
    /// processes.
    pub(crate) async fn new(
        deployment: &Deployment,
        records: &Records,
        disruptions: &Disruptions,
    ) -> Result<Summary> {
        let audit = records.audit(&deployment.run_log);
        let seconds = deployment.now().since(disruptions.began).0 as f64 / 1_000.0;
        let calls = deployment.platform.call_counts();
        let (min_headroom, drain_s) = query_entries(deployment).await?;
        Ok(Summary {
            requests: audit.requests,
            answered: audit.answered,
            lost: audit.lost,
            doubled: audit.doubled,
            wrong_answers: audit.wrong,
            false_not_run: audit.false_not_run,
            cut_in_flight: u64::from(disruptions.cut) + cut_by_stop(records, disruptions),
            unknown: audit.unknown,
            refused: audit.refused,
            broken: audit.broken,
            overruns: deployment.run_log.overruns(),
            p50_ms: records.quantile(0.5).0,
            p99_ms: records.quantile(0.99).0,
            min_headroom,
            drain_s,
            drain_new_work_s: last_new_work(deployment, disruptions),
            bundle_in_force_s: disruptions.roll_seconds.iter().copied().fold(0.0, f64::max),
            store_writes_s: calls.writes as f64 / seconds,
            store_reads_s: calls.reads as f64 / seconds,
            lookups: records.lookups(),
            reasons: audit.reasons,
        })
    }

    /// Returns a line for each violated invariant.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let must_be_zero = [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("wrong_answers", self.wrong_answers),
            ("false_not_run", self.false_not_run),
            ("cut_in_flight", self.cut_in_flight),
            ("overruns", self.overruns),
        ];
        for (name, count) in must_be_zero {
            if count != 0 {
                violations.push(format!("{name} is {count}"));
            }
        }
        if NEW_WORK_LIMIT_S < self.drain_new_work_s {
            violations.push(format!("new work {} s after the drain", self.drain_new_work_s));
        }
        if IN_FORCE_LIMIT.0 as f64 / 1_000.0 < self.bundle_in_force_s {
            violations.push(format!("a bundle in force after {} s", self.bundle_in_force_s));
        }
        if self.answered == 0 {
            violations.push("nothing was answered".to_owned());
        }
        violations
    }
}

/// Counts the requests that were lost with their connection to the entry VM that was stopped as planned.
fn cut_by_stop(records: &Records, disruptions: &Disruptions) -> u64 {
    let mut cut = 0;
    for record in records.all() {
        let Some((last, earlier)) = record.entry_vms.split_last() else {
            continue;
        };
        // An idempotent request that was retried through another entry VM lost nothing, so it is not counted.
        let no_answer =
            record.outcome == CallOutcome::NoAnswer && *last == disruptions.stopped_entry;
        let unknown = !record.idempotent
            && earlier.contains(&disruptions.stopped_entry)
            && !matches!(record.outcome, CallOutcome::Answered);
        cut += u64::from(no_answer || unknown);
    }
    cut
}

/// Returns the seconds from the roll that drains a server until that server last got new work.
fn last_new_work(deployment: &Deployment, disruptions: &Disruptions) -> f64 {
    let (backend, rolled) = &disruptions.drained;
    let mut last = 0;
    for run in deployment.run_log.runs() {
        if run.server == backend.as_str() {
            last = last.max(run.began.since(*rolled).0);
        }
    }
    last as f64 / 1_000.0
}

/// Returns the lowest headroom and the longest drain, in seconds, that any entry process reports.
async fn query_entries(deployment: &Deployment) -> Result<(f64, f64)> {
    let (mut headroom, mut drain) = (1.0_f64, 0.0_f64);
    for address in deployment.callers() {
        let answer = EntryClient::new(&address.to_string()).burn().await?;
        for it in &answer.headroom {
            headroom = headroom.min(f64::from(it.low.0) / 1_000.0);
        }
        for it in &answer.drains {
            drain = drain.max(it.took.0 as f64 / 1_000.0);
        }
    }
    Ok((headroom, drain))
}
