//! Measures the routing tables at four sizes and fits a line to each figure.
//!
//! `cargo run --release -p th-steer --example route_measure -- [--json]`

mod figures;
#[path = "../shared/fit.rs"]
mod fit;
#[path = "../../tests/world/mod.rs"]
mod world;

use figures::{Figures, measure, size};
use fit::Fit;

/// Measured sizes, in eighths of the full size.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];

/// A figure and the line fitted to it.
#[derive(Debug, serde::Serialize)]
struct Line {
    figure: &'static str,
    per: &'static str,
    fit: Fit,
}

fn fits(all: &[Figures]) -> Vec<Line> {
    type Pick = fn(&Figures) -> f64;
    let blocks: Pick = |it| it.blocks as f64;
    let cells: Pick = |it| it.classes as f64 * it.sites as f64;
    let of = |figure, per, x: Pick, y: Pick| {
        let points: Vec<(f64, f64)> = all.iter().map(|it| (x(it), y(it))).collect();
        Line { figure, per, fit: Fit::new(&points) }
    };
    vec![
        of("build_ms", "block", blocks, |it| it.build_ms),
        of("table_bytes", "class x site", cells, |it| it.table_bytes),
        of("bundle_bytes", "block", blocks, |it| it.bundle_bytes),
        of("lookup_ns", "block", blocks, |it| it.lookup_ns),
        of("tick_ms", "class x site", cells, |it| it.tick_ms),
    ]
}

fn main() {
    let json = std::env::args().any(|it| it == "--json");
    let mut all = Vec::new();
    for eighths in EIGHTHS {
        eprintln!("measuring {eighths}/8 of the full size");
        all.push(measure(&size(eighths)));
    }
    let fits = fits(&all);
    if json {
        println!("{}", serde_json::json!({ "sizes": all, "fits": fits }));
        return;
    }
    for it in &all {
        println!("{it:#?}");
    }
    for it in &fits {
        println!(
            "{} = {:.4} + {:.3e} per {}, r2 {:.4}",
            it.figure, it.fit.offset, it.fit.slope, it.per, it.fit.r_squared
        );
    }
}
