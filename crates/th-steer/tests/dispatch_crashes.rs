//! Requests under which backend servers crash, at one VM and at several that tell each other.

mod dispatch_world;

use dispatch_world::{START, World, backend, id};
use rstest::rstest;
use th_protocol::{BackendId, Millis, Time};
use th_steer::dispatch::{
    BackendProcess, BackendRecord, CRASH_MEMORY, CrashReport, Fingerprint, Serving,
};

/// Number of crashes from which a request is rejected.
const LIMIT: usize = 3;
/// Longer than rejected requests are remembered.
const LONG: Millis = Millis(3_600_000);

fn request(number: usize) -> Fingerprint {
    Fingerprint::of([b"GET".as_slice(), number.to_string().as_bytes()])
}

fn server(number: usize) -> BackendId {
    id(&format!("b-{number}"))
}

fn vm() -> World {
    World::new(&[("b-1", "north-a"), ("b-2", "north-a"), ("b-3", "north-a"), ("b-4", "north-b")])
}

fn tell(world: &mut World, reports: Vec<CrashReport>) {
    for report in reports {
        match report {
            CrashReport::Crashed(request, server) => {
                world.dispatcher.on_crash_listed(request, server, world.now);
            }
            CrashReport::Served(request, servers) => {
                for server in servers {
                    world.dispatcher.on_crash_unlisted(request, &server);
                }
            }
        }
    }
}

/// Lets a server crash under a request of a VM; returns what that VM tells others.
fn crash(world: &mut World, request: Fingerprint, server: &BackendId) -> Vec<CrashReport> {
    let now = world.now;
    let record = backend(server.as_str(), "north-a");
    world.dispatcher.on_backend(record, now);
    assert!(world.dispatcher.on_crash(request, server, now));
    world.dispatcher.report_crashes(request, now)
}

fn rejects(world: &mut World, request: Fingerprint) -> bool {
    world.dispatcher.check_crashes(request, world.now).0
}

/// Guards against a request that each VM sends to servers although they crash under it at others.
#[test]
fn crashes_at_several_vms_count_together() {
    let mut vms = [vm(), vm(), vm(), vm()];
    for number in 0..LIMIT {
        assert!(vms.iter_mut().all(|it| !rejects(it, request(1))), "after {number} crashes");
        let reports = crash(&mut vms[number], request(1), &server(number + 1));
        assert_eq!(reports.len(), 1);
        for (other, vm) in vms.iter_mut().enumerate() {
            if other != number {
                tell(vm, reports.clone());
            }
        }
    }
    assert!(vms.iter_mut().all(|it| rejects(it, request(1))));
    assert!(vms.iter_mut().all(|it| !rejects(it, request(2))), "another request");
}

#[test]
fn a_server_that_crashed_counts_once_for_each_of_its_lives() {
    let mut world = vm();
    for _ in 0..LIMIT {
        crash(&mut world, request(1), &server(1));
    }
    assert_eq!(world.dispatcher.crash_count(request(1)), 1);
    for started in 2..=LIMIT as u64 {
        let life = BackendProcess { backend: server(1), started: Some(started) };
        world.dispatcher.on_crash_listed(request(1), life, START);
    }
    assert!(rejects(&mut world, request(1)));
}

/// Guards against callers that are refused because their requests ran where servers crashed for other reasons.
#[test]
fn a_request_that_is_served_in_between_is_not_rejected() {
    let mut vms = [vm(), vm()];
    for number in 1..=4 {
        let reports = crash(&mut vms[0], request(1), &server(number));
        tell(&mut vms[1], reports);
        let cleared = vms[1].dispatcher.on_served(request(1));
        tell(&mut vms[0], cleared.into_iter().collect());
    }
    assert!(vms.iter_mut().all(|it| !rejects(it, request(1))));
    assert_eq!(vms[0].dispatcher.crash_count(request(1)), 0);
}

/// Servers that leave end while requests may still run there; that is no crash.
#[test]
fn the_end_of_a_leaving_server_is_held_against_no_request() {
    let mut world = vm();
    let record = BackendRecord { serving: Serving::Draining, ..backend("b-1", "north-a") };
    world.dispatcher.on_backend(record, START);
    world.dispatcher.on_leaving(&server(2));
    world.dispatcher.on_backend_removed(&server(3));
    for number in 1..=LIMIT {
        assert!(!world.dispatcher.on_crash(request(1), &server(number), START));
    }
    assert!(!rejects(&mut world, request(1)));
}

