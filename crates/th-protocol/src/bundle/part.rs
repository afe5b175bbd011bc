//! Splits a bundle into parts, so that a small change needs only a small part to be transferred.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Block, ClassId, LinkId, OperatorId, RegionId, ZoneId,
    bundle::{
        digest::Digest,
        layout::MAX_PART_BYTES,
        manifest::{Manifest, PartName},
        spec::{Bundle, Class, Link, Region, Zone},
    },
};

/// Number of parts over which the classes are distributed.
pub const CLASS_PARTS: u8 = 16;
/// Largest number of blocks in one part; a part with more is split by the next bit of the
/// addresses.
pub const MAX_PART_BLOCKS: usize = 1024;

/// The part that holds regions, zones, links and operators.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Topology {
    pub(crate) regions: BTreeMap<RegionId, Region>,
    pub(crate) zones: BTreeMap<ZoneId, Zone>,
    pub(crate) links: BTreeMap<LinkId, Link>,
    pub(crate) operators: BTreeMap<OperatorId, String>,
}

/// A bundle split into parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitBundle {
    /// The names and digests of the parts.
    pub manifest: Manifest,
    /// The text of each part.
    pub parts: BTreeMap<Digest, String>,
}

impl SplitBundle {
    /// Returns the parts larger than [`MAX_PART_BYTES`], with their sizes in bytes.
    pub fn oversized(&self) -> Vec<(PartName, usize)> {
        let mut found = Vec::new();
        for (name, digest) in &self.manifest.parts {
            let size = self.parts.get(digest).map_or(0, String::len);
            if MAX_PART_BYTES < size {
                found.push((name.clone(), size));
            }
        }
        found
    }

    fn add(&mut self, name: PartName, part: &impl Serialize) {
        // A part has only maps with text keys and plain fields, which JSON can always represent.
        let text = serde_json::to_string(part).expect("a part is plain data");
        let digest = Digest::of(text.as_bytes());
        self.manifest.parts.insert(name, digest);
        self.parts.insert(digest, text);
    }
}

/// Splits `bundle` into parts. The same bundle always gives the same parts. `base` is the digest
/// of the manifest that the new one is meant to replace, if known.
pub fn split_bundle(bundle: &Bundle, base: Option<Digest>) -> SplitBundle {
    let manifest = Manifest { version: bundle.version, base, parts: BTreeMap::new() };
    let mut split = SplitBundle { manifest, parts: BTreeMap::new() };
    let topology = Topology {
        regions: bundle.regions.clone(),
        zones: bundle.zones.clone(),
        links: bundle.links.clone(),
        operators: bundle.operators.clone(),
    };
    split.add(PartName::Topology, &topology);
    for (id, service) in &bundle.services {
        split.add(PartName::Service(id.clone()), service);
    }
    for (shard, classes) in shard_classes(&bundle.classes) {
        split.add(PartName::Classes(shard), &classes);
    }
    let blocks: Vec<_> = bundle.blocks.iter().collect();
    split_blocks(&mut split, String::new(), &blocks);
    split
}

/// Returns the shard that a class belongs to.
pub(crate) fn class_shard(id: &ClassId) -> u8 {
    Digest::of(id.as_str().as_bytes()).bytes()[0] % CLASS_PARTS
}

fn shard_classes(classes: &BTreeMap<ClassId, Class>) -> BTreeMap<u8, BTreeMap<&ClassId, &Class>> {
    let mut shards = BTreeMap::<u8, BTreeMap<_, _>>::new();
    for (id, class) in classes {
        shards.entry(class_shard(id)).or_default().insert(id, class);
    }
    shards
}

/// Adds parts for `blocks`, which are sorted by address and share the leading `bits`.
fn split_blocks(split: &mut SplitBundle, bits: String, blocks: &[(&Block, &ClassId)]) {
    if blocks.is_empty() {
        return;
    }
    if blocks.len() <= MAX_PART_BLOCKS || bits.len() == 32 {
        let part: BTreeMap<_, _> = blocks.iter().copied().collect();
        split.add(PartName::Blocks(bits), &part);
        return;
    }
    let mask = 1 << (31 - bits.len());
    let middle = blocks.partition_point(|(block, _)| block.base() & mask == 0);
    split_blocks(split, format!("{bits}0"), &blocks[..middle]);
    split_blocks(split, format!("{bits}1"), &blocks[middle..]);
}
