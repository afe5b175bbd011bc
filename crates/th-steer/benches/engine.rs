//! Measures one engine tick, one received heartbeat and applying a bundle, with a full-size fleet.

#[path = "../examples/member_measure/sample.rs"]
#[allow(dead_code, reason = "only records and headroom are used")]
mod sample;
#[path = "../examples/shared/vm.rs"]
mod vm;
#[allow(dead_code, reason = "only the bundle is used")]
#[path = "../tests/world/mod.rs"]
mod world;

use std::{hint::black_box, sync::Arc};

use criterion::Criterion;
use th_protocol::{Bundle, Time, Version};
use vm::{Shape, bundle, engine, fleet, heartbeat};

const SHAPE: Shape = Shape { members: 2_500, eighths: 8, copies: 4 };
/// Time between ticks.
const TICK_MS: u64 = 100;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let bundle = Arc::new(bundle(&SHAPE));
    let fleet = fleet(&bundle, SHAPE.members);
    let mut engine = engine(&fleet, Arc::clone(&bundle));
    let mut now = 0;
    criterion.bench_function("engine tick", |b| {
        b.iter(|| {
            now += TICK_MS;
            black_box(engine.tick(Time(now)))
        });
    });
    let message = heartbeat(&fleet, 1, Time(now), 5);
    criterion.bench_function("engine heartbeat", |b| {
        b.iter(|| black_box(engine.on_heartbeat(&message, Time(now))));
    });
    let mut version = bundle.version;
    criterion.bench_function("engine put in force", |b| {
        b.iter(|| {
            version = version.plus(Version(1));
            let next = Bundle { version, ..Bundle::clone(&bundle) };
            black_box(engine.apply(Arc::new(next), Time(now)))
        });
    });
    criterion.final_summary();
}
