//! The engine of one entry VM: processor time in the steady state without requests, and memory.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{Result, ensure};
use th_protocol::{Bundle, Revision, Time, Version, ZoneId};
use th_steer::{
    engine::{Action, Claims, Engine, ShardAction},
    limit::Answer,
    member::MemberAction,
};

use crate::{
    measurement::Measurement,
    vm::{Fleet, Shape, bundle, engine, fleet, heartbeat},
    world::{self, Size},
};

/// Numbers of entry VMs.
const MEMBERS: [usize; 4] = [312, 625, 1_250, 2_500];
/// Shares of the full number of blocks and classes, in eighths.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];
/// Backend servers of each service in each data centre.
const COPIES: [usize; 4] = [1, 2, 4, 8];
const FULL_COPIES: usize = 4;
const TICK_MS: u64 = 100;
const WARMUP_MS: u64 = 10_000;
const END_MS: u64 = 30_000;
/// Heartbeats that arrive per second.
const HEARTBEATS_PER_S: u64 = 2;

/// The smallest sizes, of which one is varied at a time.
const BASE_SHAPE: Shape = Shape { members: 312, eighths: 1, copies: 1 };

/// Processor time and probes of an entry VM in the steady state without requests.
#[derive(Debug, Default)]
struct Rest {
    us: f64,
    tick_us: f64,
    longest_us: f64,
    probes: f64,
}

/// An engine with simulated answers to its actions; measures the time spent in the engine.
struct EngineBench<'a> {
    fleet: &'a Fleet,
    index: BTreeMap<th_protocol::VmId, usize>,
    engine: Engine<()>,
    engine_time: Duration,
    tick_times: Vec<f64>,
    probes: u64,
}

impl EngineBench<'_> {
    fn timed<T>(&mut self, run: impl FnOnce(&mut Engine<()>) -> T) -> T {
        let start = Instant::now();
        let found = run(&mut self.engine);
        self.engine_time += start.elapsed();
        found
    }

    /// Runs a tick and feeds the engine simulated answers to its actions.
    fn tick(&mut self, now: Time) {
        let before = self.engine_time;
        let actions = self.timed(|engine| engine.tick(now));
        self.tick_times.push((self.engine_time - before).as_secs_f64() * 1e6);
        let mut answers = 0;
        for action in actions {
            match action {
                Action::Member(MemberAction::Heartbeat { to, .. }) => {
                    let answer = heartbeat(self.fleet, self.index[&to], now, 5);
                    self.timed(|engine| engine.on_answer(&answer, now));
                    answers += 1;
                }
                Action::Shard(ShardAction::Read(zone)) => self.claim_shards(&zone, now),
                Action::Probe { backend, .. } => {
                    self.probes += 1;
                    self.timed(|engine| engine.on_probe(&backend, true, now));
                }
                _ => {}
            }
        }
        // The entry process runs one more tick after each answer.
        for _ in 0..answers {
            self.timed(|engine| engine.tick(now));
        }
    }

    fn claim_shards(&mut self, zone: &ZoneId, now: Time) {
        let list = &self.fleet.list;
        let writes = self.engine.on_shard_read(zone, Some(&Claims::new()), list, now);
        for write in writes {
            if let ShardAction::Write(zone, index, ..) = write {
                self.engine.on_shard_write(&zone, index, &Answer::Applied(Revision(1)), now);
            }
        }
    }
}

fn measure_steady(shape: &Shape) -> Result<Rest> {
    let bundle = Arc::new(bundle(shape));
    let fleet = fleet(&bundle, shape.members);
    let mut index = BTreeMap::new();
    for (i, record) in fleet.records.iter().enumerate() {
        index.insert(record.vm.clone(), i);
    }
    let engine = engine(&fleet, bundle);
    let mut bench = EngineBench {
        fleet: &fleet,
        index,
        engine,
        engine_time: Duration::ZERO,
        tick_times: Vec::new(),
        probes: 0,
    };
    for now in (0..END_MS).step_by(TICK_MS as usize) {
        if now == WARMUP_MS {
            (bench.engine_time, bench.probes) = (Duration::ZERO, 0);
            bench.tick_times.clear();
        }
        if now.is_multiple_of(1_000 / HEARTBEATS_PER_S) {
            let from = 1 + (now as usize / 100) % (shape.members - 1);
            let message = heartbeat(&fleet, from, Time(now), 5);
            bench.timed(|engine| engine.on_heartbeat(&message, Time(now)));
            bench.timed(|engine| engine.tick(Time(now)));
        }
        bench.tick(Time(now));
    }
    ensure!(
        bench.engine.member_count() == shape.members,
        "the engine does not know all entry VMs of the fleet"
    );
    let seconds = (END_MS - WARMUP_MS) as f64 / 1_000.0;
    bench.tick_times.sort_by(f64::total_cmp);
    Ok(Rest {
        us: bench.engine_time.as_secs_f64() * 1e6 / seconds,
        tick_us: bench.tick_times[bench.tick_times.len() / 2],
        longest_us: bench.tick_times[bench.tick_times.len() - 1],
        probes: bench.probes as f64 / seconds,
    })
}

