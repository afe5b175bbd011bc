//! Heartbeats, the distribution of bundles, restarts and network partitions, in virtual time.

use eyre::{Result, ensure};
use th_protocol::Bytes;

use crate::{
    fleet::{Cut, Fleet, FleetSettings, Node},
    healing::{Healing, heal},
    measurement::Measurement,
    sample::{REGIONS, ZONES, head},
};

/// Numbers of entry VMs.
const FLEET_SIZES: [usize; 4] = [100, 400, 1_000, 2_500];
const FULL_SIZE: f64 = 2_500.0;
const STEADY_START_MS: u64 = 4_000;
/// End of the steady state that is measured; the next bundle is rolled then. Also the settling time before a restart.
const STEADY_END_MS: u64 = 9_000;
const ROLL_END_MS: u64 = 39_000;
/// Numbers of entry VMs of the fleets of which parts are restarted or cut off.
const SMALL_SIZES: [usize; 4] = [104, 208, 416, 832];
/// Number of parts of a complete bundle, and the size of each.
const PARTS: u8 = 200;
const PART_BYTES: Bytes = Bytes(26_000);
const RACK_SIZE: usize = 20;
/// Numbers of records of other VMs in each heartbeat.
const RECORD_COUNTS: [usize; 4] = [1, 3, 5, 8];
/// One VM in this many serves bundles, in the runs where few VMs serve.
const SERVE_EVERY: usize = 4;
const RESTART_LIMIT_MS: u64 = 120_000;

/// Figures of a fleet in the steady state and of one roll.
struct SteadyFigures {
    bytes: f64,
    messages: f64,
    cpu_us: f64,
    last_ms: f64,
    median_ms: f64,
    max_served: f64,
    reads: f64,
}

fn measure_steady(settings: FleetSettings) -> Result<SteadyFigures> {
    let count = settings.count;
    let mut fleet = Fleet::new(settings);
    fleet.run_until(STEADY_START_MS);
    let before = (fleet.messages, fleet.bytes, fleet.cpu + fleet.codec, fleet.reads);
    fleet.run_until(STEADY_END_MS);
    let seconds = (STEADY_END_MS - STEADY_START_MS) as f64 / 1_000.0;
    let node_seconds = count as f64 * seconds;
    // Each message is sent by one node and received by another.
    let bytes = 2.0 * (fleet.bytes - before.1) as f64 / node_seconds;
    let messages = 2.0 * (fleet.messages - before.0) as f64 / node_seconds;
    let cpu_us = (fleet.cpu + fleet.codec - before.2).as_secs_f64() * 1e6 / node_seconds;
    let reads = (fleet.reads - before.3) as f64 / seconds;

    fleet.nodes.iter_mut().for_each(|node| node.served = 0);
    fleet.store = head(2);
    let last_ms = fleet.time_until(ROLL_END_MS, |node| node.spread.head() == Some(head(2)));
    if last_ms.is_none() {
        eprintln!("fleets: the roll did not reach all {count} entry VMs in time");
    }
    let last_ms = last_ms.unwrap_or(ROLL_END_MS - STEADY_END_MS);
    let mut times: Vec<u64> =
        fleet.nodes.iter().filter_map(|it| it.applied).filter(|at| STEADY_END_MS <= *at).collect();
    times.sort_unstable();
    let median_ms = times[times.len() / 2] - STEADY_END_MS;
    let max_served = fleet.nodes.iter().map(|it| it.served).max().unwrap_or(0);
    let (last_ms, median_ms, max_served) = (last_ms as f64, median_ms as f64, max_served as f64);
    Ok(SteadyFigures { bytes, messages, cpu_us, last_ms, median_ms, max_served, reads })
}

/// Figures of VMs that restart at the same time, without a bundle.
struct RestartFigures {
    restarted: usize,
    ready_ms: f64,
    /// Most bytes served by one VM.
    max_served: f64,
    reads: f64,
}

fn measure_restart(count: usize, chosen: impl Fn(usize) -> bool) -> Result<RestartFigures> {
    let mut fleet = Fleet::new(FleetSettings { count, parts: PARTS, ..FleetSettings::default() });
    let ready = |node: &Node| node.spread.ready().is_ok();
    let started = fleet.time_until(RESTART_LIMIT_MS, ready);
    ensure!(started.is_some(), "the fleet of {count} did not become ready in time");
    fleet.run_until(fleet.now + STEADY_END_MS);
    fleet.settings.bytes = PART_BYTES;
    fleet.nodes.iter_mut().for_each(|node| node.served = 0);
    let reads = fleet.reads;
    let number = (0..count).filter(|i| chosen(*i)).count();
    fleet.restart(chosen);
    let took = fleet.time_until(fleet.now + RESTART_LIMIT_MS, ready);
    let Some(took) = took else {
        eyre::bail!("{number} of {count} entry VMs restarted and did not all become ready in time")
    };
    let most = fleet.nodes.iter().map(|it| it.served).max().unwrap_or(0);
    Ok(RestartFigures {
        restarted: number,
        ready_ms: took as f64,
        max_served: (most * PART_BYTES.0) as f64,
        reads: (fleet.reads - reads) as f64,
    })
}

