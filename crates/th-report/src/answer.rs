//! What an entry VM serves at `GET /v1/burn`.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use th_protocol::{BackendId, LinkId, Millis, Permille, RegionId, ServiceId, VmId};

use crate::{
    sample::{Count, Measure},
    window::Window,
};

/// One entry VM's counts. Times are ages, since VMs do not share a clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnAnswer {
    /// The entry VM.
    pub vm: VmId,
    /// For how long it has been counting.
    pub age: Millis,
    /// Samples that found no room.
    pub dropped: u64,
    /// The counts of each service and measure.
    pub series: Vec<Series>,
    /// Headroom of regions and links.
    pub headroom: Vec<Headroom>,
    /// The latest drains.
    pub drains: Vec<Drain>,
}

/// The counts of one service and measure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// The service.
    pub service: ServiceId,
    /// The promise.
    pub measure: Measure,
    /// Share of events that must be good.
    pub objective: Permille,
    /// Counts in each window.
    pub windows: BTreeMap<Window, Count>,
    /// Counts of the last six hours, five minutes each.
    pub history: Vec<Point>,
}

/// The counts of one slot of five minutes; in JSON `[ago, good, total]`, since there are many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, u64)", into = "(u32, u64, u64)")]
pub struct Point {
    /// How many slots ago; 0 is the current one.
    pub ago: u32,
    /// What was counted.
    pub count: Count,
}

impl From<(u32, u64, u64)> for Point {
    fn from((ago, good, total): (u32, u64, u64)) -> Point {
        Point { ago, count: Count { good, total } }
    }
}

impl From<Point> for (u32, u64, u64) {
    fn from(point: Point) -> (u32, u64, u64) {
        (point.ago, point.count.good, point.count.total)
    }
}

/// What a headroom is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// A region.
    Region(RegionId),
    /// A link.
    Link(LinkId),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Region(id) => f.pad(&format!("region {id}")),
            Scope::Link(id) => f.pad(&format!("link {id}")),
        }
    }
}

/// The headroom of a region or a link, as shares of its cap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headroom {
    /// Of what.
    pub scope: Scope,
    /// The lowest of the last hour.
    pub low: Permille,
    /// The latest.
    pub last: Permille,
    /// Age of the latest.
    pub age: Millis,
}

/// How long a leaving backend server took to go quiet, as one entry VM saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The service.
    pub service: ServiceId,
    /// The backend server.
    pub backend: BackendId,
    /// From the notice that it leaves until nothing was in flight.
    pub took: Millis,
    /// How long ago it went quiet.
    pub age: Millis,
}
