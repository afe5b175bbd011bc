//! The JSON answer of an entry VM to `GET /v1/burn`.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use th_protocol::{BackendId, LinkId, Millis, Permille, RegionId, ServiceId, VmId};

use crate::{
    sample::{Count, Measure},
    window::Window,
};

/// The counts of one entry VM. Times are given as ages, since VMs do not share a clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnAnswer {
    /// The entry VM.
    pub vm: VmId,
    /// Time since the entry VM started to count.
    pub age: Millis,
    /// Samples that were dropped because the limit on series or scopes was reached.
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
    /// The objective that the counts are about.
    pub measure: Measure,
    /// Share of events that must be good.
    pub objective: Permille,
    /// Counts in each window.
    pub windows: BTreeMap<Window, Count>,
    /// Counts of the last six hours in slots of five minutes.
    pub history: Vec<Point>,
}

/// The counts of one slot of five minutes. In JSON it is the array `[ago, good, total]`, to keep the
/// answer small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, u64)", into = "(u32, u64, u64)")]
pub struct Point {
    /// Age in slots; 0 is the current slot.
    pub ago: u32,
    /// The events in the slot.
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

/// The region or link that a headroom belongs to.
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
    /// The region or link.
    pub scope: Scope,
    /// The lowest headroom of the last hour.
    pub low: Permille,
    /// The latest headroom.
    pub last: Permille,
    /// Age of the latest headroom.
    pub age: Millis,
}

/// The time that a leaving backend server took to become idle, as one entry VM saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The service.
    pub service: ServiceId,
    /// The backend server.
    pub backend: BackendId,
    /// Time from the first notice that the server leaves until it had no request in flight.
    pub took: Millis,
    /// Time since the server became idle.
    pub age: Millis,
}
