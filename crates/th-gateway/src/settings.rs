//! Settings of the data path.

use std::{net::SocketAddr, sync::Arc};

use th_protocol::{Bytes, Millis};
use th_steer::dispatch::DispatchSettings;

use crate::logging::LineCounts;

/// Where the process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listeners {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For questions whether this VM is ready.
    pub ready: SocketAddr,
    /// For look-ups.
    pub lookups: SocketAddr,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// Settings of the data path.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Bound on a connection attempt to a backend server: the longest round trip between regions, several times.
    pub connect_timeout: Millis,
    /// Idle time after which a connection to a backend server is not used again, where the server names none.
    pub idle_timeout: Millis,
    /// A connection is retired this long before the server would close it.
    pub retire_margin: Millis,
    /// Time beyond a request's limit in which a late answer is still awaited.
    pub answer_slack: Millis,
    /// Idempotent requests without an answer for this many times the expected time are sent to another server.
    pub hedge_factor: u32,
    /// Least time of that wait.
    pub min_hedge_delay: Millis,
    /// How long callers may keep a look-up.
    pub lookup_ttl: Millis,
    /// Time between checks of waiting requests.
    pub tick: Millis,
    /// A stopping VM takes requests for this long, until callers have new look-ups.
    pub linger: Millis,
    /// Longest time from the start of a stop to its end.
    pub grace: Millis,
    /// Most bytes of requests' bodies that are held at the same time.
    pub body_memory: Bytes,
    /// Dispatch.
    pub dispatch: DispatchSettings,
    /// Counts of the log lines that were left out.
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
            min_hedge_delay: Millis(400),
            lookup_ttl: Millis(2_000),
            tick: Millis(50),
            linger: Millis(2_500),
            grace: Millis(6_000),
            body_memory: Bytes(64 << 20),
            dispatch: DispatchSettings::default(),
            line_counts: Arc::default(),
        }
    }
}
