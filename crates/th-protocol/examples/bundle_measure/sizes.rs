//! Sizes and processing times of a bundle and of changes to it.

use std::{collections::BTreeMap, net::Ipv4Addr, time::Instant};

use th_protocol::{
    Backend, Block, Bundle, Class, Connections, Digest, Millis, Operation, Permille, Region,
    Service, SignedBundle, Signer, Slots, SplitBundle, Target, Version, Zone, assemble_bundle,
    check_bundle, check_rules, split_bundle, update_bundle,
};

const REGIONS: u32 = 12;
const ZONES: u32 = 26;
const SITES: u32 = 430;
const BLOCKS: u32 = 130_000;
const CLASSES: u32 = 2_000;
const BACKENDS: u32 = 12;
pub(crate) const CHANGES_PER_DAY: f64 = 3_900.0;
pub(crate) const DAY_SECONDS: f64 = 86_400.0;

/// Measurements of one bundle and of changes to it.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Row {
    pub(crate) sites: u32,
    pub(crate) blocks: u32,
    pub(crate) parts: usize,
    pub(crate) whole_bytes: usize,
    pub(crate) head_bytes: usize,
    pub(crate) largest_part_bytes: usize,
    pub(crate) service_bytes: usize,
    pub(crate) block_bytes: usize,
    pub(crate) class_bytes: usize,
    pub(crate) topology_bytes: usize,
    pub(crate) mean_bytes_per_second: f64,
    pub(crate) worst_bytes_per_second: f64,
    pub(crate) split_ms: f64,
    pub(crate) assemble_ms: f64,
    pub(crate) update_ms: f64,
    pub(crate) check_bundle_ms: f64,
    pub(crate) check_rules_ms: f64,
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, n: u32) -> T {
    format!("{kind}-{n}").parse().expect("the name is an id")
}

fn service(n: u32) -> Service {
    let mut it = Service::default();
    for region in 0..REGIONS {
        it.regions.insert(id("region", region), Target { weight: 1, cap: Slots(40) });
    }
    let operation =
        Operation { idempotent: false, deadline: Millis(2_000), size: th_protocol::Bytes(4_000) };
    it.operations.insert(id("operation", 0), operation);
    for backend in 0..BACKENDS {
        let raw = 0x0a00_0000 + n * 256 + backend;
        let server = Backend {
            zone: id("zone", backend % ZONES),
            address: (Ipv4Addr::from(raw), 8080).into(),
            slots: Slots(4),
            connections: Connections(330),
            leaving: false,
        };
        it.backends.insert(id("backend", backend), server);
    }
    it
}

/// Returns a bundle of `eighths` eighths of the full size.
pub(crate) fn bundle(eighths: u32) -> Bundle {
    let mut it = Bundle { version: Version(1), ..Bundle::default() };
    for n in 0..REGIONS {
        let region = Region { cap: Slots(4_000), floors: BTreeMap::new() };
        it.regions.insert(id("region", n), region);
    }
    for n in 0..ZONES {
        it.zones.insert(id("zone", n), Zone { region: id("region", n % REGIONS), shards: 4 });
        let region = it.regions.get_mut(&id("region", n % REGIONS)).expect("it was added");
        region.floors.insert(id("zone", n), Permille(250));
    }
    for n in 0..SITES * eighths / 8 {
        it.services.insert(id("service", n), service(n));
    }
    let classes = CLASSES * eighths / 8;
    for n in 0..classes {
        let delays = (0..REGIONS).map(|r| (id("region", r), Millis(u64::from(n * r % 200))));
        it.classes.insert(id("class", n), Class { delays: delays.collect() });
    }
    for n in 0..BLOCKS * eighths / 8 {
        // Spreads the blocks over the whole address space by a multiplicative hash.
        let address = Ipv4Addr::from(n.wrapping_mul(2_654_435_761));
        let block = Block::new(address, 24).expect("24 is a prefix length");
        it.blocks.insert(block, id("class", n % classes));
    }
    it
}

