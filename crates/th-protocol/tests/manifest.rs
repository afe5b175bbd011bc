//! Splitting, assembling and updating bundles; a small change affects one small part.

use std::{collections::BTreeMap, net::Ipv4Addr};

use rstest::rstest;
use th_protocol::{
    Backend, Block, Bundle, Class, Digest, MAX_PART_BLOCKS, ManifestError, Millis, PartName,
    Region, Service, Slots, Version, Zone, assemble_bundle, split_bundle, update_bundle,
};

/// Returns a bundle with this many services, classes and blocks; the blocks are consecutive `/24`s.
fn bundle(services: u32, classes: u32, blocks: u32) -> Bundle {
    let mut it = Bundle { version: Version(1), ..Bundle::default() };
    it.regions.insert("north".parse().unwrap(), Region { cap: Slots(40), ..Region::default() });
    let zone = Zone { region: "north".parse().unwrap(), shards: 1 };
    it.zones.insert("n1".parse().unwrap(), zone);
    for n in 0..services {
        let backend = Backend {
            zone: "n1".parse().unwrap(),
            address: format!("10.0.{}.{}:80", n / 256, n % 256).parse().unwrap(),
            slots: Slots(4),
            connections: th_protocol::Connections(330),
            leaving: false,
        };
        let backends = [("b1".parse().unwrap(), backend)].into();
        let service = Service { backends, ..Service::default() };
        it.services.insert(format!("s{n}").parse().unwrap(), service);
    }
    for n in 0..classes {
        let delays = [("north".parse().unwrap(), Millis(n.into()))].into();
        it.classes.insert(format!("c{n}").parse().unwrap(), Class { delays });
    }
    for n in 0..blocks {
        let block = Block::new(Ipv4Addr::from(0x0a00_0000 + n * 256), 24).unwrap();
        it.blocks.insert(block, format!("c{}", n % classes).parse().unwrap());
    }
    it
}

#[rstest]
#[case(1, 0, 0)]
#[case(3, 40, 100)]
#[case(40, 100, MAX_PART_BLOCKS as u32 * 3 + 1)]
fn assembling_the_parts_restores_the_bundle(
    #[case] services: u32,
    #[case] classes: u32,
    #[case] blocks: u32,
) {
    let bundle = bundle(services, classes, blocks);
    let it = split_bundle(&bundle, None);
    assert_eq!(split_bundle(&bundle, None), it);
    assert_eq!(assemble_bundle(&it.manifest, &it.parts), Ok(bundle));
    for name in it.manifest.parts.keys() {
        assert_eq!(name.to_string().parse().as_ref(), Ok(name));
    }
}

type Change = fn(&mut Bundle);

fn add_host_blocks(it: &mut Bundle, blocks: impl Iterator<Item = u32>) {
    for raw in blocks {
        let block = Block::new(Ipv4Addr::from(raw), 32).unwrap();
        it.blocks.insert(block, "c0".parse().unwrap());
    }
}

/// An update with only the parts that differ gives the same bundle as assembling all parts.
#[rstest]
#[case::nothing(|_: &mut Bundle| ())]
#[case::drain(drain)]
#[case::service_removed(|it: &mut Bundle| drop(it.services.remove(&"s7".parse().unwrap())))]
#[case::classes_removed(|it: &mut Bundle| it.classes.retain(|id, _| id.as_str() < "c3"))]
#[case::region(|it: &mut Bundle| it.regions.values_mut().next().unwrap().cap = Slots(1))]
#[case::blocks_removed(|it: &mut Bundle| it.blocks.clear())]
#[case::half_the_blocks(|it: &mut Bundle| it.blocks.retain(|block, _| block.base() % 512 == 0))]
#[case::parts_split(|it: &mut Bundle| add_host_blocks(it, 0x0a00_0100..0x0a00_0900))]
#[case::highest_addresses(|it: &mut Bundle| add_host_blocks(it, u32::MAX - 2000..=u32::MAX))]
#[case::lowest_addresses(|it: &mut Bundle| add_host_blocks(it, 0..2000))]
fn update_equals_full_assembly(#[case] change: Change) {
    let old = bundle(40, 100, MAX_PART_BLOCKS as u32 * 3);
    let mut new = Bundle { version: Version(2), ..old.clone() };
    change(&mut new);
    for (old, new) in [(&old, &new), (&new, &old)] {
        let (from, to) = (split_bundle(old, None), split_bundle(new, None));
        let mut parts = to.parts.clone();
        parts.retain(|digest, _| !from.parts.contains_key(digest));
        let found = update_bundle(old, &from.manifest, &to.manifest, &parts);
        assert!(found.as_ref() == Ok(new), "{} new parts", parts.len());
    }
}

fn drain(it: &mut Bundle) {
    let service = it.services.get_mut(&"s7".parse().unwrap()).unwrap();
    service.backends.values_mut().next().unwrap().leaving = true;
}

