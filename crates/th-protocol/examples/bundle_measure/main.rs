//! Measures the size of a manifest and of single changes for bundles of four sizes.
//!
//! `cargo run --release -p th-protocol --example bundle_measure -- [--json]`

mod sizes;

use sizes::{CHANGES_PER_DAY, DAY_SECONDS, bundle, measure};

const BUDGET_BYTES_PER_SECOND: f64 = 5_000.0;
const EIGHTHS: [u32; 4] = [1, 2, 4, 8];

fn main() {
    let json = std::env::args().any(|it| it == "--json");
    let mut rows = Vec::new();
    for eighths in EIGHTHS {
        eprintln!("measuring {eighths}/8 of the full size");
        rows.push(measure(&bundle(eighths)));
    }
    if json {
        println!("{}", serde_json::to_string(&rows).expect("rows are plain data"));
        return;
    }
    for row in &rows {
        println!("{row:#?}");
        let whole = (row.whole_bytes + row.head_bytes) as f64 * CHANGES_PER_DAY / DAY_SECONDS;
        let share = row.worst_bytes_per_second / BUDGET_BYTES_PER_SECOND * 100.0;
        println!(
            "whole bundle per change: {whole:.0} B/s; worst change: {share:.0}% of the budget"
        );
    }
}
