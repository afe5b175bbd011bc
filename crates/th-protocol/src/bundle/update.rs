//! Builds a bundle from the previous bundle and the parts that differ.

use std::{collections::BTreeMap, net::Ipv4Addr};

use crate::{
    Block,
    bundle::{
        digest::Digest,
        manifest::{Manifest, PartName, Result, add_part, check_names},
        part::class_shard,
        spec::Bundle,
    },
};

/// Builds the bundle of manifest `to` from `old`, the bundle of manifest `from`. `parts` needs to
/// contain only the parts that `from` does not list; each is checked against its digest.
pub fn update_bundle<B: AsRef<[u8]>>(
    old: &Bundle,
    from: &Manifest,
    to: &Manifest,
    parts: &BTreeMap<Digest, B>,
) -> Result<Bundle> {
    check_names(to)?;
    let mut bundle = Bundle { version: to.version, ..old.clone() };
    for (name, digest) in &from.parts {
        if to.parts.get(name) != Some(digest) {
            remove_part(&mut bundle, name);
        }
    }
    for (name, digest) in &to.parts {
        if from.parts.get(name) != Some(digest) {
            add_part(&mut bundle, name, digest, parts)?;
        }
    }
    Ok(bundle)
}

fn remove_part(bundle: &mut Bundle, name: &PartName) {
    match name {
        // Every manifest has a topology part, and adding it replaces the previous topology.
        PartName::Topology => (),
        PartName::Service(id) => {
            bundle.services.remove(id);
        }
        PartName::Classes(shard) => bundle.classes.retain(|id, _| class_shard(id) != *shard),
        PartName::Blocks(bits) => remove_blocks(bundle, bits),
    }
}

fn remove_blocks(bundle: &mut Bundle, bits: &str) {
    let lowest = format!("{bits:0<32}");
    let highest = format!("{bits:1<32}");
    let block = |bits: &str, length| {
        let raw = u32::from_str_radix(bits, 2).ok()?;
        Block::new(Ipv4Addr::from(raw), length).ok()
    };
    // Blocks are ordered by address, then by prefix length, so a shorter prefix with the same
    // lowest address precedes `first`. The loop therefore compares addresses.
    let (Some(first), Some(last)) = (block(&lowest, 32), block(&highest, 32)) else { return };
    let low = first.base();
    let mut removed = Vec::new();
    for (block, _) in bundle.blocks.range(..=last).rev() {
        if block.base() < low {
            break;
        }
        removed.push(*block);
    }
    for block in removed {
        bundle.blocks.remove(&block);
    }
}
