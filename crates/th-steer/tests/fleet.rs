//! Tests that a table of entry VMs that reuses the slot tables of an earlier one answers like a new
//! one.

#[allow(dead_code, reason = "these tests only make look-ups")]
mod world;

use rstest::rstest;
use th_protocol::{Time, VmId};
use th_steer::route::{Fleet, LookupTables, ServiceIx, Settings, VmIx, VmState, ZoneIx, lookup};
use world::{Size, World};

const SIZE: Size = Size { regions: 3, zones: 6, sites: 6, vms: 24, blocks: 600, classes: 3 };

/// Builds a fleet of the VMs with these numbers. A number over 100 stands for the dead VM of that
/// number minus 100.
fn fleet(world: &World, earlier: Fleet, numbers: &[usize]) -> Fleet {
    let mut fleet = Fleet::reusing_tables(earlier);
    for number in numbers {
        let i = number % 100;
        let zone = ZoneIx((i % world.map.zones().len()) as u16);
        let address = ([127, 0, 0, 1], 8080).into();
        let vm = fleet.insert(format!("vm{i:04}").parse().unwrap(), zone, address, Time(0));
        let state = if *number < 100 { VmState::Live } else { VmState::Dead };
        fleet.observe(vm, state, Time(0));
    }
    fleet.refresh(&world.map, &world.settings, Time(0));
    fleet
}

fn answers(world: &World, fleet: &Fleet) -> Vec<Vec<VmId>> {
    let World { map, planner, settings, .. } = world;
    let weights = planner.in_force();
    let tables = LookupTables { map, fleet, weights, settings };
    let mut answers = Vec::new();
    for block in 0..SIZE.blocks {
        let answer = lookup(&tables, ServiceIx(0), world::address(block), Time(0));
        let ids = answer.vms.as_slice().iter().map(|vm: &VmIx| fleet.id(*vm).clone());
        answers.push(ids.collect());
    }
    answers
}

#[rstest]
#[case::same(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11])]
#[case::one_dead(&[0, 1, 2, 103, 4, 5, 6, 7, 8, 9, 10, 11])]
#[case::first_removed(&[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11])]
#[case::one_replaced(&[0, 1, 2, 3, 4, 5, 6, 13, 8, 9, 10, 11])]
#[case::other_order(&[11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1, 0])]
#[case::more(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14])]
fn a_fleet_that_reuses_tables_answers_like_a_new_one(#[case] later: &[usize]) {
    let world = world::world(&world::bundle(&SIZE), SIZE.vms, Settings::default());
    let first = fleet(&world, Fleet::default(), &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    let reused = fleet(&world, first, later);
    let new = fleet(&world, Fleet::default(), later);
    assert_eq!(answers(&world, &reused), answers(&world, &new));
}
