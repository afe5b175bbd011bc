//! Counters and latency histograms in the Prometheus text format.

use std::sync::atomic::Ordering;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, core::Collector,
};
use th_protocol::{Millis, ServiceId};
use th_steer::{dispatch::AttemptOutcome, held::HeldKind, organisation::Denial};

use crate::core::Core;

/// Upper bounds of the latency buckets, in seconds; they span the objectives and time-outs of the users' routes.
const LATENCY_BUCKETS_S: &[f64] = &[0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0];

/// Metrics of the data path.
pub(crate) struct Metrics {
    registry: Registry,
    latency: HistogramVec,
    answers: IntCounterVec,
    attempts: IntCounterVec,
    pub(crate) lookups: IntCounter,
    pub(crate) connections: IntCounter,
    in_flight: IntGauge,
    waiting: IntGauge,
    version: IntGauge,
    lines: IntGaugeVec,
    dragging: IntGauge,
    limited: IntGauge,
    isolated: IntGauge,
    quotas: IntGauge,
    quota_refused: IntGauge,
    quota_age: IntGauge,
    age: IntGauge,
    era: IntGauge,
    crashing: IntGauge,
    held: IntGaugeVec,
    held_limit: IntGauge,
    refused: IntCounterVec,
    pub(crate) forwards: IntCounter,
    pub(crate) vm_connections: IntCounter,
    denied: IntCounterVec,
    /// Requests that got no answer, by how far they had come.
    pub(crate) unanswered: IntCounterVec,
    /// Callers' bytes that were discarded as their connections closed.
    pub(crate) discarded: IntCounter,
}

fn add<C: Collector + Clone + 'static>(registry: &Registry, metric: prometheus::Result<C>) -> C {
    let metric = metric.expect("names and labels are constants");
    registry.register(Box::new(metric.clone())).expect("each name is registered once");
    metric
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            add(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let latency = HistogramOpts::new("th_gateway_latency_seconds", "Time that callers waited.")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        Metrics {
            latency: add(&registry, HistogramVec::new(latency, &["route"])),
            answers: counters("th_gateway_answers_total", "Final answers.", &["route", "status"]),
            unanswered: counters(
                "th_gateway_unanswered_total",
                "Requests whose callers left or that a stop cut.",
                &["stage"],
            ),
            discarded: add(
                &registry,
                IntCounter::new(
                    "th_gateway_discarded_bytes_total",
                    "Bytes of callers discarded as their connections closed.",
                ),
            ),
            attempts: counters(
                "th_gateway_attempts_total",
                "Attempts at backend servers.",
                &["service", "end"],
            ),
            denied: counters(
                "th_gateway_denied_total",
                "Requests that are refused for what their organisations may do.",
                &["reason"],
            ),
            refused: counters(
                "th_gateway_refused_total",
                "Requests turned away for lack of memory or link capacity.",
                &["for"],
            ),
            held: add(
                &registry,
                IntGaugeVec::new(
                    Opts::new("th_gateway_held_bytes", "Memory held for messages and connections."),
                    &["kind"],
                ),
            ),
            held_limit: add(
                &registry,
                IntGauge::new("th_gateway_held_limit_bytes", "Limit on the memory held."),
            ),
            lookups: add(&registry, IntCounter::new("th_gateway_lookups_total", "Look-ups.")),
            connections: add(
                &registry,
                IntCounter::new("th_gateway_links_total", "Connections to backend servers."),
            ),
            in_flight: add(&registry, IntGauge::new("th_gateway_in_flight", "Requests.")),
            waiting: add(&registry, IntGauge::new("th_gateway_waiting", "Waiting requests.")),
            version: add(&registry, IntGauge::new("th_gateway_version", "Version in force.")),
            dragging: add(
                &registry,
                IntGauge::new("th_gateway_dragging", "Backend servers avoided because they drag."),
            ),
            isolated: add(
                &registry,
                IntGauge::new("th_gateway_isolated", "Whether all links to servers are lost."),
            ),
            age: add(
                &registry,
                IntGauge::new("th_gateway_store_age_ms", "Age of what is known of the store."),
            ),
            era: add(
                &registry,
                IntGauge::new("th_gateway_store_era", "Era of the store whose content is known."),
            ),
            crashing: add(
                &registry,
                IntGauge::new(
                    "th_gateway_crashing",
                    "Requests that are rejected because backend servers crash under them.",
                ),
            ),
            quotas: add(
                &registry,
                IntGauge::new("th_gateway_quotas", "Organisations with a quota."),
            ),
            quota_refused: add(
                &registry,
                IntGauge::new(
                    "th_gateway_quota_refused",
                    "Requests refused beyond a quota, of organisations that have one now.",
                ),
            ),
            quota_age: add(
                &registry,
                IntGauge::new("th_gateway_quota_age_ms", "Time since a report was answered."),
            ),
            vm_connections: add(
                &registry,
                IntCounter::new("th_gateway_vm_links_total", "Connections to other VMs."),
            ),
            forwards: add(
                &registry,
                IntCounter::new("th_gateway_forwards_total", "Requests passed on to other VMs."),
            ),
            limited: add(
                &registry,
                IntGauge::new("th_gateway_limited", "Backend servers that limit their requests."),
            ),
            lines: add(
                &registry,
                IntGaugeVec::new(
                    Opts::new("th_gateway_lines_total", "Log lines left out since the start."),
                    &["reason"],
                ),
            ),
            registry,
        }
    }
}

