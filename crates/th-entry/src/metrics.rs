//! Counters and gauges in the Prometheus text format.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder,
    core::Collector,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0];

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    /// Time that callers waited, in seconds, by service and outcome.
    pub(crate) latency: HistogramVec,
    /// Notices (answers that no backend server gave), by service, verdict and reason.
    pub(crate) notices: IntCounterVec,
    /// Attempts at backend servers, by service and outcome.
    pub(crate) attempts: IntCounterVec,
    /// Retries and hedged attempts, by service and kind.
    pub(crate) retries: IntCounterVec,
    /// Answered look-ups, by service.
    pub(crate) lookups: IntCounterVec,
    /// Bytes of control messages exchanged with other entry VMs, by direction.
    pub(crate) control: IntCounterVec,
    /// Gauges of the engine's state and of the process, by name.
    pub(crate) state: GaugeVec,
    /// Free share of the capacity of regions and links, from 0 to 1.
    pub(crate) headroom: GaugeVec,
    /// Age of the oldest digest behind a free share, in seconds.
    pub(crate) headroom_age: GaugeVec,
    /// Drain time of a leaving backend server, in seconds: until it had no request in flight.
    pub(crate) drain: GaugeVec,
    /// Calls of the platform's service, by kind and outcome.
    pub(crate) store: GaugeVec,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            add(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            add(&registry, GaugeVec::new(Opts::new(name, help), labels))
        };
        let latency = HistogramOpts::new("th_latency_seconds", "Time that callers waited.")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        Metrics {
            latency: add(&registry, HistogramVec::new(latency, &["service", "outcome"])),
            notices: counter(
                "th_notices_total",
                "Answers of the system's own.",
                &["service", "verdict", "reason"],
            ),
            attempts: counter(
                "th_attempts_total",
                "Attempts at backend servers.",
                &["service", "outcome"],
            ),
            retries: counter("th_retries_total", "Second and later tries.", &["service", "kind"]),
            lookups: counter("th_lookups_total", "Answered look-ups.", &["service"]),
            control: counter(
                "th_control_bytes_total",
                "Bytes exchanged with other entry VMs for control.",
                &["direction"],
            ),
            state: gauge("th_state", "Numbers read from the state.", &["name"]),
            headroom: gauge(
                "th_headroom_ratio",
                "Free share of a region or a link.",
                &["kind", "name"],
            ),
            headroom_age: gauge(
                "th_headroom_age_seconds",
                "Age of the oldest number behind a free share.",
                &["kind", "name"],
            ),
            drain: gauge(
                "th_drain_seconds",
                "Time that a leaving backend server took to go quiet.",
                &["backend"],
            ),
            store: gauge(
                "th_store_calls",
                "Calls of the platform's service since the start.",
                &["call", "end"],
            ),
            registry,
        }
    }
}

fn add<C: Collector + Clone + 'static>(registry: &Registry, metric: prometheus::Result<C>) -> C {
    let metric = metric.expect("names and labels are constants");
    registry.register(Box::new(metric.clone())).expect("each name is registered once");
    metric
}

impl Metrics {
    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("writing into memory does not fail");
        String::from_utf8(text).expect("the format is text")
    }
}
