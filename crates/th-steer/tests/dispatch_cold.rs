//! Backend servers that come back cold and accept few requests a second from all entry VMs together, whatever the VMs
//! believe of each other.

mod dispatch_world;

use dispatch_world::{
    COLD_RATE, backend,
    fleet::{Fleet, SLOTS},
    id,
};
use rstest::rstest;
use th_protocol::{BackendId, Millis, Time};
use th_steer::dispatch::BackendRecord;

const SERVERS: u64 = 10;
const WARM_UP: Millis = Millis(8_000);
/// Time for which servers are cold.
const COLD_TIME: Millis = Millis(6_000);
/// Time for which they are watched; from the end of the cold time on they may get everything.
const WATCHED_TIME: Millis = Millis(5_500);
const SECOND: Millis = Millis(1_000);
/// The largest number of requests that the users allow a cold server in a second.
const ALLOWED: usize = (1.5 * COLD_RATE + 5.0) as usize;

/// Lets servers start anew, cold; all VMs learn of it in the same moment.
fn return_cold(fleet: &mut Fleet, servers: u64) {
    let (now, zones) = (fleet.now, ["north-a", "north-b"]);
    for server in 0..servers {
        let record = BackendRecord {
            slots: SLOTS,
            started: Some(2),
            cold: COLD_TIME,
            ..backend(&format!("b-{server}"), zones[server as usize % 2])
        };
        for vm in &mut fleet.vms {
            vm.on_backend(record.clone(), now);
        }
    }
}

/// Returns the largest number of requests that reached a server in any second since `from`.
fn most_in_a_second(fleet: &Fleet, server: u64, from: Time) -> usize {
    let name: BackendId = id(&format!("b-{server}"));
    let sent = fleet.sent.iter().filter(|it| it.1 == name && from <= it.0);
    let times: Vec<Time> = sent.map(|it| it.0).collect();
    let mut most = 0;
    for first in &times {
        let second = *first..first.after(SECOND);
        most = most.max(times.iter().filter(|it| second.contains(*it)).count());
    }
    most
}

fn check(fleet: &Fleet, servers: u64, from: Time) {
    for server in 0..servers {
        let most = most_in_a_second(fleet, server, from);
        assert!(most <= ALLOWED, "b-{server}: {most} requests in a second, {ALLOWED} allowed");
    }
}

/// Guards against cold servers that crash under the first requests of many VMs, which all learn of them at once.
#[rstest]
#[case::small_fleet(7, SERVERS)]
#[case::large_fleet(24, SERVERS)]
#[case::many_vms(77, SERVERS)]
#[case::a_few_of_them(24, 3)]
fn cold_servers_get_no_more_than_their_rate(#[case] vms: usize, #[case] servers: u64) {
    let mut fleet = Fleet::new(vms, SERVERS);
    fleet.run(WARM_UP, 1.0);
    return_cold(&mut fleet, servers);
    let from = fleet.now;
    fleet.run(WATCHED_TIME, 2.0);
    check(&fleet, servers, from);
    let sent = fleet.sent.iter().filter(|it| from <= it.0).count();
    assert!(0 < sent);
}

/// Guards against VMs that lose sight of each other and then each take a larger part of the rate, although all of them
/// still reach the servers.
#[rstest]
#[case::small_fleet(7)]
#[case::large_fleet(24)]
#[case::many_vms(77)]
fn cold_servers_get_no_more_while_vms_are_cut_off_from_each_other(#[case] vms: usize) {
    let mut fleet = Fleet::new(vms, SERVERS);
    fleet.run(WARM_UP, 1.0);
    for (own, vm) in fleet.vms.iter_mut().enumerate() {
        for other in (0..vms).filter(|it| it % 3 != own % 3) {
            vm.on_entry_removed(&id(&format!("entry-{other}")));
        }
    }
    fleet.run(SECOND, 1.0);
    return_cold(&mut fleet, SERVERS);
    let from = fleet.now;
    fleet.run(WATCHED_TIME, 2.0);
    check(&fleet, SERVERS, from);
}