fn steady_measurements() -> Result<Vec<Measurement>> {
    let mut all = Vec::new();
    for count in FLEET_SIZES {
        eprintln!("fleets: {count} entry VMs at rest, and a roll");
        all.push((
            count as f64,
            measure_steady(FleetSettings { count, ..FleetSettings::default() })?,
        ));
    }
    let points = |y: fn(&SteadyFigures) -> f64| all.iter().map(|(x, it)| (*x, y(it))).collect();
    let of = |name, unit, y| Measurement::new((name, unit, "entry VM"), points(y), FULL_SIZE);
    let mut few = Vec::new();
    for count in FLEET_SIZES {
        few.push((
            count as f64,
            measure_steady(FleetSettings {
                count,
                holders: Some(SERVE_EVERY),
                ..FleetSettings::default()
            })?,
        ));
    }
    let holders = |y: fn(&SteadyFigures) -> f64| few.iter().map(|(x, it)| (*x, y(it))).collect();
    let of_few = |name, unit, y| Measurement::new((name, unit, "entry VM"), holders(y), FULL_SIZE);
    let mut by_records = Vec::new();
    for records in RECORD_COUNTS {
        let settings = FleetSettings { count: FLEET_SIZES[1], records, ..FleetSettings::default() };
        by_records.push((records as f64, measure_steady(settings)?.bytes));
    }
    let now = FleetSettings::default().records as f64;
    Ok(vec![
        Measurement::new(("heartbeat payload", "bytes/s a VM", "record"), by_records, now),
        of("heartbeat payload", "bytes/s a VM", |it| it.bytes),
        of("heartbeat messages", "1/s a VM", |it| it.messages),
        of("membership and codec", "us/s a VM", |it| it.cpu_us),
        of("head reads at rest", "1/s in all", |it| it.reads),
        of("roll to half", "ms", |it| it.median_ms),
        of("roll to the last", "ms", |it| it.last_ms),
        of("fetches served by one VM in a roll", "", |it| it.max_served),
        of_few("roll to the last, one VM in 4 serves", "ms", |it| it.last_ms),
        of_few("fetches served by one VM in a roll, one VM in 4 serves", "", |it| it.max_served),
    ])
}

fn restart_measurements() -> Result<Vec<Measurement>> {
    let zone: fn(usize) -> bool = |i| i % ZONES == 2;
    let region: fn(usize) -> bool = |i| i % ZONES % REGIONS == 2;
    let rack: fn(usize) -> bool = |i| i % ZONES == 2 && i / ZONES < RACK_SIZE;
    let mut measurements = Vec::new();
    let kinds = [
        ("rack", rack, RACK_SIZE as f64),
        ("data centre", zone, FULL_SIZE / ZONES as f64),
        ("region", region, FULL_SIZE / REGIONS as f64),
    ];
    for (kind, chosen, full) in kinds {
        let mut all = Vec::new();
        for count in SMALL_SIZES {
            eprintln!("fleets: a {kind} of {count} entry VMs restarts");
            all.push(measure_restart(count, chosen)?);
        }
        let points = |y: fn(&RestartFigures) -> f64| {
            all.iter().map(|it| (it.restarted as f64, y(it))).collect::<Vec<_>>()
        };
        let names = match kind {
            "rack" => (
                "rack restart: ready",
                "rack restart: most served by one",
                "rack restart: head reads",
            ),
            "region" => (
                "region restart: ready",
                "region restart: most served by one",
                "region restart: head reads",
            ),
            _ => (
                "data centre restart: ready",
                "data centre restart: most served by one",
                "data centre restart: head reads",
            ),
        };
        let per = "restarted VM";
        measurements.push(Measurement::new((names.0, "ms", per), points(|it| it.ready_ms), full));
        measurements.push(Measurement::new(
            (names.1, "bytes", per),
            points(|it| it.max_served),
            full,
        ));
        measurements.push(Measurement::new((names.2, "", per), points(|it| it.reads), full));
    }
    Ok(measurements)
}

fn cut_measurements() -> Result<Vec<Measurement>> {
    let mut measurements = Vec::new();
    let kinds = [
        (Cut::Zone(2), ["zone cut heals: live again", "zone cut heals: payload"]),
        (Cut::Regions(0, 1), ["two regions cut: live again", "two regions cut: payload"]),
    ];
    for (cut, names) in kinds {
        let mut all: Vec<Healing> = Vec::new();
        for count in SMALL_SIZES {
            eprintln!("fleets: {cut:?} is cut off among {count} entry VMs, and healed");
            let it = heal(count, cut);
            eprintln!("fleets: {it:?}");
            all.push(it);
        }
        let points = |y: fn(&Healing) -> f64| {
            all.iter().map(|it| (it.nodes as f64, y(it))).collect::<Vec<_>>()
        };
        let live = points(|it| it.members_all_ms.map_or(f64::NAN, |it| it as f64));
        measurements.push(Measurement::new((names[0], "ms", "entry VM"), live, FULL_SIZE));
        let payload = points(|it| it.payload_bytes_per_node_s);
        measurements.push(Measurement::new(
            (names[1], "bytes/s a VM", "entry VM"),
            payload,
            FULL_SIZE,
        ));
    }
    Ok(measurements)
}

/// Measures the steady state, rolls, restarts and network partitions of fleets.
pub(crate) fn measure() -> Result<Vec<Measurement>> {
    std::thread::scope(|scope| {
        let threads = [scope.spawn(restart_measurements), scope.spawn(cut_measurements)];
        let mut measurements = steady_measurements()?;
        for thread in threads {
            measurements.extend(thread.join().expect("a measurement panicked")?);
        }
        Ok(measurements)
    })
}
