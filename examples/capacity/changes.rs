//! Cost of one change of the bundle: memory, bytes transferred and processor time.

use eyre::{Result, eyre};
use th_protocol::{split_bundle, update_bundle};

use crate::{
    bundles::{self, Row},
    measurement::Measurement,
};

/// Shares of the full size, in eighths.
const EIGHTHS: [u32; 4] = [1, 2, 4, 8];

/// Measures the memory of a parsed bundle, and the memory that the next bundle adds when a server is drained. Both are
/// in bytes.
fn bundle_memory(eighths: u32) -> Result<(f64, f64)> {
    let mut made = None;
    let parsed = allocation_counter::measure(|| made = Some(bundles::bundle(eighths)));
    let bundle = made.ok_or_else(|| eyre!("no bundle was made"))?;
    let from = split_bundle(&bundle, None);
    let mut next = bundle.clone();
    bundles::drain(&mut next);
    let to = split_bundle(&next, None);
    drop(next);
    let mut updated = None;
    let added = allocation_counter::measure(|| {
        updated = Some(update_bundle(&bundle, &from.manifest, &to.manifest, &to.parts));
    });
    updated.ok_or_else(|| eyre!("no bundle was made"))??;
    Ok((parsed.bytes_current as f64, added.bytes_current as f64))
}

/// Measures the bytes transferred and the processor time at an entry VM, for a bundle of many small services.
pub(crate) fn measure() -> Result<Vec<Measurement>> {
    let (mut rows, mut memories) = (Vec::new(), Vec::new());
    for eighths in EIGHTHS {
        eprintln!("changes: {eighths}/8 of the full size");
        rows.push(bundles::measure(&bundles::bundle(eighths)));
        memories.push(bundle_memory(eighths)?);
    }
    let points = |y: fn(&Row) -> f64| rows.iter().map(|it| (f64::from(it.blocks), y(it))).collect();
    let full = rows.last().map_or(0.0, |it| f64::from(it.blocks));
    let of = |name, unit, y| Measurement::new((name, unit, "block"), points(y), full);
    let bytes = |name, y: fn(&(f64, f64)) -> f64| {
        let sizes = rows.iter().map(|it| f64::from(it.blocks));
        Measurement::new(
            (name, "bytes", "block"),
            sizes.zip(memories.iter().map(y)).collect(),
            full,
        )
    };
    Ok(vec![
        bytes("bundle, parsed, 430 services", |it| it.0),
        bytes("added by the next bundle, 430 services", |it| it.1),
        of("parts", "", |it| it.parts as f64),
        of("whole bundle", "bytes", |it| it.whole_bytes as f64),
        of("manifest and head", "bytes", |it| it.head_bytes as f64),
        of("part of a service", "bytes", |it| it.service_bytes as f64),
        of("part of blocks", "bytes", |it| it.block_bytes as f64),
        of("part of classes", "bytes", |it| it.class_bytes as f64),
        of("part of regions and links", "bytes", |it| it.topology_bytes as f64),
        of("mean change at 3900 a day", "bytes/s", |it| it.mean_bytes_per_second),
        of("costliest change at 3900 a day", "bytes/s", |it| it.worst_bytes_per_second),
        of("whole bundle at 3900 a day", "bytes/s", |it| {
            it.whole_bytes as f64 * bundles::CHANGES_PER_DAY / bundles::DAY_SECONDS
        }),
        of("assemble", "ms", |it| it.assemble_ms),
        of("check_bundle", "ms", |it| it.check_bundle_ms),
        of("update", "ms", |it| it.update_ms),
        of("check_rules", "ms", |it| it.check_rules_ms),
    ])
}
