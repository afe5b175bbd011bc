//! Settings of the data path.

use std::{net::SocketAddr, sync::Arc};

use th_protocol::Millis;
use th_steer::{dispatch::DispatchSettings, held::HeldSettings, quota::QuotaLimits};

use crate::logging::LineCounts;

/// Addresses on which the process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listeners {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness probes.
    pub ready: SocketAddr,
    /// Look-ups.
    pub lookups: SocketAddr,
    /// Metrics; `None` for no such listener.
    pub metrics: Option<SocketAddr>,
    /// Other entry VMs; `None` for no such listener.
    pub peers: Option<SocketAddr>,
}

/// Settings of the data path.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Time-out of a connection attempt to a backend server: several times the longest round trip between regions.
    pub connect_timeout: Millis,
    /// Idle time after which a connection to a backend server is not reused, if the server states none.
    pub idle_timeout: Millis,
    /// A connection is retired this long before the server closes it.
    pub retire_margin: Millis,
    /// Time after a request's deadline for which a late answer is still accepted.
    pub answer_slack: Millis,
    /// Multiple of the expected time after which an idempotent request without an answer gets a hedged attempt.
    pub hedge_factor: u32,
    /// Minimum delay of a hedged attempt.
    pub hedge_min: Millis,
    /// Time for which callers may cache a look-up answer.
    pub lookup_ttl: Millis,
    /// Time between checks of waiting requests.
    pub tick: Millis,
    /// Time for which a stopping VM still accepts requests, until callers have refreshed their look-ups.
    pub linger: Millis,
    /// Settings of the memory held for messages and connections.
    pub held: HeldSettings,
    /// Maximum number of a connection's requests that run while an earlier one is unanswered.
    pub pipeline_depth: usize,
    /// Bounds within which quotas are kept.
    pub quotas: QuotaLimits,
    /// Settings of dispatch.
    pub dispatch: DispatchSettings,
    /// Counts of dropped log lines.
    pub line_counts: Arc<LineCounts>,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            connect_timeout: Millis(300),
            idle_timeout: Millis(4_000),
            retire_margin: Millis(1_000),
            answer_slack: Millis(100),
            hedge_factor: 4,
            hedge_min: Millis(400),
            lookup_ttl: Millis(2_000),
            tick: Millis(50),
            linger: Millis(2_500),
            held: HeldSettings::default(),
            pipeline_depth: 8,
            quotas: QuotaLimits::default(),
            dispatch: DispatchSettings::default(),
            line_counts: Arc::default(),
        }
    }
}
