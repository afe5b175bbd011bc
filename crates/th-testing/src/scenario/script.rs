//! The syntax tree of a scenario.

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
    /// The data centre that the store is in; the first one by default.
    pub(crate) store: Option<String>,
    pub(crate) policy: PolicySpec,
}

impl Scenario {
    /// Returns the name of the data centre that the store is in.
    pub(crate) fn store_zone(&self) -> &str {
        let first = self.regions.first().and_then(|it| it.zones.first());
        let first = first.map_or("", |it| it.0.as_str());
        self.store.as_deref().unwrap_or(first)
    }
}

/// How callers choose where to send a request. All but `Planned` are baselines for comparison, which neither retry nor
/// apply caps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PolicySpec {
    /// As the look-ups of the entry VMs say.
    #[default]
    Planned,
    /// Straight to the backend servers of the nearest region, in turn.
    Nearest,
    /// Straight to the backend servers of the region with the fewest busy slots, in turn.
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
    /// Median service time of a request.
    pub(crate) service: Millis,
    /// 99th percentile of the service time.
    pub(crate) tail: Millis,
    /// Cap on shifts in permille, and the window that it applies to.
    pub(crate) shift: (u32, Millis),
    /// Customers and their weights.
    pub(crate) customers: Vec<(String, u32)>,
}

impl ServiceSpec {
    /// Returns the standard deviation of the logarithm of the service time.
    pub(crate) fn sigma(&self) -> f64 {
        /// The 99th percentile of the standard normal distribution.
        const P99: f64 = 2.326;
        (self.tail.0.max(1) as f64 / self.service.0.max(1) as f64).ln().max(0.0) / P99
    }

    /// Returns the rate, in requests per second, that keeps all slots busy.
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
    /// Requests per second.
    Fixed(f64),
    /// A multiple of the service's capacity.
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
    /// Removed from the platform's list of VMs while the process still runs.
    Unlist(String),
    /// The flag is true if only messages from the first to the second data centre are lost.
    Cut(String, String, bool),
    Heal(String, String),
    /// Open connections between the two stall; later ones work.
    Silence(String, String),
    Store(StoreFault),
    Report(String, ReportKind),
    /// The platform's list of VMs lags behind by this time.
    Lag(Millis),
    /// The clock of an entry process jumps ahead.
    Clock(String, Millis),
    /// A backend server becomes slow, as after its start.
    Cold(String),
    Shed(String),
    /// Ends `Cold` and `Shed`.
    Normal(String),
    /// A backend server reports that it is leaving.
    Leave(String),
    Roll(Roll),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StoreFault {
    Up,
    Down,
    /// Calls get no answer.
    Deaf,
    /// Watches report no changes.
    Silent,
    /// Each call takes this much longer.
    Slow(Millis),
    /// Share of the writes that take effect while their answers are lost.
    Lost(f64),
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum ReportKind {
    #[default]
    True,
    /// The count of busy slots no longer changes.
    Stale,
    /// The report always says that no slot is busy.
    Lying,
    /// The server does not answer probes and load queries.
    Off,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Roll {
    Good,
    Bad,
    /// Two operators roll different bundles at the same time.
    Race,
    Drain(String),
}

/// A figure of the report with the bound that it must keep.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Expect {
    pub(crate) figure: String,
    /// The service and operation, if the figure is for one operation only.
    pub(crate) target: Option<(String, String)>,
    /// Counts only requests that were sent at this time or later.
    pub(crate) from: Millis,
    pub(crate) below: bool,
    pub(crate) strict: bool,
    pub(crate) bound: f64,
    pub(crate) text: String,
}
