//! Measures one look-up and one planner tick, with a full-size fleet.

#[path = "../tests/world/mod.rs"]
mod world;

use std::hint::black_box;

use criterion::Criterion;
use th_protocol::Time;
use th_steer::route::{ClassIx, LookupTables, PlannerInputs, ServiceIx, Settings, lookup};
use world::{Size, World};

/// Stride between the blocks of successive look-ups, so that they are not adjacent in memory.
const STRIDE: usize = 7_919;

fn look_up(c: &mut Criterion) {
    let size = Size::default();
    let World { map, fleet, planner, settings, .. } =
        world::world(&world::bundle(&size), size.vms, Settings::default());
    let weights = planner.in_force();
    let tables = LookupTables { map: &map, fleet: &fleet, weights, settings: &settings };
    let services = map.services().len();
    let mut i = 0;
    c.bench_function("lookup", |b| {
        b.iter(|| {
            i += 1;
            let service = ServiceIx((i % services) as u16);
            let address = world::address(i * STRIDE % size.blocks);
            black_box(lookup(&tables, service, address, Time(i as u64)))
        });
    });
}

fn tick(c: &mut Criterion) {
    let size = Size::default();
    let mut world = world::world(&world::bundle(&size), size.vms, Settings::default());
    for service in 0..world.map.services().len() {
        for class in 0..size.classes {
            world.demand.count(ServiceIx(service as u16), ClassIx(class as u16), 100);
        }
    }
    world.demand.close_window(Time(5_000));
    let World { map, fleet, demand, loads, mut planner, .. } = world;
    let inputs = PlannerInputs { map: &map, fleet: &fleet, demand: &demand, loads: &loads };
    c.bench_function("tick", |b| b.iter(|| planner.tick(Time(5_000), &inputs)));
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    look_up(&mut criterion);
    tick(&mut criterion);
    criterion.final_summary();
}
