//! Numbers of others that cannot be: records of servers and VMs, and loads that servers report with their answers.

mod dispatch_world;

use std::collections::BTreeSet;

use dispatch_world::{World, backend, entry, id, topology};
use rstest::rstest;
use th_protocol::{BackendId, Bytes, Mbit, Millis, RequestRate, Slots};
use th_steer::dispatch::{AttemptOutcome, BackendRecord, EntryRecord, Placement};

const SERVERS: &[(&str, &str)] = &[("b-1", "north-a"), ("b-2", "north-b"), ("b-3", "south-a")];
const WORK: Millis = Millis(100);
const STEP: Millis = Millis(50);

/// Guards against an overflow, a look-up that names nobody, and requests that are never sent, whatever a record says.
#[rstest]
fn absurd_records_leave_decisions_sound(
    #[values(0, 1, u32::MAX)] slots: u32,
    #[values(0, u64::MAX)] cold: u64,
    #[values(None, Some(0), Some(u64::MAX))] started: Option<u64>,
    #[values("north-a", "south-a", "nowhere")] zone: &str,
) {
    let mut world = World::new(SERVERS);
    let record = BackendRecord {
        slots: Slots(slots),
        cold: Millis(cold),
        started,
        ..backend("b-odd", zone)
    };
    let vm = EntryRecord { link: Some(Mbit(u32::MAX)), ..entry("entry-odd", zone, 2) };
    let known: BTreeSet<_> = [entry("entry-1", "north-a", 1).callers, vm.callers].into();
    for round in 0..3 {
        world.dispatcher.on_backend(record.clone(), world.now);
        world.dispatcher.on_entry(vm.clone());
        world.dispatcher.on_traffic(Bytes(u64::MAX));
        world.dispatcher.on_limit(&id("b-odd"), RequestRate::per_second(1e9).ok(), world.now);
        world.dispatcher.on_rest(&id("b-odd"), Millis(u64::MAX), world.now);
        for object in 0..40 {
            world.now = world.now.after(STEP);
            world.dispatcher.tick(world.now);
            let job = world.job(object);
            let attempt = world.send(&job);
            world.end(&job, &attempt, AttemptOutcome::Answered, WORK);
        }
        for caller in topology().zones.keys().chain([&id("nowhere")]) {
            let named = world.dispatcher.lookup("desk.example", caller);
            assert!(!named.is_empty() && named.iter().all(|it| known.contains(it)), "{named:?}");
        }
        let odd: BackendId = id("b-odd");
        if round == 1 {
            world.dispatcher.on_backend(backend("b-odd", zone), world.now);
        }
        world.dispatcher.on_backend_removed(&odd);
    }
}

/// Time after a report of a load until the only server gets a request again.
fn time_until_sent(busy: u32) -> Millis {
    let mut world = World::new(&[("b-1", "north-a")]);
    let server = world.serve(1, WORK);
    let told = world.now;
    world.dispatcher.on_load(&server, Slots(busy), world.now);
    for object in 0..2_000 {
        let job = world.job(object);
        match world.place(&job) {
            (Placement::Send { .. }, _) => break,
            (Placement::Wait, Some(waiter)) => world.dispatcher.cancel_wait(waiter),
            _ => {}
        }
        world.now = world.now.after(STEP);
    }
    world.now.since(told)
}

/// Guards against a service that is refused for half a minute because its server once reported a load that cannot be.
#[test]
fn an_absurd_load_counts_as_the_largest_one_that_can_be() {
    let slots = backend("b-1", "north-a").slots.0;
    // All slots, and a queue that is several times as long.
    let largest = time_until_sent(8 * slots);
    for busy in [1_000_000, u32::MAX] {
        let time = time_until_sent(busy);
        assert!(time <= largest, "{time} after {busy} busy, {largest} after {}", 8 * slots);
    }
}

/// The share of the callers of a data centre that look-ups send to the other region, which has as many slots as each data
/// centre of this one, beside a server there that states some slots.
fn far_share(stated: Slots) -> f64 {
    let names: Vec<String> = (0..12).map(|it| format!("b-{it}")).collect();
    let zones = ["north-a", "north-b", "south-a"];
    let servers: Vec<(&str, &str)> =
        names.iter().map(String::as_str).zip(zones.into_iter().cycle()).collect();
    let mut world = World::new(&servers);
    let (near, far) = (entry("entry-2", "north-b", 2), entry("entry-3", "south-a", 3));
    world.dispatcher.on_entry(near);
    world.dispatcher.on_entry(far.clone());
    let record = BackendRecord { slots: stated, ..backend("b-odd", "south-a") };
    world.dispatcher.on_backend(record, world.now);
    let (mut count, mut all) = (0, 0);
    for _ in 0..100 {
        for address in world.dispatcher.lookup("desk.example", &id("north-a")) {
            all += 1;
            count += u32::from(address == far.callers);
        }
    }
    f64::from(count) / f64::from(all)
}

/// Guards against callers that are all sent to the data centre of one server, by slots that it only claims. One server of
/// twelve others counts as eight of them at most.
#[rstest]
fn a_server_that_claims_many_slots_draws_no_more_than_eight(
    #[values(100, 10_000, u32::MAX)] slots: u32,
) {
    let usual = backend("b-1", "north-a").slots.0;
    let (share, bound) = (far_share(Slots(slots)), far_share(Slots(8 * usual)));
    assert!(share <= bound, "a share of {share} by {slots} slots, {bound} by {}", 8 * usual);
}
