//! The time to put a bundle together from its parts, and from the one before it.

#[allow(dead_code, reason = "only the bundle is taken from it")]
#[path = "../examples/bundle_measure/sizes.rs"]
mod sizes;

use std::hint::black_box;

use criterion::Criterion;
use th_protocol::{assemble, check_bundle, check_rules, split, update};

/// The full size.
const EIGHTHS: u32 = 8;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let old = sizes::bundle(EIGHTHS);
    let from = split(&old, None);
    let mut new = old.clone();
    sizes::drain(&mut new);
    let to = split(&new, None);
    criterion.bench_function("bundle parse", |b| {
        b.iter(|| {
            let bundle = assemble(&from.manifest, &from.parts).expect("the parts are all there");
            black_box(check_bundle(&bundle))
        });
    });
    criterion.bench_function("bundle apply", |b| {
        b.iter(|| {
            let bundle = update(&old, &from.manifest, &to.manifest, &to.parts);
            black_box(check_rules(&bundle.expect("the parts are all there")))
        });
    });
    criterion.final_summary();
}
