//! Placement by several entry VMs without coordination: objects that one has warmed must be used by the others.

mod dispatch_world;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_world::{World, backend};
use th_protocol::{BackendId, Millis, Slots};
use th_steer::dispatch::{AttemptOutcome, DispatchSettings};

const COLD_WORK: u64 = 600;
const WARM_WORK: u64 = 180;
const SERVERS: usize = 40;
const OBJECTS: u64 = 300;

/// Several entry VMs that share the same backend servers.
struct Fleet {
    vms: Vec<World>,
    warm: BTreeMap<BackendId, BTreeSet<u64>>,
    random_state: u64,
}

impl Fleet {
    /// One VM for each item of `zones`, which may repeat, and `SERVERS` servers in each distinct data centre.
    fn new(zones: &[&str]) -> Fleet {
        let mut fleet = Fleet { vms: Vec::new(), warm: BTreeMap::new(), random_state: 7 };
        let data_centres: BTreeSet<&str> = zones.iter().copied().collect();
        for zone in zones {
            let mut world = World::within(zone, DispatchSettings::default(), &[]);
            for data_centre in &data_centres {
                for number in 0..SERVERS {
                    let mut record = backend(&format!("{data_centre}-{number}"), data_centre);
                    record.slots = Slots(4);
                    world.dispatcher.on_backend(record, world.now);
                }
            }
            fleet.vms.push(world);
        }
        fleet
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random_state >> 33) % limit
    }

    /// Serves a request for an object at one of the VMs; returns whether its server had the object warm.
    fn serve(&mut self, vm: usize, object: u64) -> bool {
        self.serve_at(vm, object).1
    }

    /// As [`Fleet::serve`], but also returns the server.
    fn serve_at(&mut self, vm: usize, object: u64) -> (BackendId, bool) {
        // The work of equal requests varies by up to a third.
        let part = 85 + self.random_below(31);
        let world = &mut self.vms[vm];
        let job = world.job(object);
        let attempt = world.send(&job);
        let known = self.warm.entry(attempt.backend.clone()).or_default();
        let was_warm = !known.insert(object);
        let work = if was_warm { WARM_WORK } else { COLD_WORK };
        world.end(&job, &attempt, AttemptOutcome::Answered, Millis(work * part / 100));
        (attempt.backend, was_warm)
    }
}

/// Guards against several warm copies of rarely requested objects: a VM's measurements of servers are noisy, which must
/// not keep it from the server that the other VMs have warmed.
#[test]
fn entry_vms_warm_the_same_servers() {
    let mut fleet = Fleet::new(&["north-a"; 3]);
    let mut cold = 0;
    for _ in 0..4 * OBJECTS {
        let (vm, object) = (fleet.random_below(3) as usize, fleet.random_below(OBJECTS));
        cold += u64::from(!fleet.serve(vm, object));
    }
    // Each object is cold once; a tenth more is allowed.
    assert!(cold * 10 <= OBJECTS * 11, "{cold} cold requests for {OBJECTS} objects");
}

/// Guards against queueing at a server that other VMs keep full: its load reports arrive only with this VM's answers.
/// When the next request is placed, the last report is older than the time that a request takes. The request must wait
/// at the VM, where it can still be rejected or sent elsewhere, and not in the server's queue.
#[test]
fn load_reports_count_until_newer_ones_arrive() {
    let mut fleet = Fleet::new(&["north-a"]);
    for _ in 0..4 {
        fleet.serve(0, 1);
    }
    let world = &mut fleet.vms[0];
    let job = world.job(1);
    let (one, two) = (world.send(&job), world.send(&job));
    // Four slots, all in use: two by this VM.
    world.dispatcher.on_load(&one.backend, Slots(6), world.now);
    world.end(&job, &one, AttemptOutcome::Answered, Millis(0));
    world.now = world.now.after(Millis(WARM_WORK * 3));
    let (placed, waiter) = world.place(&job);
    assert!(waiter.is_some(), "{placed:?}");
    // The estimate of external load decays.
    world.dispatcher.cancel_wait(waiter.unwrap());
    world.end(&job, &two, AttemptOutcome::Answered, Millis(0));
    world.now = world.now.after(Millis(5_000));
    let later = world.job(1);
    assert_eq!(world.send(&later).backend, one.backend);
}

/// Guards against one warm copy in each data centre of objects that are requested only a few times in each: one copy in
/// the region must serve them all.
#[test]
fn data_centres_share_copies_of_rarely_requested_objects() {
    let mut fleet = Fleet::new(&["north-a", "north-b"]);
    let mut cold = 0;
    for _ in 0..6 * OBJECTS {
        let (vm, object) = (fleet.random_below(2) as usize, fleet.random_below(OBJECTS));
        cold += u64::from(!fleet.serve(vm, object));
    }
    // Each object is cold once; a tenth more is allowed, as no data centre has paid enough in distance for its own
    // copy.
    assert!(cold * 10 <= OBJECTS * 11, "{cold} cold requests for {OBJECTS} objects");
}

/// Guards against repeated requests to another data centre for an object that is popular in one: it must get a copy
/// there before its requests have cost twice as much in distance as the copy does.
#[test]
fn a_data_centre_warms_its_own_copy_of_a_popular_object() {
    let mut fleet = Fleet::new(&["north-a", "north-b"]);
    let mut remote = 0;
    for object in 0..OBJECTS {
        for _ in 0..3 {
            fleet.serve(1, object);
        }
    }
    let object = (0..OBJECTS).find(|it| fleet.serve_at(0, *it).0.as_str().starts_with("north-b"));
    let object = object.expect("half of the objects prefer a server in the other data centre");
    for _ in 0..30 {
        remote += u64::from(fleet.serve_at(0, object).0.as_str().starts_with("north-b"));
    }
    let distance = DispatchSettings::default().zone_cost.0;
    assert!(
        remote * distance <= 2 * (COLD_WORK - WARM_WORK),
        "{remote} requests to the other data centre"
    );
    assert!(fleet.serve_at(0, object).0.as_str().starts_with("north-a"));
}

/// Guards against overload by requests from other data centres: a full server must get none.
#[test]
fn a_full_server_serves_no_remote_requests() {
    let mut fleet = Fleet::new(&["north-a", "north-b"]);
    let object = (0..OBJECTS).find(|it| fleet.serve_at(0, *it).0.as_str().starts_with("north-b"));
    let object = object.expect("half of the objects prefer a server in the other data centre");
    let world = &mut fleet.vms[0];
    let job = world.job(object);
    let mut used = BTreeMap::new();
    for _ in 0..6 {
        *used.entry(world.send(&job).backend).or_insert(0) += 1;
    }
    for (backend, count) in used {
        assert!(count <= 4, "{backend} holds {count} of 4 slots");
    }
}
