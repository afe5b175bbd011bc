//! Time to assemble a bundle from its parts, and to update it from the previous bundle.

#[allow(dead_code, reason = "the benchmark uses only the bundle functions")]
#[path = "../examples/bundle_measure/sizes.rs"]
mod sizes;

use std::hint::black_box;

use criterion::Criterion;
use th_protocol::{assemble_bundle, check_bundle, check_rules, split_bundle, update_bundle};

/// Size of the bundle in eighths of the full size.
const EIGHTHS: u32 = 8;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let old = sizes::bundle(EIGHTHS);
    let from = split_bundle(&old, None);
    let mut new = old.clone();
    sizes::drain(&mut new);
    let to = split_bundle(&new, None);
    criterion.bench_function("bundle parse", |b| {
        b.iter(|| {
            let bundle =
                assemble_bundle(&from.manifest, &from.parts).expect("all parts are present");
            black_box(check_bundle(&bundle))
        });
    });
    criterion.bench_function("bundle apply", |b| {
        b.iter(|| {
            let bundle = update_bundle(&old, &from.manifest, &to.manifest, &to.parts);
            black_box(check_rules(&bundle.expect("all parts are present")))
        });
    });
    criterion.final_summary();
}