impl Metrics {
    pub(crate) fn count_answer(&self, route: &str, status: u16, took: Millis) {
        self.latency.with_label_values(&[route]).observe(took.0 as f64 / 1_000.0);
        self.answers.with_label_values(&[route, status.to_string().as_str()]).inc();
    }

    pub(crate) fn count_attempt(&self, service: &ServiceId, outcome: AttemptOutcome) {
        let outcome = format!("{outcome:?}").to_lowercase();
        self.attempts.with_label_values(&[service.as_str(), outcome.as_str()]).inc();
    }

    pub(crate) fn count_denial(&self, denial: &Denial) {
        let reason = match denial {
            Denial::MissingKey => "missing_key",
            Denial::UnknownKey => "unknown_key",
            Denial::StaleKeys { .. } => "stale_keys",
            Denial::QuotaUsed(_) => "quota_used",
        };
        self.denied.with_label_values(&[reason]).inc();
    }

    /// Counts a request turned away because its own body, or its answer, could not be held or carried.
    pub(crate) fn count_refused(&self, cause: &str) {
        self.refused.with_label_values(&[cause]).inc();
    }

    pub(crate) fn set_state(&self, core: &Core) {
        let lines = &core.settings.line_counts;
        for (reason, count) in [("thinned", &lines.thinned), ("lost", &lines.lost)] {
            let count = i64::try_from(count.load(Ordering::Relaxed)).unwrap_or(i64::MAX);
            self.lines.with_label_values(&[reason]).set(count);
        }
        for kind in HeldKind::ALL {
            let used = i64::try_from(core.memory.used(kind).0).unwrap_or(i64::MAX);
            self.held.with_label_values(&[kind.name()]).set(used);
        }
        self.held_limit.set(i64::try_from(core.memory.limit().0).unwrap_or(i64::MAX));
        let dispatcher = core.dispatcher.borrow();
        self.in_flight.set(core.in_flight.get().into());
        self.waiting.set(dispatcher.waiting() as i64);
        self.dragging.set(dispatcher.dragging().len() as i64);
        self.isolated.set(dispatcher.is_cut_off().into());
        self.crashing.set(dispatcher.rejected_requests() as i64);
        let (quotas, now) = (core.quotas.borrow(), core.now());
        self.quotas.set(quotas.count() as i64);
        self.quota_refused.set(quotas.refused() as i64);
        self.quota_age.set(quotas.age(now).map_or(0, |it| it.0 as i64));
        self.age.set(core.relay.age(now).0 as i64);
        self.era.set(core.relay.era().0 as i64);
        self.limited.set(dispatcher.limited().len() as i64);
        self.version.set(dispatcher.routes().map_or(0, |it| it.version().0 as i64));
    }

    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("writing into memory does not fail");
        String::from_utf8(text).expect("the format is text")
    }
}
