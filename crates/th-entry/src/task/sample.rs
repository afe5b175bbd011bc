//! Copies the engine's state into metrics and the burn report.

use std::sync::Arc;

use rustix::time::{ClockId, clock_gettime};
use th_platform::CallKind;
use th_protocol::{Millis, Permille, Reason, Slo, Verdict};
use th_report::{Measure, Scope};
use th_steer::engine::View;

use crate::entry::Entry;

/// Updates all gauges and the burn report.
pub(crate) fn sample(entry: &Arc<Entry>) {
    let (view, version, age) = entry.with_engine(|engine, now| {
        let version = engine.bundle().map_or(0, |it| it.version.0);
        (engine.view(now), version, engine.age(now))
    });
    set_gauges(entry, &view, version, age);
    set_store_calls(entry);
    record_headroom(entry, &view);
    record_drains(entry, &view);
    entry.record_counts();
}

fn set_gauges(entry: &Entry, view: &View, version: u64, age: Millis) {
    let state = &entry.metrics.state;
    let cpu = clock_gettime(ClockId::ProcessCPUTime);
    let numbers = [
        ("bundle_version", version as f64),
        ("bundle_age_seconds", seconds(age)),
        ("waiting", view.waiting as f64),
        ("operations", view.operations as f64),
        ("ticket_bytes", view.tickets.0 as f64),
        ("members", view.members as f64),
        ("busy_slots", f64::from(view.busy.0)),
        ("draining", view.draining as f64),
        ("in_flight", f64::from(entry.in_flight.count())),
        ("cpu_seconds", cpu.tv_sec as f64 + cpu.tv_nsec as f64 / 1e9),
    ];
    for (name, value) in numbers {
        state.with_label_values(&[name]).set(value);
    }
    for (region, (free, age)) in &view.headroom {
        let labels = ["region", region.as_str()];
        entry.metrics.headroom.with_label_values(&labels).set(ratio(*free));
        entry.metrics.headroom_age.with_label_values(&labels).set(seconds(*age));
    }
    for (link, free) in &view.links {
        let labels = ["link", link.as_str()];
        entry.metrics.headroom.with_label_values(&labels).set(ratio(*free));
        entry.metrics.headroom_age.with_label_values(&labels).set(0.0);
    }
}

fn set_store_calls(entry: &Entry) {
    for kind in CallKind::ALL {
        let name = kind.to_string();
        let store = &entry.metrics.store;
        store.with_label_values(&[name.as_str(), "made"]).set(entry.store_calls.made(*kind) as f64);
        store
            .with_label_values(&[name.as_str(), "failed"])
            .set(entry.store_calls.failed(*kind) as f64);
    }
}

fn record_headroom(entry: &Entry, view: &View) {
    let now = entry.now();
    let mut burn = entry.burn();
    for (region, (free, _)) in &view.headroom {
        burn.record_headroom(&Scope::Region(region.clone()), *free, now);
    }
    for (link, free) in &view.links {
        burn.record_headroom(&Scope::Link(link.clone()), *free, now);
    }
    drop(burn);
    let Some(bundle) = entry.with_engine(|engine, _| engine.bundle().cloned()) else {
        return;
    };
    for (id, service) in &bundle.services {
        let mut lowest = Permille::WHOLE;
        for region in service.regions.keys() {
            if let Some((free, _)) = view.headroom.get(region) {
                lowest = lowest.min(*free);
            }
        }
        entry.count_event(id, Measure::Headroom, service.slo.headroom <= lowest);
    }
}

/// Records each drain once, when its backend server has no request in flight any more.
fn record_drains(entry: &Entry, view: &View) {
    let now = entry.now();
    for (backend, took) in &view.drains {
        if !entry.mark_drained(backend) {
            continue;
        }
        entry.metrics.drain.with_label_values(&[backend.as_str()]).set(seconds(*took));
        let found = entry.with_engine(|engine, _| {
            let services = &engine.bundle()?.services;
            let found = services.iter().find(|(_, it)| it.backends.contains_key(backend))?;
            Some((found.0.clone(), found.1.slo.drain))
        });
        let Some((service, limit)) = found else {
            continue;
        };
        entry.burn().record_drain(service.clone(), backend.clone(), *took, now);
        entry.count_event(&service, Measure::Drain, *took <= limit);
    }
    entry.retain_drained(|it| view.drains.contains_key(it));
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

fn ratio(share: Permille) -> f64 {
    f64::from(share.0) / f64::from(Permille::WHOLE.0)
}

/// Returns whether an answer met the latency objective; `None` if the caller was at fault, which does not count.
pub(crate) fn meets_latency(
    slo: &Slo,
    notice: Option<(Verdict, Reason)>,
    waited: Millis,
) -> Option<bool> {
    match notice {
        None => Some(waited <= slo.latency),
        Some((Verdict::NotRun, reason)) if reason.is_caller_fault() => None,
        Some(_) => Some(false),
    }
}
