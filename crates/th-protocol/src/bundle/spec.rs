//! The contents of a bundle: where traffic may go, how much of it, and which backend servers are
//! leaving.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    BackendId, Block, Bytes, ClassId, Connections, CustomerId, LinkId, Mbit, Millis, OperationId,
    OperatorId, Permille, RegionId, ServiceId, Slots, Version, ZoneId,
};

/// A complete bundle, as an operator writes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version; each roll after the first one must raise it by one.
    pub version: Version,
    /// Regions and their caps.
    pub regions: BTreeMap<RegionId, Region>,
    /// Data centres.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Network links between regions, each in one direction.
    #[serde(default)]
    pub links: BTreeMap<LinkId, Link>,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Delays from groups of client blocks.
    #[serde(default)]
    pub classes: BTreeMap<ClassId, Class>,
    /// The class of each client block.
    #[serde(default)]
    pub blocks: BTreeMap<Block, ClassId>,
    /// Hex-encoded ed25519 public keys of the operators who may sign the next bundle.
    pub operators: BTreeMap<OperatorId, String>,
}

/// A region and its cap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Requests that the region's backend servers may run at the same time, over all services.
    pub cap: Slots,
    /// For each data centre, the share of the cap that it may always use.
    #[serde(default)]
    pub floors: BTreeMap<ZoneId, Permille>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The region that it belongs to.
    pub region: RegionId,
    /// Number of equal shares (shards) into which its entry VMs split its capacity.
    #[serde(default = "one")]
    pub shards: u32,
}

fn one() -> u32 {
    1
}

/// A network link from one region to another, in one direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region that sends.
    pub from: RegionId,
    /// The region that receives.
    pub to: RegionId,
    /// The rate that the system may use on the link.
    pub cap: Mbit,
    /// One-way delay.
    pub delay: Millis,
    /// For each data centre, the share of the cap that it may always use.
    #[serde(default)]
    pub floors: BTreeMap<ZoneId, Permille>,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The regions that its traffic may go to, and how much of it.
    pub regions: BTreeMap<RegionId, Target>,
    /// Its operations.
    pub operations: BTreeMap<OperationId, Operation>,
    /// Its backend servers.
    pub backends: BTreeMap<BackendId, Backend>,
    /// Limits how fast traffic may move between regions.
    pub shift: Shift,
    /// Its service level objectives.
    pub slo: Slo,
    /// Relative weights of the customers that share it.
    #[serde(default)]
    pub customers: BTreeMap<CustomerId, u32>,
}

/// The traffic of one service that a region may take.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The planned share of the service's traffic, relative to its other regions.
    pub weight: u32,
    /// Requests of the service that the region may run at the same time.
    pub cap: Slots,
}

/// An operation of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Whether running it twice has the same effect as running it once.
    pub idempotent: bool,
    /// The deadline of a request that states none; also the longest that a request may state.
    pub deadline: Millis,
    /// Expected size of a request and its answer, for accounting against the caps of links.
    pub size: Bytes,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The data centre that it runs in.
    pub zone: ZoneId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Connections that it accepts.
    pub connections: Connections,
    /// Whether it is leaving: no new requests are sent to it.
    #[serde(default)]
    pub leaving: bool,
}

/// The cap on traffic that moves between regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Share of the service's traffic that may move within one window.
    pub cap: Permille,
    /// Length of the window.
    pub window: Millis,
}

impl Default for Shift {
    fn default() -> Shift {
        Shift { cap: Permille(200), window: Millis(10_000) }
    }
}

/// The service level objectives of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slo {
    /// A request that is answered within this time counts as good.
    pub latency: Millis,
    /// Share of requests that must be good.
    pub objective: Permille,
    /// Share of a region's cap that should stay free.
    pub headroom: Permille,
    /// Time within which a leaving backend server should finish its requests.
    pub drain: Millis,
}

impl Default for Slo {
    fn default() -> Slo {
        Slo {
            latency: Millis(250),
            objective: Permille(990),
            headroom: Permille(100),
            drain: Millis(30_000),
        }
    }
}

/// A class of client blocks that have the same delays.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// One-way delay to each region.
    pub delays: BTreeMap<RegionId, Millis>,
}
