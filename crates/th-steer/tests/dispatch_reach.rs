//! An entry VM that loses its links to all backend servers: when it notices, and to whom it passes requests on.

mod dispatch_world;

use std::collections::BTreeSet;

use dispatch_world::{World, entry, id, route};
use rstest::rstest;
use th_protocol::{Millis, VmId};
use th_steer::dispatch::{Attempt, AttemptOutcome, EntryRecord, Job, Placement, Rejection, Route};

/// Longer than the time without an answer from which links are checked.
const SILENCE: Millis = Millis(1_500);
const SERVERS: [(&str, &str); 4] =
    [("b-1", "north-a"), ("b-2", "north-a"), ("b-3", "north-b"), ("b-4", "south-a")];

fn peer(name: &str, zone: &str, port: u16) -> EntryRecord {
    EntryRecord { peers: Some(([127, 0, 0, 3], port).into()), ..entry(name, zone, port) }
}

/// An entry VM in `north-a`, and one more in each data centre.
fn world() -> World {
    let mut world = World::new(&SERVERS);
    for (name, zone, port) in
        [("entry-2", "north-a", 2), ("entry-3", "north-b", 3), ("entry-4", "south-a", 4)]
    {
        world.dispatcher.on_entry(peer(name, zone, port));
    }
    world
}

/// Sends a request for each object.
fn send_all(world: &mut World, objects: std::ops::Range<u64>) -> Vec<(Job, Attempt)> {
    let mut sent = Vec::new();
    for object in objects {
        let job = world.job(object);
        let attempt = world.send(&job);
        sent.push((job, attempt));
    }
    sent
}

fn end_all(world: &mut World, sent: &[(Job, Attempt)], outcome: AttemptOutcome) {
    for (job, attempt) in sent {
        world.end(job, attempt, outcome, Millis(1));
    }
}

/// Lets requests at two servers or more fail, and a check reach no server.
fn isolate(world: &mut World) {
    let sent = send_all(world, 0..4);
    let servers: BTreeSet<_> = sent.iter().map(|it| &it.1.backend).collect();
    assert!(1 < servers.len());
    end_all(world, &sent, AttemptOutcome::Unreachable);
    world.now = world.now.after(SILENCE);
    assert!(!world.dispatcher.links_to_check(world.now).is_empty());
    world.dispatcher.on_links_checked(false, world.now);
}

fn place(world: &mut World) -> Placement {
    let job = world.job(50);
    world.place(&job).0
}

/// Guards against requests that are sent to servers which this VM cannot reach, one after the other.
#[test]
fn requests_are_rejected_for_another_vm_while_no_server_is_reached() {
    let mut world = world();
    isolate(&mut world);
    assert!(world.dispatcher.is_isolated());
    assert!(matches!(place(&mut world), Placement::Reject(Rejection::Isolated, _)));
}

/// Guards against servers that stay out of use after the links are back, for failures that were not theirs.
#[test]
fn all_servers_are_used_once_a_link_is_back() {
    let mut world = world();
    isolate(&mut world);
    assert!(!world.dispatcher.links_to_check(world.now).is_empty(), "checks go on");
    world.dispatcher.on_links_checked(true, world.now);
    assert!(!world.dispatcher.is_isolated());
    let sent = send_all(&mut world, 0..4);
    let servers: BTreeSet<_> = sent.iter().map(|it| &it.1.backend).collect();
    assert!(1 < servers.len(), "{servers:?}");
    assert!(world.dispatcher.links_to_check(world.now).is_empty(), "no more checks");
}

/// Guards against a VM that waits for requests to end which never will.
#[test]
fn links_are_checked_when_requests_stay_unanswered() {
    let mut world = world();
    send_all(&mut world, 0..4);
    assert!(world.dispatcher.links_to_check(world.now).is_empty());
    // Far longer than the requests should take.
    world.now = world.now.after(Millis(3_000));
    assert!(!world.dispatcher.links_to_check(world.now).is_empty());
}

