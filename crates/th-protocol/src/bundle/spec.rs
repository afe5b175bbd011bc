//! What a bundle states: where traffic may go, how much, and which backend servers leave.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    BackendId, Block, Bytes, ClassId, Connections, CustomerId, LinkId, Mbit, Millis, OperationId,
    OperatorId, Permille, RegionId, ServiceId, Slots, Version, ZoneId,
};

/// A whole bundle, as an operator writes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version; a roll raises it.
    pub version: Version,
    /// Regions and what they may carry.
    pub regions: BTreeMap<RegionId, Region>,
    /// Data centres.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Links between regions, one way each.
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
    /// Hex-encoded ed25519 public keys of those who may sign the next bundle.
    pub operators: BTreeMap<OperatorId, String>,
}

/// A region and its cap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Requests that the region's backend servers may run at once, over all services.
    pub cap: Slots,
    /// Shares of the cap that a data centre may always spend.
    #[serde(default)]
    pub floors: BTreeMap<ZoneId, Permille>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The region that it lies in.
    pub region: RegionId,
    /// Into how many equal shares its entry VMs split its capacity.
    #[serde(default = "one")]
    pub shards: u32,
}

fn one() -> u32 {
    1
}

/// A link from one region to another, one way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region that sends.
    pub from: RegionId,
    /// The region that receives.
    pub to: RegionId,
    /// What the system may send over it.
    pub cap: Mbit,
    /// One-way delay.
    pub delay: Millis,
    /// Shares of the cap that a data centre may always spend.
    #[serde(default)]
    pub floors: BTreeMap<ZoneId, Permille>,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Where its traffic may go, and how much of it.
    pub regions: BTreeMap<RegionId, Target>,
    /// Its operations.
    pub operations: BTreeMap<OperationId, Operation>,
    /// Its backend servers.
    pub backends: BTreeMap<BackendId, Backend>,
    /// How fast traffic may move between regions.
    pub shift: Shift,
    /// What its users were promised.
    pub slo: Slo,
    /// Relative weights of the customers that share it.
    #[serde(default)]
    pub customers: BTreeMap<CustomerId, u32>,
}

/// What a region may carry of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The planned share of the service's traffic, relative to its other regions.
    pub weight: u32,
    /// Requests that it may run at once here.
    pub cap: Slots,
}

/// An operation of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Whether running it twice is the same as running it once.
    pub idempotent: bool,
    /// The deadline of a request that states none; also the longest that may be asked for.
    pub deadline: Millis,
    /// Expected size of a request and its answer, for links.
    pub size: Bytes,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The data centre that it runs in.
    pub zone: ZoneId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: Slots,
    /// Connections that it takes.
    pub connections: Connections,
    /// Whether it leaves: nothing new is sent to it.
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

/// The promises to a service's users.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slo {
    /// A request answered within this time is good.
    pub latency: Millis,
    /// Share of requests that must be good.
    pub objective: Permille,
    /// Share of a region's cap that should stay free.
    pub headroom: Permille,
    /// Within this time a leaving backend server should be quiet.
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

/// Client blocks with the same delays.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// One-way delay to each region.
    pub delays: BTreeMap<RegionId, Millis>,
}
