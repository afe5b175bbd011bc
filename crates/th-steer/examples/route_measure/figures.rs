//! Measures times and memory of the routing tables at one size.

use std::{hint::black_box, time::Instant};

use serde::Serialize;
use th_protocol::{Bundle, Time};
use th_steer::{
    explain,
    route::{
        ClassIx, LookupTables, PendingEffects, PlannerInputs, RegionIx, RouteMap, ServiceIx,
        Settings, lookup,
    },
};

use crate::world::{self, Size};

const LOOKUPS: usize = 400_000;
const ROUNDS: usize = 15;
/// Step from block to block, so that consecutive look-ups do not read adjacent memory.
const STRIDE: usize = 7_919;

/// Measured figures at one size.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Figures {
    pub(crate) blocks: usize,
    pub(crate) classes: usize,
    pub(crate) sites: usize,
    pub(crate) vms: usize,
    /// Milliseconds to build the map and the fleet from a bundle.
    pub(crate) build_ms: f64,
    /// Memory of all routing tables in bytes, as counted by the allocator.
    pub(crate) table_bytes: f64,
    /// Memory of all routing tables in bytes, as returned by their own `bytes` methods.
    pub(crate) said_bytes: f64,
    /// Memory of the parsed bundle in bytes, which is not part of the tables.
    pub(crate) bundle_bytes: f64,
    /// Memory of the journal of decisions, in bytes.
    pub(crate) journal_bytes: f64,
    /// Nanoseconds for one look-up: the minimum and the median of the rounds.
    pub(crate) lookup_least_ns: f64,
    pub(crate) lookup_ns: f64,
    /// Allocations over all look-ups.
    pub(crate) lookup_allocations: f64,
    /// Milliseconds for one tick over all classes and services: the minimum and the median.
    pub(crate) tick_least_ms: f64,
    pub(crate) tick_ms: f64,
    /// Share of a core that the ticks use at their usual period, in percent.
    pub(crate) tick_percent: f64,
    /// Milliseconds to refresh the fleet after one entry VM changed.
    pub(crate) refresh_ms: f64,
}

/// Returns a size in eighths of the full size.
pub(crate) fn size(eighths: usize) -> Size {
    let full = Size::default();
    Size {
        sites: full.sites * eighths / 8,
        vms: full.vms * eighths / 8,
        blocks: full.blocks * eighths / 8,
        classes: full.classes * eighths / 8,
        ..full
    }
}

fn sorted(mut times: Vec<f64>) -> Vec<f64> {
    times.sort_by(f64::total_cmp);
    times
}

fn seconds(run: impl FnOnce()) -> f64 {
    let start = Instant::now();
    run();
    start.elapsed().as_secs_f64()
}

/// Measures the routing tables at that size.
pub(crate) fn measure(size: &Size) -> Figures {
    let mut bundle = Bundle::default();
    let parsed = allocation_counter::measure(|| bundle = world::bundle(size));
    let settings = Settings::default();
    let build = seconds(|| {
        let map = RouteMap::new(&bundle, None);
        black_box(world::fleet(&map, size.vms, &settings));
    });
    let mut made = None;
    let memory = allocation_counter::measure(|| {
        let world = world::world(&bundle, size.vms, settings.clone());
        let (services, regions) = (world.map.services().len(), world.map.regions().len());
        made = Some((world, PendingEffects::new(services, regions, settings.ttl)));
    });
    let Some((mut world, mut effects)) = made else { return Figures::default() };
    let services = world.map.services().len();
    for service in 0..services {
        for class in 0..size.classes {
            world.demand.count(ServiceIx(service as u16), ClassIx(class as u16), 100);
        }
    }
    world.demand.close_window(Time(5_000));
    let ticks = ticks(&mut world, &mut effects, size);
    let (lookups, allocations) = lookups(&world, size);
    let refresh = seconds(|| {
        let vm = th_steer::route::VmIx(0);
        world.fleet.observe(vm, th_steer::route::VmState::Dead, Time(6_000));
        world.fleet.refresh(&world.map, &settings, Time(6_000));
    });
    let reported = world.map.bytes()
        + world.fleet.bytes()
        + world.demand.bytes()
        + world.loads.bytes()
        + world.planner.bytes()
        + effects.bytes();
    let period = settings.period.0 as f64;
    Figures {
        blocks: size.blocks,
        classes: size.classes,
        sites: size.sites,
        vms: size.vms,
        build_ms: build * 1e3,
        table_bytes: memory.bytes_current as f64,
        said_bytes: reported as f64,
        bundle_bytes: parsed.bytes_current as f64,
        journal_bytes: explain::Journal::new(&explain::Settings::default()).bytes() as f64,
        lookup_least_ns: lookups[0],
        lookup_ns: lookups[ROUNDS / 2],
        lookup_allocations: allocations,
        tick_least_ms: ticks[0],
        tick_ms: ticks[ROUNDS / 2],
        tick_percent: ticks[ROUNDS / 2] / period * 100.0,
        refresh_ms: refresh * 1e3,
    }
}

/// Measures the milliseconds of each tick: closing the demand's window, applying measured loads,
/// planning, stepping the weights and recording effects.
fn ticks(world: &mut world::World, effects: &mut PendingEffects, size: &Size) -> Vec<f64> {
    let mut times = Vec::new();
    for round in 1..=ROUNDS {
        let now = Time(5_000 + 5_000 * round as u64);
        let services = world.map.services().len();
        for service in 0..services {
            for class in 0..size.classes {
                let count = 100 + (class * round % 50) as u32;
                world.demand.count(ServiceIx(service as u16), ClassIx(class as u16), count);
            }
        }
        let time = seconds(|| {
            world.demand.close_window(now);
            let world::World { map, fleet, demand, loads, planner, .. } = world;
            for service in 0..services {
                let service = ServiceIx(service as u16);
                for region in 0..map.regions().len() {
                    let region = RegionIx(region as u16);
                    let sample = th_steer::route::LoadSample { busy: 30.0, at: now };
                    let expected = planner.expected_load(map, service, region);
                    loads.observe(service, region, sample, expected, effects);
                }
            }
            let inputs = PlannerInputs { map, fleet, demand, loads };
            planner.tick(now, &inputs);
            for service in 0..services {
                let service = ServiceIx(service as u16);
                black_box(planner.distance(service, demand));
                planner.step(service, th_protocol::Permille(200));
                planner.commit(service, now, &inputs, effects);
            }
        });
        times.push(time * 1e3);
    }
    sorted(times)
}

/// Measures the nanoseconds of one look-up in each round, and the allocations of all look-ups.
fn lookups(world: &world::World, size: &Size) -> (Vec<f64>, f64) {
    let world::World { map, fleet, planner, settings, .. } = world;
    let tables = LookupTables { map, fleet, weights: planner.in_force(), settings };
    let services = map.services().len();
    let mut times = Vec::with_capacity(ROUNDS);
    let seen = allocation_counter::measure(|| {
        for _ in 0..ROUNDS {
            let time = seconds(|| {
                for i in 0..LOOKUPS {
                    let service = ServiceIx((i % services) as u16);
                    let address = world::address(i * STRIDE % size.blocks);
                    black_box(lookup(&tables, service, address, Time(i as u64)));
                }
            });
            times.push(time * 1e9 / LOOKUPS as f64);
        }
    });
    (sorted(times), seen.count_total as f64)
}
