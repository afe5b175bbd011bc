//! Settings of the data path.

use std::{net::SocketAddr, sync::Arc};

use th_protocol::{Bytes, Millis};
use th_steer::dispatch::DispatchSettings;

use crate::lines::LineCounts;

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
    pub connect: Millis,
    /// Idle time after which a connection to a backend server is not used again, where the server names none.
    pub idle: Millis,
    /// A connection is retired this long before the server would close it.
    pub retire: Millis,
    /// Time beyond a request's limit in which a late answer is still awaited.
    pub slack: Millis,
    /// Idempotent requests without an answer for this many times the expected time are sent to another server.
    pub patience: u32,
    /// Least time of that wait.
    pub patience_least: Millis,
    /// How long callers may keep a look-up.
    pub life: Millis,
    /// Time between checks of waiting requests.
    pub tick: Millis,
    /// A stopping VM takes requests for this long, until callers have new look-ups.
    pub linger: Millis,
    /// Longest time from the start of a stop to its end.
    pub grace: Millis,
    /// Most bytes of requests' bodies that are held at the same time.
    pub bodies: Bytes,
    /// Dispatch.
    pub dispatch: DispatchSettings,
    /// Counts of the log lines that were left out.
    pub lines: Arc<LineCounts>,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            connect: Millis(300),
            idle: Millis(4_000),
            retire: Millis(1_000),
            slack: Millis(100),
            patience: 4,
            patience_least: Millis(400),
            life: Millis(2_000),
            tick: Millis(50),
            linger: Millis(2_500),
            grace: Millis(6_000),
            bodies: Bytes(64 << 20),
            dispatch: DispatchSettings::default(),
            lines: Arc::default(),
        }
    }
}
