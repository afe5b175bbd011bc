//! What a scenario states.

use th_protocol::Millis;

/// A parsed scenario.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scenario {
    pub(crate) name: String,
    pub(crate) regions: Vec<RegionSpec>,
    pub(crate) services: Vec<ServiceSpec>,
    pub(crate) links: Vec<LinkSpec>,
    pub(crate) loads: Vec<LoadSpec>,
    pub(crate) events: Vec<(Millis, Event, Option<Millis>)>,
    pub(crate) expects: Vec<Expect>,
    /// One-way delay between data centres of a region, and from callers to their region.
    pub(crate) delays: Option<(Millis, Millis)>,
    /// The data centre that the store is in; the first one where it is not stated.
    pub(crate) store: Option<String>,
    pub(crate) policy: PolicySpec,
}

impl Scenario {
    /// The data centre that the store is in.
    pub(crate) fn store_zone(&self) -> &str {
        let first = self.regions.first().and_then(|it| it.zones.first());
        let first = first.map_or("", |it| it.0.as_str());
        self.store.as_deref().unwrap_or(first)
    }
}

/// How callers find their entry VM, for comparisons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PolicySpec {
    /// By the product's look-ups.
    #[default]
    Planned,
    /// The nearest region, its entry VMs in turn, no retry and no refusal by caps.
    Nearest,
    /// The region with the least load, its entry VMs in turn.
    LeastLoaded,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct RegionSpec {
    pub(crate) name: String,
    pub(crate) zones: Vec<(String, u32)>,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServiceSpec {
    pub(crate) name: String,
    pub(crate) backends: u32,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Median and 99th percentile of the time that a request takes.
    pub(crate) service: Millis,
    pub(crate) tail: Millis,
    pub(crate) shift: (u32, Millis),
    pub(crate) customers: Vec<(String, u32)>,
}

impl ServiceSpec {
    /// The spread of the log-normal service time.
    pub(crate) fn sigma(&self) -> f64 {
        /// The 99th percentile of the standard normal distribution.
        const P99: f64 = 2.326;
        (self.tail.0.max(1) as f64 / self.service.0.max(1) as f64).ln().max(0.0) / P99
    }

    /// Requests a second that keep all slots busy.
    pub(crate) fn capacity(&self) -> f64 {
        let mean = self.service.0 as f64 * (self.sigma().powi(2) / 2.0).exp();
        f64::from(self.backends * self.slots) * 1_000.0 / mean
    }
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LinkSpec {
    pub(crate) ends: (String, String),
    pub(crate) delay: Millis,
    pub(crate) mbit: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Rate {
    /// Requests a second.
    Fixed(f64),
    /// Multiples of the service's capacity.
    Share(f64),
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LoadSpec {
    pub(crate) service: String,
    pub(crate) operation: String,
    pub(crate) rate: Rate,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Millis,
    pub(crate) size: u64,
    pub(crate) customer: Option<String>,
    pub(crate) from: Option<String>,
    pub(crate) callers: u32,
    pub(crate) start: Millis,
    pub(crate) span: Millis,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Event {
    Kill(String),
    Pause(String),
    Resume(String),
    Restart(String),
    Replace(String),
    Stop(String),
    Unlist(String),
    /// The second is true where only messages from the first to the second are lost.
    Cut(String, String, bool),
    Heal(String, String),
    Silence(String, String),
    Store(StoreFault),
    Report(String, ReportKind),
    Lag(Millis),
    Clock(String, Millis),
    Cold(String),
    Shed(String),
    Normal(String),
    Leave(String),
    Roll(Roll),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StoreFault {
    Up,
    Down,
    Deaf,
    Silent,
    Slow(Millis),
    /// Share of the writes whose answers are lost.
    Lost(f64),
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum ReportKind {
    #[default]
    True,
    Stale,
    Lying,
    Off,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Roll {
    Good,
    Bad,
    /// Two operators at once.
    Race,
    Drain(String),
}

/// A figure with its bound.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Expect {
    pub(crate) figure: String,
    pub(crate) target: Option<(String, String)>,
    /// Only requests sent from this time on.
    pub(crate) from: Millis,
    pub(crate) below: bool,
    pub(crate) strict: bool,
    pub(crate) bound: f64,
    pub(crate) text: String,
}
