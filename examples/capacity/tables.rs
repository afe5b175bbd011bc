//! Time of look-ups, and memory and planning time of the route tables.

use eyre::Result;

use crate::{
    figures::{Figures, measure as measure_tables, size},
    measurement::Measurement,
};

/// Shares of the full size, in eighths.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];

/// Measures the time of a look-up, the memory of the route tables and of the parsed bundle, and the planning time.
pub(crate) fn measure() -> Result<Vec<Measurement>> {
    let mut all = Vec::new();
    for eighths in EIGHTHS {
        eprintln!("tables: {eighths}/8 of the full size");
        all.push(measure_tables(&size(eighths)));
    }
    let full = size(8);
    let cells = |it: &Figures| (it.classes * it.sites) as f64;
    let blocks = |it: &Figures| it.blocks as f64;
    let sites = |it: &Figures| it.sites as f64;
    let points = |x: fn(&Figures) -> f64, y: fn(&Figures) -> f64| {
        all.iter().map(|it| (x(it), y(it))).collect::<Vec<_>>()
    };
    let (at_blocks, at_sites) = (full.blocks as f64, full.sites as f64);
    let at_cells = (full.classes * full.sites) as f64;
    Ok(vec![
        Measurement::new(("look-up", "ns", "block"), points(blocks, |it| it.lookup_ns), at_blocks),
        Measurement::new(("look-up", "ns", "site"), points(sites, |it| it.lookup_ns), at_sites),
        Measurement::new(
            ("route tables", "bytes", "class x site"),
            points(cells, |it| it.table_bytes),
            at_cells,
        ),
        Measurement::new(
            ("parsed bundle", "bytes", "block"),
            points(blocks, |it| it.bundle_bytes),
            at_blocks,
        ),
        Measurement::new(
            ("planning", "ms", "class x site"),
            points(cells, |it| it.tick_ms),
            at_cells,
        ),
    ])
}
