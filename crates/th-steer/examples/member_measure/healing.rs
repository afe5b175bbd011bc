//! Measures how long recovery from a network partition takes, and its traffic.

use serde::Serialize;
use th_protocol::MemberState;

use crate::{
    fleet::{Cut, Fleet, FleetSettings, Node},
    sample::head,
};

const CUT_AT_MS: u64 = 5_000;
const ROLL_AT_MS: u64 = 10_000;
const HEAL_AT_MS: u64 = 35_000;
const END_MS: u64 = 335_000;

/// Figures of one partition and the recovery from it.
#[derive(Debug, Serialize)]
pub(crate) struct Healing {
    pub(crate) nodes: usize,
    /// Number of times that a VM declared another one dead during the partition.
    pub(crate) buried: u64,
    /// Whether the bundle that was rolled during the partition reached all VMs before its end.
    pub(crate) rolled: bool,
    pub(crate) bundle_all_ms: Option<u64>,
    pub(crate) members_all_ms: Option<u64>,
    pub(crate) payload_bytes_per_node_s: f64,
}

/// Partitions the network for 30 s while a bundle is rolled, then heals it.
pub(crate) fn heal(count: usize, cut: Cut) -> Healing {
    let mut fleet = Fleet::new(FleetSettings { count, ..FleetSettings::default() });
    fleet.run_until(CUT_AT_MS);
    fleet.cut = Some(cut);
    fleet.run_until(ROLL_AT_MS);
    fleet.store = head(2);
    fleet.run_until(HEAL_AT_MS);
    let has = |node: &Node| node.spread.head() == Some(head(2));
    let rolled = fleet.nodes.iter().all(has);
    let buried = fleet.counts().1;
    fleet.cut = None;
    let before = fleet.bytes;
    let bundle_all_ms = fleet.time_until(END_MS, has);
    let live = |node: &Node| node.members.records().all(|it| it.state == MemberState::Live);
    let members_all_ms = fleet.time_until(END_MS, live).map(|_| fleet.now - HEAL_AT_MS);
    let node_seconds = count as f64 * (fleet.now - HEAL_AT_MS).max(1) as f64 / 1000.0;
    let payload_bytes_per_node_s = 2.0 * (fleet.bytes - before) as f64 / node_seconds;
    Healing {
        nodes: count,
        buried,
        rolled,
        bundle_all_ms,
        members_all_ms,
        payload_bytes_per_node_s,
    }
}
