//! Placement by several entry VMs that do not talk: what one has warmed, the others are to use.

mod dispatch_world;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_world::{World, backend};
use th_protocol::{BackendId, Millis, Slots};
use th_steer::dispatch::End;

const COLD_WORK: u64 = 600;
const WARM_WORK: u64 = 180;
const SERVERS: usize = 40;
const OBJECTS: u64 = 300;

/// Entry VMs of one data centre before the same backend servers.
struct Fleet {
    vms: Vec<World>,
    warm: BTreeMap<BackendId, BTreeSet<u64>>,
    dice: u64,
}

impl Fleet {
    fn new(vms: usize) -> Fleet {
        let mut fleet = Fleet { vms: Vec::new(), warm: BTreeMap::new(), dice: 7 };
        for _ in 0..vms {
            let mut world = World::new(&[]);
            for number in 0..SERVERS {
                let mut record = backend(&format!("b-{number}"), "north-a");
                record.slots = Slots(4);
                world.dispatcher.on_backend(record, world.now);
            }
            fleet.vms.push(world);
        }
        fleet
    }

    fn roll(&mut self, most: u64) -> u64 {
        self.dice = self.dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.dice >> 33) % most
    }

    /// Serves a request for an object at one of the VMs; tells whether its server had the object warm.
    fn serve(&mut self, vm: usize, object: u64) -> bool {
        // Work of equal requests differs by a third.
        let part = 85 + self.roll(31);
        let world = &mut self.vms[vm];
        let job = world.job(object);
        let attempt = world.send(&job);
        let known = self.warm.entry(attempt.backend.clone()).or_default();
        let was_warm = !known.insert(object);
        let work = if was_warm { WARM_WORK } else { COLD_WORK };
        world.end(&job, &attempt, End::Answered, Millis(work * part / 100));
        was_warm
    }
}

/// Load pattern: many objects, seldom asked for, each by several VMs. A VM's measurements of servers are noisy; they
/// must not keep it from the server that the others have warmed.
#[test]
fn entry_vms_warm_the_same_servers() {
    let mut fleet = Fleet::new(3);
    let mut cold = 0;
    for _ in 0..4 * OBJECTS {
        let (vm, object) = (fleet.roll(3) as usize, fleet.roll(OBJECTS));
        cold += u64::from(!fleet.serve(vm, object));
    }
    // Each object has to be cold once; a tenth more may be.
    assert!(cold * 10 <= OBJECTS * 11, "{cold} cold requests for {OBJECTS} objects");
}

/// Load pattern: a server that other VMs keep full. Its reports come with this VM's answers only, which are older than
/// a request takes when the next one is placed; the request is to wait here, where it can still be refused or go
/// elsewhere, not in the server's queue.
#[test]
fn reports_of_load_count_until_newer_ones_come() {
    let mut fleet = Fleet::new(1);
    for _ in 0..4 {
        fleet.serve(0, 1);
    }
    let world = &mut fleet.vms[0];
    let job = world.job(1);
    let (one, two) = (world.send(&job), world.send(&job));
    // Four slots, all in use: two by this VM.
    world.dispatcher.on_load(&one.backend, Slots(6), world.now);
    world.end(&job, &one, End::Answered, Millis(0));
    world.now = world.now.after(Millis(WARM_WORK * 3));
    let (placed, waiter) = world.place(&job);
    assert!(waiter.is_some(), "{placed:?}");
    // A guess is not believed for ever.
    world.dispatcher.forget(waiter.unwrap());
    world.end(&job, &two, End::Answered, Millis(0));
    world.now = world.now.after(Millis(5_000));
    let later = world.job(1);
    assert_eq!(world.send(&later).backend, one.backend);
}