/// Guards against a VM that takes broken servers for broken links of its own.
#[rstest]
#[case::answered(AttemptOutcome::Answered)]
#[case::failed(AttemptOutcome::Failed)]
#[case::shed(AttemptOutcome::Shed)]
fn a_server_that_answers_clears_the_suspicion(#[case] outcome: AttemptOutcome) {
    let mut world = world();
    let sent = send_all(&mut world, 0..4);
    end_all(&mut world, &sent[1..], AttemptOutcome::Unreachable);
    end_all(&mut world, &sent[..1], outcome);
    world.now = world.now.after(SILENCE);
    assert!(world.dispatcher.links_to_check(world.now).is_empty());
}

#[test]
fn one_broken_server_is_no_suspicion() {
    let mut world = world();
    let job = world.job(1);
    let attempt = world.send(&job);
    world.end(&job, &attempt, AttemptOutcome::Unreachable, Millis(1));
    world.now = world.now.after(SILENCE);
    assert!(world.dispatcher.links_to_check(world.now).is_empty());
}

/// Guards against a VM without any others that rejects requests rather than to try.
#[test]
fn a_vm_that_is_alone_goes_on_trying() {
    let mut world = World::new(&SERVERS);
    let sent = send_all(&mut world, 0..4);
    end_all(&mut world, &sent, AttemptOutcome::Unreachable);
    world.now = world.now.after(SILENCE);
    assert!(world.dispatcher.links_to_check(world.now).is_empty());
    assert!(matches!(place(&mut world), Placement::Send { .. }));
}

/// Guards against a VM that is cut off and tries each request that another VM passes on to it, because it knows no other
/// VM itself.
#[test]
fn a_vm_that_knows_no_other_finds_out_whether_it_is_cut_off_once_it_is_passed_requests() {
    let mut world = World::new(&SERVERS);
    world.dispatcher.on_passed_on();
    isolate(&mut world);
    assert!(world.dispatcher.is_cut_off());
    // Its own requests can go nowhere else.
    assert!(!world.dispatcher.is_isolated());
    assert!(matches!(place(&mut world), Placement::Send { .. }));
    assert!(!world.dispatcher.links_to_check(world.now).is_empty(), "checks go on");
    world.dispatcher.on_links_checked(true, world.now);
    assert!(!world.dispatcher.is_cut_off());
}

fn target(world: &mut World, route: &Route, tried: &[VmId]) -> Option<String> {
    let job = world.job_of(route.clone(), 1);
    let target = world.dispatcher.forward_target(&job, tried, world.now);
    target.map(|it| it.0.to_string())
}

#[test]
fn requests_go_to_the_nearest_vms_in_turn() {
    let mut world = world();
    world.dispatcher.on_entry(peer("entry-5", "north-a", 5));
    let route = route("look");
    let targets: BTreeSet<_> = (0..4).filter_map(|_| target(&mut world, &route, &[])).collect();
    assert_eq!(targets, ["entry-2", "entry-5"].map(str::to_owned).into());
    // One that could not take a request is left alone for a while.
    world.dispatcher.on_forward_declined(&id("entry-2"), world.now);
    assert_eq!(target(&mut world, &route, &[]).as_deref(), Some("entry-5"));
    assert_eq!(target(&mut world, &route, &[id("entry-5")]).as_deref(), Some("entry-3"));
    let all = [id("entry-3"), id("entry-4"), id("entry-5")];
    assert_eq!(target(&mut world, &route, &all), None);
    world.now = world.now.after(Millis(2_000));
    assert_eq!(target(&mut world, &route, &all).as_deref(), Some("entry-2"));
}

/// Guards against bodies that leave the home regions of their route.
#[test]
fn requests_with_home_regions_stay_there() {
    let mut world = world();
    let mut route = route("look");
    route.home_regions = [id("south")].into();
    assert_eq!(target(&mut world, &route, &[]).as_deref(), Some("entry-4"));
    assert_eq!(target(&mut world, &route, &[id("entry-4")]), None);
}

/// Guards against requests that a stopping VM passes on with more time than it has left itself.
#[test]
fn a_stop_bounds_the_time_of_requests_that_are_passed_on() {
    let mut world = world();
    let job = world.job(50);
    assert_eq!(world.dispatcher.answer_by(&job), job.deadline);
    world.dispatcher.close_by(job.deadline.after(Millis(1)));
    assert_eq!(world.dispatcher.answer_by(&job), job.deadline);
    let end = job.deadline.before(Millis(1));
    world.dispatcher.close_by(end);
    assert_eq!(world.dispatcher.answer_by(&job), end);
}