#[rstest]
#[case::version(|it: &mut Bundle| it.version = Version(2), &[])]
#[case::drain(drain, &["service/s7"])]
#[case::delay(|it: &mut Bundle| it.classes.values_mut().next().unwrap().delays.clear(), &["classes/"])]
#[case::block(|it: &mut Bundle| *it.blocks.values_mut().next().unwrap() = "c9".parse().unwrap(), &["blocks/"])]
#[case::region(|it: &mut Bundle| it.regions.values_mut().next().unwrap().cap = Slots(1), &["topology"])]
fn change_replaces_only_its_own_part(#[case] change: Change, #[case] changed: &[&str]) {
    let mut bundle = bundle(40, 100, MAX_PART_BLOCKS as u32 * 3);
    let before = split_bundle(&bundle, None);
    change(&mut bundle);
    let after = split_bundle(&bundle, None);
    let mut names = Vec::new();
    for (name, digest) in &after.manifest.parts {
        if before.manifest.parts.get(name) != Some(digest) {
            names.push(name.to_string());
        }
    }
    assert_eq!(names.len(), changed.len(), "{names:?}");
    for (name, start) in names.iter().zip(changed) {
        assert!(name.starts_with(start), "{name}");
    }
}

/// Guards against endless splitting: blocks with the same base address share all 32 bits, so they
/// stay in one part although they exceed the limit.
#[test]
fn blocks_with_one_base_address_share_a_part() {
    let mut it = bundle(1, 1, 0);
    for length in 8..=32 {
        let block = Block::new(Ipv4Addr::new(10, 0, 0, 0), length).unwrap();
        it.blocks.insert(block, "c0".parse().unwrap());
    }
    for n in 0..MAX_PART_BLOCKS as u32 {
        let block = Block::new(Ipv4Addr::from(0x0a00_0000 + n), 32).unwrap();
        it.blocks.insert(block, "c0".parse().unwrap());
    }
    let split = split_bundle(&it, None);
    assert_eq!(assemble_bundle(&split.manifest, &split.parts), Ok(it));
}

fn topology() -> (PartName, Digest) {
    let it = split_bundle(&bundle(1, 0, 0), None);
    (PartName::Topology, it.manifest.parts[&PartName::Topology])
}

fn assemble_modified(
    change: impl FnOnce(&mut BTreeMap<Digest, String>, &Digest),
) -> Result<Bundle, ManifestError> {
    let mut it = split_bundle(&bundle(1, 0, 0), None);
    change(&mut it.parts, &topology().1);
    assemble_bundle(&it.manifest, &it.parts)
}

#[test]
fn missing_part_is_reported_by_name() {
    let (name, digest) = topology();
    let result = assemble_modified(|parts, digest| drop(parts.remove(digest)));
    assert_eq!(result, Err(ManifestError::Missing { name, digest }));
}

#[test]
fn modified_part_is_reported_by_name() {
    let (name, wanted) = topology();
    let result = assemble_modified(|parts, digest| parts.get_mut(digest).unwrap().push(' '));
    let Err(ManifestError::Mismatch { name: it, wanted: digest, .. }) = result else {
        panic!("{result:?}");
    };
    assert_eq!((it, digest), (name, wanted));
}

#[test]
fn manifest_without_topology_is_malformed() {
    let mut it = split_bundle(&bundle(1, 0, 0), None);
    it.manifest.parts.remove(&PartName::Topology);
    let result = assemble_bundle(&it.manifest, &it.parts);
    assert!(matches!(result, Err(ManifestError::Malformed(_))), "{result:?}");
}

/// Guards against an update that removes entries of another part.
#[rstest]
#[case("blocks/1", r#"{"10.0.0.0/24":"c0"}"#, "another part")]
#[case(
    "classes/0",
    r#"{"c0":{"delays":{}},"c1":{"delays":{}},"c2":{"delays":{}}}"#,
    "another part"
)]
#[case("blocks/00", "{}", "overlaps")]
fn entries_outside_their_part_are_rejected(
    #[case] name: &str,
    #[case] part: &str,
    #[case] cause: &str,
) {
    let mut it = split_bundle(&bundle(1, 0, 0), None);
    for (name, part) in [("blocks/0", "{}"), (name, part)] {
        let digest = Digest::of(part.as_bytes());
        it.manifest.parts.insert(name.parse().unwrap(), digest);
        it.parts.insert(digest, part.to_owned());
    }
    let from = split_bundle(&bundle(1, 0, 0), None).manifest;
    for result in [
        assemble_bundle(&it.manifest, &it.parts),
        update_bundle(&bundle(1, 0, 0), &from, &it.manifest, &it.parts),
    ] {
        assert!(result.as_ref().is_err_and(|e| e.to_string().contains(cause)), "{result:?}");
    }
}

#[rstest]
#[case("")]
#[case("more")]
#[case("service/")]
#[case("service/UPPER")]
#[case("classes/16")]
#[case("blocks/012")]
fn invalid_part_names_are_rejected(#[case] text: &str) {
    assert_eq!(text.parse::<PartName>(), Err(ManifestError::UnknownPart(text.into())));
}
