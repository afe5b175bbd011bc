//! Entry VMs that are registered and do not respond to probes, as after an outage of the store.

mod dispatch_world;

use dispatch_world::{World, entry, id};
use rstest::rstest;
use th_protocol::VmId;
use th_steer::dispatch::{Sign, unresponsive_vms};

fn world() -> World {
    let mut world = World::new(&[("b-1", "north-a"), ("b-2", "north-b"), ("b-3", "south-a")]);
    for (name, zone, port) in
        [("entry-2", "north-a", 2), ("entry-3", "north-b", 3), ("entry-4", "south-a", 4)]
    {
        world.dispatcher.on_entry(entry(name, zone, port));
    }
    world
}

fn returns(world: &mut World, zone: &str, port: u16) -> bool {
    let returned = world.dispatcher.lookup("desk.example", &id(zone));
    assert!(!returned.is_empty());
    returned.iter().any(|it| it.port() == port)
}

/// Guards against probing VMs far away first, or the VM itself.
#[test]
fn the_nearest_vms_are_probed_first() {
    let probed: Vec<String> =
        world().dispatcher.vms_to_probe().into_iter().map(|it| it.vm.to_string()).collect();
    assert_eq!(probed, ["entry-2", "entry-3", "entry-4"]);
}

#[test]
fn look_ups_leave_out_a_vm_that_does_not_respond_until_it_does() {
    let mut world = world();
    let gone: VmId = id("entry-2");
    assert!(returns(&mut world, "north-a", 2));
    world.dispatcher.set_responsive(&gone, false);
    assert!(!returns(&mut world, "north-a", 2));
    world.dispatcher.set_responsive(&gone, true);
    assert!(returns(&mut world, "north-a", 2));
    // It registers itself again.
    world.dispatcher.set_responsive(&gone, false);
    world.dispatcher.on_entry(entry("entry-2", "north-a", 2));
    assert!(returns(&mut world, "north-a", 2));
}

/// Guards against look-ups of a VM that is cut off from the others, and against VMs that stay named because another one is
/// silent too.
#[rstest]
#[case::all_answer(&[Sign::Answered, Sign::Answered], &[])]
#[case::one_is_silent(&[Sign::Answered, Sign::Silent], &[1])]
#[case::one_refuses(&[Sign::Answered, Sign::Refused], &[1])]
#[case::all_are_silent(&[Sign::Silent, Sign::Silent], &[])]
#[case::the_only_one_is_silent(&[Sign::Silent], &[0])]
#[case::all_refuse(&[Sign::Refused, Sign::Refused], &[0, 1])]
#[case::none_answers_but_one_can_be_reached(&[Sign::Refused, Sign::Silent], &[0, 1])]
fn probes_tell_which_vms_are_gone(#[case] signs: &[Sign], #[case] expected: &[usize]) {
    let vm = |number: usize| id::<VmId>(&format!("entry-{number}"));
    let signs = signs.iter().enumerate().map(|(number, it)| (vm(number), *it)).collect();
    let expected = expected.iter().map(|it| vm(*it)).collect();
    assert_eq!(unresponsive_vms(&signs), expected);
}