/// Memory of an entry VM, and the time and memory that it needs to put another bundle in force.
struct Memory {
    engine_bytes: f64,
    bundle_bytes: f64,
    apply_ms: f64,
    peak_bytes: f64,
}

fn measure_memory(shape: &Shape) -> Memory {
    let mut parsed = None;
    let parsing = allocation_counter::measure(|| parsed = Some(Arc::new(bundle(shape))));
    let first = parsed.expect("the closure sets it");
    let fleet = fleet(&first, shape.members);
    let mut made = None;
    let building = allocation_counter::measure(|| made = Some(engine(&fleet, Arc::clone(&first))));
    let mut engine = made.expect("the closure sets it");
    let next = Arc::new(Bundle { version: Version(2), ..Bundle::clone(&first) });
    let start = Instant::now();
    let applying = allocation_counter::measure(|| {
        engine.apply(next, Time(1_000));
    });
    Memory {
        engine_bytes: building.bytes_current as f64,
        bundle_bytes: parsing.bytes_current as f64,
        apply_ms: start.elapsed().as_secs_f64() * 1e3,
        peak_bytes: applying.bytes_max as f64,
    }
}

/// Prints the time of complete look-ups at the full size, with their reasons and tickets.
fn measure_lookups() -> Result<()> {
    const COUNT: usize = 100_000;
    let shape = Shape { members: 2_500, eighths: 8, copies: FULL_COPIES };
    let bundle = Arc::new(bundle(&shape));
    let fleet = fleet(&bundle, shape.members);
    let mut engine = engine(&fleet, Arc::clone(&bundle));
    engine.tick(Time(1_000));
    let services: Vec<_> = bundle.services.keys().cloned().collect();
    for operation in ["check", "book"] {
        let id = operation.parse().expect("the text is a valid id");
        let start = Instant::now();
        for i in 0..COUNT {
            let source = world::address(i * 7_919 % 130_000);
            let found = engine.lookup(&services[i % services.len()], &id, source, Time(1_500));
            ensure!(found.is_ok(), "the look-up failed: {found:?}");
        }
        let ns = start.elapsed().as_secs_f64() * 1e9 / COUNT as f64;
        eprintln!("engines: a whole look-up for `{operation}` takes {ns:.0} ns at the full size");
    }
    Ok(())
}

/// Measures the engine of one entry VM by number of entry VMs, of blocks and of backend servers.
pub(crate) fn measure() -> Result<Vec<Measurement>> {
    let mut measurements = Vec::new();
    let (mut by_members, mut by_blocks, mut by_backends) = (Vec::new(), Vec::new(), Vec::new());
    let full = Size::default();
    for members in MEMBERS {
        eprintln!("engines: {members} entry VMs");
        let shape = Shape { members, ..BASE_SHAPE };
        by_members.push((members as f64, measure_steady(&shape)?, measure_memory(&shape)));
    }
    for eighths in EIGHTHS {
        eprintln!("engines: {eighths}/8 of the blocks and classes");
        let shape = Shape { eighths, ..BASE_SHAPE };
        let blocks = (full.blocks * eighths / 8) as f64;
        by_blocks.push((blocks, measure_steady(&shape)?, measure_memory(&shape)));
    }
    for copies in COPIES {
        eprintln!("engines: {copies} backend servers at each site");
        let shape = Shape { copies, ..BASE_SHAPE };
        by_backends.push((
            (full.sites * copies) as f64,
            measure_steady(&shape)?,
            measure_memory(&shape),
        ));
    }
    let sets = [
        ("entry VM", &by_members, full.vms as f64),
        ("block", &by_blocks, full.blocks as f64),
        ("backend server", &by_backends, (full.sites * FULL_COPIES) as f64),
    ];
    for (per, set, full_size) in sets {
        let mut add = |name, unit, y: fn(&Rest, &Memory) -> f64| {
            let points = set.iter().map(|(x, rest, memory)| (*x, y(rest, memory))).collect();
            measurements.push(Measurement::new((name, unit, per), points, full_size));
        };
        add("decisions at rest", "us/s", |rest, _| rest.us);
        add("tick, median", "us", |rest, _| rest.tick_us);
        add("tick, longest", "us", |rest, _| rest.longest_us);
        add("probes", "1/s", |rest, _| rest.probes);
        add("decisions", "bytes", |_, memory| memory.engine_bytes);
        add("bundle, parsed", "bytes", |_, memory| memory.bundle_bytes);
        add("bundle put in force", "ms", |_, memory| memory.apply_ms);
        add("memory added while put in force", "bytes", |_, memory| memory.peak_bytes);
    }
    let all = Shape { members: 2_500, eighths: 8, copies: FULL_COPIES };
    let (rest, memory) = (measure_steady(&all)?, measure_memory(&all));
    eprintln!(
        "engines: all at the full size: {rest:?}; decisions {} B, bundle {} B, put in force {:.1} ms and {} B more",
        memory.engine_bytes, memory.bundle_bytes, memory.apply_ms, memory.peak_bytes
    );
    measure_lookups()?;
    Ok(measurements)
}
