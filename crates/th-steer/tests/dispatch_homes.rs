//! Look-ups of hosts of which a part of the requests is on routes with home regions.

mod dispatch_world;

use std::net::{IpAddr, Ipv4Addr};

use dispatch_world::{START, World, entry, id, route, table};
use rstest::rstest;
use th_protocol::{Millis, Time};
use th_steer::dispatch::{DispatchSettings, Route};

const HOST: &str = "desk.example";
/// A caller that makes look-ups.
const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 5));
/// One that makes none, such as a check that is sent to every VM.
const CHECK: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 4));
/// Requests without homes beside those with homes.
const OTHERS: u64 = 10_000;

fn with_homes() -> Route {
    let mut route = route("homed");
    route.prefix = "/homed/".to_owned();
    route.home_regions.insert(id("north"));
    route
}

/// An entry VM in the north with few servers, where most servers and another VM are in the south.
fn world() -> World {
    let servers = [("b-1", "north-a"), ("b-2", "south-a"), ("b-3", "south-a"), ("b-4", "south-a")];
    let mut world = World::new(&servers);
    world.dispatcher.on_entry(entry("entry-3", "south-a", 3));
    assert!(world.dispatcher.on_routes(table(2, vec![route("look"), with_homes()])));
    for object in 0..OTHERS {
        let job = world.job(object);
        world.dispatcher.on_request(&job, START);
    }
    world
}

fn send_home_request(world: &mut World, caller: IpAddr, now: Time) {
    let job = world.job_of(with_homes(), 1);
    world.dispatcher.on_home_request(HOST, caller, now);
    world.dispatcher.on_request(&job, now);
}

/// Makes a look-up in the north; returns whether its answer names the VM in the south.
fn returns_south(world: &mut World, caller: IpAddr, now: Time) -> bool {
    world.dispatcher.on_lookup(HOST, caller, now);
    let returned = world.dispatcher.lookup(HOST, &id("north-a"));
    assert!(!returned.is_empty());
    returned.iter().any(|it| it.port() == 3)
}

/// Guards against requests that are sent to regions other than their homes because few of their host's requests have any.
#[rstest]
fn look_ups_respect_home_regions_however_few_requests_have_them(#[values(1, 2, 20)] count: u64) {
    let mut world = world();
    assert!(returns_south(&mut world, CALLER, START));
    for _ in 0..count {
        send_home_request(&mut world, CALLER, START);
    }
    assert!(!returns_south(&mut world, CALLER, START));
    // Other callers of the host may use these routes too.
    assert!(!returns_south(&mut world, IpAddr::from([10, 0, 0, 6]), START));
}

/// Guards against look-ups that leave out the regions where the slots are, because of requests that no look-up directed.
#[test]
fn requests_of_those_who_make_no_look_ups_bind_none() {
    let mut world = world();
    for _ in 0..20 {
        send_home_request(&mut world, CHECK, START);
    }
    assert!(returns_south(&mut world, CALLER, START));
}

/// Guards against a host that stays bound for good, and against one that is bound for as long only as its requests come often.
#[test]
fn look_ups_are_bound_until_long_after_the_last_use() {
    let mut world = world();
    send_home_request(&mut world, CALLER, START);
    let soon = START.after(Millis(50_000));
    world.dispatcher.tick(soon);
    assert!(!returns_south(&mut world, CALLER, soon));
    let later = soon.after(Millis(500_000));
    world.dispatcher.tick(later);
    assert!(!returns_south(&mut world, CALLER, later), "it was used some minutes ago");
    let long_after = soon.after(Millis(601_000));
    world.dispatcher.tick(long_after);
    assert!(returns_south(&mut world, CALLER, long_after));
}

/// Guards against a caller that is not recognised because many others came before it and went.
#[test]
fn callers_are_forgotten_after_a_while() {
    let mut world = world();
    for number in 0..20_000_u32 {
        let caller = u32::from(Ipv4Addr::new(10, 1, 0, 0)) + number;
        world.dispatcher.on_home_request(HOST, IpAddr::from(caller.to_be_bytes()), START);
    }
    let later = START.after(Millis(61_000));
    world.dispatcher.tick(later);
    assert!(returns_south(&mut world, IpAddr::from([10, 1, 0, 0]), later));
    world.dispatcher.on_home_request(HOST, CALLER, later);
    assert!(!returns_south(&mut world, CALLER, later));
}

/// Guards against callers that are named no VM because none of their region or of the home is left.
#[test]
fn look_ups_return_other_regions_where_no_vm_of_a_home_is_left() {
    let mut world = World::within("south-a", DispatchSettings::default(), &[("b-1", "south-a")]);
    let mut with_homes = route("homed");
    with_homes.home_regions.insert(id("north"));
    assert!(world.dispatcher.on_routes(table(2, vec![with_homes])));
    let returned = world.dispatcher.lookup("desk.example", &id("north-a"));
    assert!(!returned.is_empty() && returned.iter().all(|it| it.port() == 1), "{returned:?}");
}