/// A request that is served by a retry, as most are, costs the store nothing.
#[test]
fn a_request_that_is_served_before_its_crash_is_reported_is_not_reported() {
    let mut world = vm();
    assert!(world.dispatcher.on_crash(request(1), &server(1), START));
    assert_eq!(world.dispatcher.on_served(request(1)), None);
    assert!(world.dispatcher.report_crashes(request(1), START).is_empty());
}

/// Many servers end at once, each with several requests: the store is not flooded, and a request that ends servers by
/// itself is still reported once it comes again.
#[test]
fn a_mass_crash_causes_few_reports() {
    let mut world = vm();
    let mut reports = 0;
    for number in 0..600 {
        reports += crash(&mut world, request(number), &server(number / 5)).len();
    }
    assert!((1..=8).contains(&reports), "{reports} reports");
    let late = request(599);
    let told = crash(&mut world, late, &server(500));
    assert_eq!(told.len(), 2, "both crashes that are held against it");
    assert_eq!(world.dispatcher.rejected_requests(), 0);
}

#[rstest]
#[case::known_crash(1, CRASH_MEMORY, 0)]
#[case::just_before(1, CRASH_MEMORY.minus(Millis(1)), 1)]
#[case::rejected(3, CRASH_MEMORY, 3)]
#[case::rejected_long_ago(3, LONG, 0)]
fn crashes_are_held_for_a_time(
    #[case] crashes: usize,
    #[case] passed: Millis,
    #[case] left: usize,
) {
    let mut world = vm();
    for number in 0..crashes {
        crash(&mut world, request(1), &server(number));
    }
    world.dispatcher.tick(START.after(passed));
    assert_eq!(world.dispatcher.crash_count(request(1)), left);
}

/// Guards against a request that crashes servers again after the store has lost what VMs wrote there.
#[test]
fn a_rejected_request_stays_rejected_and_is_listed_again() {
    let mut world = vm();
    let mut servers = Vec::new();
    for number in 0..LIMIT {
        for report in crash(&mut world, request(1), &server(number)) {
            let CrashReport::Crashed(_, server) = report else { panic!("{report:?}") };
            servers.push(server);
        }
    }
    for server in &servers {
        world.dispatcher.on_crash_unlisted(request(1), server);
    }
    let (rejected, reports) = world.dispatcher.check_crashes(request(1), START);
    assert!(rejected);
    assert_eq!(reports.len(), LIMIT);
    assert_eq!(world.dispatcher.check_crashes(request(1), START), (true, Vec::new()));
}

#[test]
fn memory_for_requests_is_bounded_and_keeps_rejected_ones() {
    let mut world = vm();
    for number in 0..LIMIT {
        crash(&mut world, request(0), &server(number));
    }
    for number in 1..10_000 {
        world.now = Time(START.0 + number as u64);
        crash(&mut world, request(number), &server(1));
    }
    assert!(rejects(&mut world, request(0)));
    let held = (0..10_000).filter(|it| 0 < world.dispatcher.crash_count(request(*it))).count();
    assert_eq!(held, 4_096);
}

#[rstest]
#[case("b-1", None)]
#[case("b-1@17", Some(17))]
fn names_of_processes_are_read_as_written(#[case] text: &str, #[case] started: Option<u64>) {
    let read: BackendProcess = text.parse().unwrap();
    assert_eq!(read, BackendProcess { backend: server(1), started });
    assert_eq!(read.to_string(), text);
    let request = request(1);
    assert_eq!(request.to_string().parse::<Fingerprint>().unwrap(), request);
}

#[rstest]
#[case("", "an id must not be empty")]
#[case("b-1@soon", "expected the server's start in Unix milliseconds, got \"soon\"")]
fn invalid_names_of_processes_are_rejected(#[case] text: &str, #[case] error: &str) {
    assert_eq!(text.parse::<BackendProcess>().unwrap_err().to_string(), error);
}
