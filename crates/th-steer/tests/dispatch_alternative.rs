//! Load: the only entry VM of a data centre dies, and its callers know no other address until their answers expire.

mod dispatch_world;

use std::{collections::BTreeMap, net::SocketAddr};

use dispatch_world::{World, entry, id};

const SERVERS: &[(&str, &str)] = &[("b-1", "north-a"), ("b-2", "north-b"), ("b-3", "south-a")];
const LOOKUPS: usize = 30;

fn addresses(world: &mut World, zone: &str) -> BTreeMap<SocketAddr, usize> {
    let mut counts = BTreeMap::new();
    for address in world.dispatcher.lookup("desk.example", &id(zone)) {
        *counts.entry(address).or_default() += 1;
    }
    counts
}

#[test]
fn callers_of_a_data_centre_with_one_vm_know_another_of_their_region() {
    let mut world = World::new(SERVERS);
    let [own, near, far] = [
        entry("entry-1", "north-a", 1),
        entry("entry-2", "north-b", 2),
        entry("entry-3", "south-a", 3),
    ];
    world.dispatcher.on_entry(near.clone());
    world.dispatcher.on_entry(far.clone());
    for _ in 0..LOOKUPS {
        let named = addresses(&mut world, "north-a");
        assert!(named.contains_key(&near.callers), "{named:?}");
        assert!(!named.contains_key(&far.callers), "another region: {named:?}");
        let others = named.values().sum::<usize>() - named[&own.callers];
        assert_eq!(others, 1, "more callers than needed are sent away: {named:?}");
    }
}

#[test]
fn alternatives_take_turns() {
    let mut world = World::new(SERVERS);
    let near = [entry("entry-2", "north-b", 2), entry("entry-3", "north-b", 3)];
    for it in &near {
        world.dispatcher.on_entry(it.clone());
    }
    let mut used: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for _ in 0..LOOKUPS {
        for (address, count) in addresses(&mut world, "north-a") {
            *used.entry(address).or_default() += count;
        }
    }
    for it in &near {
        assert!(used.contains_key(&it.callers), "{} is never named: {used:?}", it.vm);
    }
}

/// A region with a single VM has no alternative; its callers are not sent across regions for one.
#[test]
fn the_only_vm_of_a_region_is_named_alone() {
    let mut world = World::new(SERVERS);
    world.dispatcher.on_entry(entry("entry-2", "south-a", 2));
    let named = addresses(&mut world, "south-a");
    assert_eq!(named.len(), 1, "{named:?}");
}
