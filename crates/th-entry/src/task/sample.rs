//! Takes the numbers of the state over into metrics and the burn report.

use std::sync::Arc;

use rustix::time::{ClockId, clock_gettime};
use th_platform::CallKind;
use th_protocol::{Millis, Permille, Reason, Slo, Verdict};
use th_report::{Measure, Scope};
use th_steer::engine::View;

use crate::entry::Entry;

/// Takes one sample of everything.
pub(crate) fn sample(entry: &Arc<Entry>) {
    let (view, version, age) = entry.decide(|engine, now| {
        let version = engine.bundle().map_or(0, |it| it.version.0);
        (engine.view(now), version, engine.age(now))
    });
    set_gauges(entry, &view, version, age);
    set_store(entry);
    note_headroom(entry, &view);
    note_drains(entry, &view);
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

fn set_store(entry: &Entry) {
    for step in CallKind::ALL {
        let name = step.to_string();
        let store = &entry.metrics.store;
        store.with_label_values(&[name.as_str(), "made"]).set(entry.calls.made(*step) as f64);
        store.with_label_values(&[name.as_str(), "failed"]).set(entry.calls.failed(*step) as f64);
    }
}

fn note_headroom(entry: &Entry, view: &View) {
    let now = entry.now();
    let mut burn = entry.burn();
    for (region, (free, _)) in &view.headroom {
        burn.record_headroom(&Scope::Region(region.clone()), *free, now);
    }
    for (link, free) in &view.links {
        burn.record_headroom(&Scope::Link(link.clone()), *free, now);
    }
    drop(burn);
    let Some(bundle) = entry.decide(|engine, _| engine.bundle().cloned()) else {
        return;
    };
    for (id, service) in &bundle.services {
        let mut low = Permille::WHOLE;
        for region in service.regions.keys() {
            if let Some((free, _)) = view.headroom.get(region) {
                low = low.min(*free);
            }
        }
        entry.count(id, Measure::Headroom, service.slo.headroom <= low);
    }
}

/// Notes each drain once, when its server has gone quiet.
fn note_drains(entry: &Entry, view: &View) {
    let now = entry.now();
    for (backend, took) in &view.drains {
        if !entry.drained(backend) {
            continue;
        }
        entry.metrics.drain.with_label_values(&[backend.as_str()]).set(seconds(*took));
        let found = entry.decide(|engine, _| {
            let services = &engine.bundle()?.services;
            let found = services.iter().find(|(_, it)| it.backends.contains_key(backend))?;
            Some((found.0.clone(), found.1.slo.drain))
        });
        let Some((service, promised)) = found else {
            continue;
        };
        entry.burn().record_drain(service.clone(), backend.clone(), *took, now);
        entry.count(&service, Measure::Drain, *took <= promised);
    }
    entry.forget_drained(|it| view.drains.contains_key(it));
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

fn ratio(share: Permille) -> f64 {
    f64::from(share.0) / f64::from(Permille::WHOLE.0)
}

/// Whether an answer kept the promise on latency; `None` where the caller itself was at fault.
pub(crate) fn is_good(slo: &Slo, told: Option<(Verdict, Reason)>, waited: Millis) -> Option<bool> {
    match told {
        None => Some(waited <= slo.latency),
        Some((Verdict::NotRun, reason)) if reason.is_caller_fault() => None,
        Some(_) => Some(false),
    }
}
