//! Merges the answers of entry VMs into one report.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use th_protocol::{BackendId, Millis, Permille, ServiceId, VmId};

use crate::{
    answer::{BurnAnswer, Headroom, Point, Scope, Series},
    burn::{Alert, BurnRate, alert, burn_rate},
    sample::{Count, Measure},
    window::Window,
};

/// The burn of one service and measure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: ServiceId,
    /// The objective that the counts are about.
    pub measure: Measure,
    /// Share of events that must be good; the highest where VMs differ.
    pub objective: Permille,
    /// Counts in each window.
    pub counts: BTreeMap<Window, Count>,
    /// Burn rate in each window. Windows without events are left out.
    pub burns: BTreeMap<Window, BurnRate>,
    /// The alert level.
    pub alert: Alert,
    /// Counts of the last six hours in slots of five minutes, the oldest first.
    pub history: Vec<Point>,
}

/// Drain times of all backend servers that have drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainSummary {
    /// Number of backend servers that became idle.
    pub count: usize,
    /// Median of the drain times.
    pub p50: Millis,
    /// The longest drain time.
    pub max: Millis,
}

/// The report over all entry VMs that answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// VMs that answered.
    pub vms: Vec<VmId>,
    /// Addresses that did not answer.
    pub silent: Vec<String>,
    /// Share of each window for which the queried VMs have counts. The counts of a VM are lost when
    /// the VM is replaced.
    pub coverage: BTreeMap<Window, Permille>,
    /// Samples that the VMs dropped because the limit on series or scopes was reached.
    pub dropped: u64,
    /// Burn of each service and measure.
    pub rows: Vec<Row>,
    /// The lowest headroom that any VM saw, with the age of the latest sample.
    pub headroom: Vec<Headroom>,
    /// Drain times, if there was a drain.
    pub drains: Option<DrainSummary>,
}

impl Report {
    /// Merges `answers` into a report. `silent` are the addresses that did not answer.
    pub fn merge(answers: &[BurnAnswer], silent: &[String]) -> Report {
        let mut rows = BTreeMap::new();
        for answer in answers {
            for series in &answer.series {
                add_series(&mut rows, series);
            }
        }
        Report {
            vms: answers.iter().map(|it| it.vm.clone()).collect(),
            silent: silent.to_vec(),
            coverage: Window::ALL.map(|it| (it, coverage(it, answers, silent.len()))).into(),
            dropped: answers.iter().map(|it| it.dropped).sum(),
            rows: rows.into_values().map(add_burn_rates).collect(),
            headroom: merge_headroom(answers),
            drains: merge_drains(answers),
        }
    }

    /// Returns the highest alert level of all rows.
    pub fn highest_alert(&self) -> Alert {
        self.rows.iter().map(|it| it.alert).max().unwrap_or(Alert::NoData)
    }
}

fn add_series(rows: &mut BTreeMap<(ServiceId, Measure), Row>, series: &Series) {
    let key = (series.service.clone(), series.measure);
    let row = rows.entry(key).or_insert_with(|| Row {
        service: series.service.clone(),
        measure: series.measure,
        objective: series.objective,
        counts: BTreeMap::new(),
        burns: BTreeMap::new(),
        alert: Alert::NoData,
        history: Vec::new(),
    });
    row.objective = row.objective.max(series.objective);
    for (window, count) in &series.windows {
        let sum = row.counts.entry(*window).or_default();
        *sum = sum.plus(*count);
    }
    for point in &series.history {
        match row.history.iter_mut().find(|it| it.ago == point.ago) {
            Some(it) => it.count = it.count.plus(point.count),
            None => row.history.push(*point),
        }
    }
}

fn add_burn_rates(mut row: Row) -> Row {
    for (window, count) in &row.counts {
        if let Some(rate) = burn_rate(*count, row.objective) {
            row.burns.insert(*window, rate);
        }
    }
    row.alert = alert(&row.burns);
    row.history.sort_by_key(|it| std::cmp::Reverse(it.ago));
    row
}

fn coverage(window: Window, answers: &[BurnAnswer], silent: usize) -> Permille {
    let length = window.length().0;
    let vms = (answers.len() + silent) as u64;
    if vms == 0 {
        return Permille::ZERO;
    }
    let counted: u64 = answers.iter().map(|it| it.age.0.min(length)).sum();
    Permille((counted * 1000 / (length * vms)) as u32)
}

fn merge_headroom(answers: &[BurnAnswer]) -> Vec<Headroom> {
    let mut merged = BTreeMap::<&Scope, Headroom>::new();
    for it in answers.iter().flat_map(|answer| &answer.headroom) {
        let Some(known) = merged.get_mut(&it.scope) else {
            merged.insert(&it.scope, it.clone());
            continue;
        };
        known.low = known.low.min(it.low);
        if it.age < known.age {
            known.last = it.last;
            known.age = it.age;
        }
    }
    merged.into_values().collect()
}

/// Summarises the drains. A backend server has drained once the last entry VM has no request in
/// flight there, so its longest drain time counts.
fn merge_drains(answers: &[BurnAnswer]) -> Option<DrainSummary> {
    let mut longest = BTreeMap::<(&ServiceId, &BackendId), Millis>::new();
    for it in answers.iter().flat_map(|answer| &answer.drains) {
        let took = longest.entry((&it.service, &it.backend)).or_default();
        *took = it.took.max(*took);
    }
    let mut times: Vec<_> = longest.into_values().collect();
    times.sort();
    let max = *times.last()?;
    let p50 = times[(times.len() - 1) / 2];
    Some(DrainSummary { count: times.len(), p50, max })
}