/// Returns the total size in bytes of the new parts that a change causes.
fn change(before: &SplitBundle, mut bundle: Bundle, change: impl FnOnce(&mut Bundle)) -> usize {
    change(&mut bundle);
    let after = split_bundle(&bundle, None);
    let new = after.parts.iter().filter(|(digest, _)| !before.parts.contains_key(digest));
    new.map(|(_, text)| text.len()).sum()
}

/// Marks one backend server as leaving.
pub(crate) fn drain(it: &mut Bundle) {
    let service = it.services.values_mut().next().expect("there is a service");
    service.backends.values_mut().next().expect("it has a backend server").leaving = true;
}

fn move_block(it: &mut Bundle) {
    *it.blocks.values_mut().next().expect("there is a block") = id("class", 1);
}

fn change_delay(it: &mut Bundle) {
    it.classes.values_mut().next().expect("there is a class").delays.clear();
}

fn change_cap(it: &mut Bundle) {
    it.regions.values_mut().next().expect("there is a region").cap = Slots(1);
}

/// Returns the milliseconds that an entry VM needs to apply a change to one backend server.
fn measure_update_ms(old: &Bundle, from: &SplitBundle) -> f64 {
    let mut new = old.clone();
    drain(&mut new);
    let to = split_bundle(&new, None);
    let start = Instant::now();
    let found = update_bundle(old, &from.manifest, &to.manifest, &to.parts);
    let span = start.elapsed().as_secs_f64() * 1e3;
    assert_eq!(found.as_ref(), Ok(&new), "the update gives the new bundle");
    span
}

fn measure_ms<T>(work: impl FnOnce() -> T) -> f64 {
    let start = Instant::now();
    std::hint::black_box(work());
    start.elapsed().as_secs_f64() * 1e3
}

/// Measures a bundle, and one change to each kind of part.
pub(crate) fn measure(bundle: &Bundle) -> Row {
    let start = Instant::now();
    let it = split_bundle(bundle, None);
    let split_ms = start.elapsed().as_secs_f64() * 1e3;
    let start = Instant::now();
    let whole = assemble_bundle(&it.manifest, &it.parts).expect("the parts were just made");
    let assemble_ms = start.elapsed().as_secs_f64() * 1e3;
    assert_eq!(whole, *bundle, "the parts make up the bundle");

    let signer = Signer::new(id("operator", 0), [7; 32]);
    let base = Some(Digest::of(b""));
    let SignedBundle { mut head, .. } = signer.sign_bundle(bundle, base);
    head.earlier = vec![Digest::of(b""); th_protocol::layout::MAX_EARLIER_HEADS];
    let head_bytes = head.to_json().len();

    let service_bytes = change(&it, bundle.clone(), drain);
    let block_bytes = change(&it, bundle.clone(), move_block);
    let class_bytes = change(&it, bundle.clone(), change_delay);
    let topology_bytes = change(&it, bundle.clone(), change_cap);
    let sizes = [service_bytes, block_bytes, class_bytes, topology_bytes];
    let rate = |bytes: f64| (head_bytes as f64 + bytes) * CHANGES_PER_DAY / DAY_SECONDS;
    Row {
        sites: bundle.services.len() as u32,
        blocks: bundle.blocks.len() as u32,
        parts: it.parts.len(),
        whole_bytes: it.parts.values().map(String::len).sum(),
        head_bytes,
        largest_part_bytes: it.parts.values().map(String::len).max().unwrap_or(0),
        service_bytes,
        block_bytes,
        class_bytes,
        topology_bytes,
        mean_bytes_per_second: rate(sizes.iter().sum::<usize>() as f64 / sizes.len() as f64),
        worst_bytes_per_second: rate(sizes.into_iter().max().unwrap_or(0) as f64),
        split_ms,
        assemble_ms,
        update_ms: measure_update_ms(bundle, &it),
        check_bundle_ms: measure_ms(|| check_bundle(bundle)),
        check_rules_ms: measure_ms(|| check_rules(bundle)),
    }
}
