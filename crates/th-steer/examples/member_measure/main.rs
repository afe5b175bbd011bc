//! Runs membership and the distribution of bundles in virtual time at four fleet sizes, and prints
//! traffic, delays and processor time per node. Messages are encoded to count their bytes.
//!
//! `cargo run --release -p th-steer --example member_measure -- [--json] [--nodes N]
//! [--holders N] [--cut | --cut-regions]`
//!
//! `--nodes` measures one fleet size only. With `--holders`, only every Nth VM serves bundles to
//! others. `--cut` and `--cut-regions` measure the recovery from a partition instead: a data
//! centre, or two regions from each other, are cut off for 30 s while a bundle is rolled.

#[path = "../shared/fit.rs"]
mod fit;
mod fleet;
mod healing;
mod sample;

use serde::Serialize;
use th_protocol::{MemberState, PeerRecord, Time, VmId};
use th_steer::backend::Drain;

use fit::Fit;
use fleet::{Cut, Fleet, FleetSettings, Node};
use healing::heal;
use sample::{head, record};

const SIZES: [usize; 4] = [50, 200, 800, 2_500];
/// The times between which the steady state is measured.
const STEADY_MS: (u64, u64) = (5_000, 20_000);
const KILL_AT_MS: u64 = 20_000;
const ROLL_AT_MS: u64 = 45_000;
const EVIDENCE_AT_MS: u64 = 54_000;
const RESTART_AT_MS: u64 = 58_000;
const END_MS: u64 = 68_000;

#[derive(Debug, Default, Serialize)]
struct Figures {
    nodes: usize,
    messages_per_node_s: f64,
    payload_bytes_per_node_s: f64,
    mean_message_bytes: f64,
    suspected_in_steady: u64,
    buried_in_steady: u64,
    first_suspect_ms: Option<u64>,
    all_suspect_ms: Option<u64>,
    all_dead_ms: Option<u64>,
    bundle_median_ms: Option<u64>,
    bundle_all_ms: Option<u64>,
    evidence_all_ms: Option<u64>,
    start_ready_ms: Option<u64>,
    restart_ready_ms: Option<u64>,
    cpu_us_per_node_s: f64,
    codec_us_per_node_s: f64,
    table_bytes: usize,
}

fn measure(count: usize, holders: Option<usize>) -> Figures {
    let mut fleet = Fleet::new(FleetSettings { count, holders, ..FleetSettings::default() });
    let mut figures = Figures { nodes: count, ..Figures::default() };
    figures.start_ready_ms = fleet.time_until(STEADY_MS.0, |node| node.spread.ready().is_ok());
    fleet.run_until(STEADY_MS.0);
    let before = (fleet.messages, fleet.bytes, fleet.cpu, fleet.codec, fleet.counts());
    fleet.run_until(STEADY_MS.1);
    let node_seconds = count as f64 * (STEADY_MS.1 - STEADY_MS.0) as f64 / 1000.0;
    let messages = (fleet.messages - before.0) as f64;
    let bytes = (fleet.bytes - before.1) as f64;
    // Each message is sent by one node and received by another.
    figures.messages_per_node_s = 2.0 * messages / node_seconds;
    figures.payload_bytes_per_node_s = 2.0 * bytes / node_seconds;
    figures.mean_message_bytes = bytes / messages;
    figures.cpu_us_per_node_s = (fleet.cpu - before.2).as_secs_f64() * 1e6 / node_seconds;
    figures.codec_us_per_node_s = (fleet.codec - before.3).as_secs_f64() * 1e6 / node_seconds;
    let counts = fleet.counts();
    figures.suspected_in_steady = counts.0 - before.4.0;
    figures.buried_in_steady = counts.1 - before.4.1;
    figures.table_bytes = count * (size_of::<PeerRecord>() + 2 * size_of::<VmId>() + 96);

    fleet.run_until(KILL_AT_MS);
    let victim = record(1).vm;
    fleet.nodes[1].alive = false;
    let state = |node: &Node| node.members.record(&victim).map_or(MemberState::Dead, |it| it.state);
    while fleet.now < ROLL_AT_MS && figures.first_suspect_ms.is_none() {
        fleet.run_until(fleet.now + 50);
        let seen = |node: &Node| node.alive && MemberState::Suspect <= state(node);
        if fleet.nodes.iter().any(seen) {
            figures.first_suspect_ms = Some(fleet.now - KILL_AT_MS);
        }
    }
    let since = fleet.now - KILL_AT_MS;
    figures.all_suspect_ms = fleet
        .time_until(ROLL_AT_MS, |node| MemberState::Suspect <= state(node))
        .map(|it| it + since);
    let since = fleet.now - KILL_AT_MS;
    figures.all_dead_ms =
        fleet.time_until(ROLL_AT_MS, |node| state(node) == MemberState::Dead).map(|it| it + since);

    fleet.run_until(ROLL_AT_MS);
    fleet.store = head(2);
    figures.bundle_all_ms =
        fleet.time_until(EVIDENCE_AT_MS, |node| node.spread.head() == Some(head(2)));
    let mut times = Vec::new();
    for node in &fleet.nodes {
        times.extend(node.applied.filter(|at| ROLL_AT_MS <= *at));
    }
    times.sort_unstable();
    figures.bundle_median_ms = times.get(times.len() / 2).map(|at| at - ROLL_AT_MS);

    fleet.run_until(EVIDENCE_AT_MS);
    if let Some(drain) = &mut fleet.nodes[0].drain {
        drain.on_server_report(true, Time(EVIDENCE_AT_MS), Time(EVIDENCE_AT_MS));
    }
    fleet.announce_evidence(0);
    figures.evidence_all_ms =
        fleet.time_until(RESTART_AT_MS, |node| node.drain.as_ref().is_none_or(Drain::leaving));

    fleet.run_until(RESTART_AT_MS);
    fleet.restart_zone();
    figures.restart_ready_ms = fleet.time_until(END_MS, |node| node.spread.ready().is_ok());
    figures
}

fn number(args: &[String], name: &str) -> Option<usize> {
    let position = args.iter().position(|arg| arg == name)?;
    args.get(position + 1)?.parse().ok()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let json = args.iter().any(|arg| arg == "--json");
    let holders = number(&args, "--holders");
    let sizes = number(&args, "--nodes").map_or(SIZES.to_vec(), |count| vec![count]);
    let cuts = [("--cut", Cut::Zone(2)), ("--cut-regions", Cut::Regions(0, 1))];
    if let Some((_, cut)) = cuts.iter().find(|(name, _)| args.iter().any(|arg| arg == name)) {
        for count in sizes {
            println!("{}", serde_json::to_string(&heal(count, *cut)).unwrap());
        }
        return;
    }
    let (mut bytes, mut cpu) = (Vec::new(), Vec::new());
    for count in sizes.iter().copied() {
        let figures = measure(count, holders);
        bytes.push((count as f64, figures.payload_bytes_per_node_s));
        cpu.push((count as f64, figures.cpu_us_per_node_s + figures.codec_us_per_node_s));
        if json {
            println!("{}", serde_json::to_string(&figures).unwrap());
        } else {
            println!("{figures:#?}");
        }
    }
    if sizes.len() < 2 {
        return;
    }
    let (bytes, cpu) = (Fit::new(&bytes), Fit::new(&cpu));
    let line = serde_json::json!({
        "fit_bytes_per_node_s": bytes,
        "fit_cpu_us_per_node_s": cpu,
    });
    println!("{line}");
}
