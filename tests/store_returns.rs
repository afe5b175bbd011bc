//! What must not go back, and what is written again, when the store comes back from an older copy.

mod desk;
mod entry;
#[allow(dead_code, reason = "the soak injects more faults")]
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{process::Stdio, time::Duration};

use desk::{RUN_TIME, config, deployment, start};
use entry::{EntryProcess, ListenAddresses, settings};
use platform::{StoreClient, WatchOutcome};
use proxy::{NetworkFault, Proxy};
use reqwest::Method;
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::{StandInServer, StandInStore, StoreFault, wait_until};
use th_platform::LeaseId;
use th_protocol::{Era, Millis, Revision};
use tokio::time::{Instant, sleep};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(2_500);
/// Longer than entries that are missing after a return are kept.
const KEPT_TIME: Duration = Duration::from_secs(4);
const VMS: usize = 4;

/// A server's entry as its n-th write since its start.
fn entry(server: &StandInServer, state: &str, sequence: u64) -> Value {
    let mut entry = server.entry(state);
    entry["sequence"] = json!(sequence);
    entry
}

/// Writes a configuration and waits until it is in force: all that was written before is known then.
async fn settle(store: &StandInStore, vm: &EntryProcess, version: u64) {
    store.put("op/config", &config(version, &format!("/v{version}/")));
    vm.wait_for_status(&format!("/v{version}/x"), 200).await;
}

/// Sends requests for a while; returns the statuses that differ from 200.
async fn send_for(vm: &EntryProcess, path: &str, time: Duration) -> Vec<u16> {
    let (start, mut others) = (Instant::now(), Vec::new());
    while start.elapsed() < time {
        let status = vm.send(Method::GET, path, "kept").await.status().as_u16();
        if status != 200 {
            others.push(status);
        }
    }
    others
}

/// Guards against requests to a server that drains or has left, because the copy has its entry from before.
#[rstest]
#[case::draining(true)]
#[case::left(false)]
#[tokio::test]
async fn a_server_stays_out_of_use_until_it_writes_again(#[case] drains: bool) {
    // The only server: whatever else there is to choose, it would be used if it could.
    let (store, servers, vm) = deployment(1).await;
    let (key, server) = (format!("servers/{}", servers[0].id), &servers[0]);
    store.put(&key, &entry(server, "ready", 5));
    settle(&store, &vm, 8).await;
    let copy = store.copy();
    if drains {
        store.put(&key, &entry(server, "draining", 6));
    } else {
        store.remove(&key);
    }
    vm.wait_for_status("/v8/x", 503).await;
    let before = server.total_runs();
    store.restore(copy);
    store.put("op/config", &config(9, "/v9/"));
    vm.wait_for_status("/v9/x", 503).await;
    let start = Instant::now();
    while start.elapsed() < KEPT_TIME {
        assert_eq!(vm.send(Method::GET, "/v9/x", "kept").await.status(), 503);
    }
    assert_eq!(server.total_runs(), before, "it is used because of the copy");
    store.put(&key, &entry(server, "ready", 7));
    vm.wait_for_status("/v9/x", 200).await;
}

/// Guards against requests to a data centre that operators evacuated, because the copy is from before.
#[tokio::test]
async fn an_evacuation_stays_until_it_is_taken_back() {
    let (store, servers, vm) = deployment(1).await;
    let copy = store.copy();
    store.put("op/evacuate/north-a", &json!({}));
    vm.wait_for_status("/look/x", 503).await;
    let before = servers[0].total_runs();
    store.restore(copy);
    // Under this prefix there was no route before.
    store.put("op/config", &config(8, "/v8/"));
    vm.wait_for_status("/v8/x", 503).await;
    let start = Instant::now();
    while start.elapsed() < KEPT_TIME {
        assert_eq!(vm.send(Method::GET, "/v8/x", "kept").await.status(), 503);
    }
    assert_eq!(servers[0].total_runs(), before);
    store.put("op/evacuate/north-a", &json!({}));
    store.remove("op/evacuate/north-a");
    vm.wait_for_status("/v8/x", 200).await;
}

/// Guards against an evacuation that was taken back and is in force again, because the copy has it.
#[tokio::test]
async fn an_evacuation_that_was_taken_back_stays_so() {
    let (store, _servers, vm) = deployment(1).await;
    store.put("op/evacuate/north-a", &json!({}));
    vm.wait_for_status("/look/x", 503).await;
    let copy = store.copy();
    store.remove("op/evacuate/north-a");
    vm.wait_for_status("/look/x", 200).await;
    store.restore(copy);
    settle(&store, &vm, 8).await;
    assert_eq!(send_for(&vm, "/v8/x", KEPT_TIME).await, Vec::<u16>::new());
}

/// What happens while the store comes back several times in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// The store falls silent before the last return, and is back after it.
    Silence,
    /// The store refuses all calls before the last return.
    Refusals,
    /// The store discards its history.
    Compaction,
    /// The VM is frozen during the last return.
    Freeze,
    /// The VM is killed and started again.
    Restart,
}

/// Guards against a VM that is stuck in an earlier era, whatever happens between one return and the next.
#[rstest]
#[case(Disturbance::None)]
#[case(Disturbance::Silence)]
#[case(Disturbance::Refusals)]
#[case(Disturbance::Compaction)]
#[case(Disturbance::Freeze)]
#[case(Disturbance::Restart)]
#[tokio::test]
async fn several_returns_in_a_row_end_with_what_the_store_has(#[case] disturbance: Disturbance) {
    let store = StandInStore::start().await;
    let server = StandInServer::start("i-1", RUN_TIME).await;
    store.put("servers/i-1", &server.entry("ready"));
    store.put("op/config", &config(7, "/look/"));
    let mut vm = start(&store);
    vm.wait_until_ready().await;
    vm.wait_for_status("/look/x", 200).await;
    let copy = store.copy();
    for round in 0..4 {
        store.put("op/config", &config(8 + round, &format!("/v{}/", 8 + round)));
        for number in 0..20 {
            store.put("servers/i-lost", &json!({"sequence": number}));
        }
        // In every second round the VM has seen the changes that are lost.
        if round % 2 == 0 {
            vm.wait_for_status(&format!("/v{}/x", 8 + round), 200).await;
        }
        match disturbance {
            Disturbance::Silence if round == 3 => store.set_silent(true),
            Disturbance::Refusals if round == 3 => store.set_fault(Some(StoreFault::Busy)),
            Disturbance::Freeze if round == 3 => vm.signal("-STOP"),
            Disturbance::Restart => {
                vm.signal("-KILL");
                let _ = vm.wait();
                vm = start(&store);
                vm.wait_until_ready().await;
            }
            _ => {}
        }
        store.restore(copy.clone());
        if disturbance == Disturbance::Compaction {
            store.compact_history();
        }
    }
    let count = || store.calls("/-/kv-watch") + store.calls("/-/kv-range");
    let calls = count();
    if disturbance == Disturbance::Refusals {
        wait_until("calls are refused", || calls + 2 < count()).await;
    }
    store.put("op/config", &config(20, "/v20/"));
    store.set_silent(false);
    store.set_fault(None);
    if disturbance == Disturbance::Freeze {
        vm.signal("-CONT");
    }
    vm.wait_for_status("/v20/x", 200).await;
    wait_until("the VM is registered again", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    settle(&store, &vm, 21).await;
}

/// Guards against a VM that takes another VM's lease for its own, as ids of leases are given out again too.
#[tokio::test]
async fn a_lease_of_an_earlier_era_is_not_renewed() {
    let store = StandInStore::start().await;
    store.put("op/config", &config(7, "/look/"));
    let copy = store.copy();
    let _vm = start(&store);
    let key = "th/vm/vm-1";
    wait_until("the VM is registered", || store.lease_of(key).is_some()).await;
    let lease = store.lease_of(key).unwrap();
    store.set_fault(Some(StoreFault::Busy));
    store.restore(copy);
    // Another writer has the same id now, and keeps it.
    assert_eq!(store.add_lease(Duration::from_secs(600)), lease);
    store.set_fault(None);
    wait_until("the VM is registered again", || store.lease_of(key).is_some()).await;
    assert_ne!(store.lease_of(key), Some(lease));
}

/// Guards against crashes that the other VMs no longer know, because the store lost them.
#[tokio::test]
async fn crashes_are_listed_again() {
    let (store, servers, vm) = deployment(1).await;
    let copy = store.copy();
    vm.send(Method::GET, "/look/crash", "crash").await;
    assert_eq!(servers[0].crashes().len(), 1);
    wait_until("the crash is listed", || !store.keys("th/crash/").is_empty()).await;
    let listed = store.keys("th/crash/");
    store.restore(copy);
    assert!(store.keys("th/crash/").is_empty());
    wait_until("the crash is listed again", || store.keys("th/crash/") == listed).await;
}

struct Fleet {
    entries: Vec<EntryProcess>,
    /// The way of each VM to the store.
    proxies: Vec<Proxy>,
}

async fn fleet(store: &StandInStore) -> Fleet {
    store.put("op/config", &config(7, "/look/"));
    let (mut entries, mut proxies) = (Vec::new(), Vec::new());
    for number in 1..=VMS {
        let (listen, proxy) = (ListenAddresses::free(), Proxy::start(store.address).await);
        let mut settings = settings(&format!("vm-{number}"), "north-a", listen, proxy.address);
        (settings["config_limit"], settings["drain_limit"]) = (json!(2_500), json!(2_500));
        entries.push(EntryProcess::start(listen, &settings, Stdio::null()));
        proxies.push(proxy);
    }
    for entry in &entries {
        entry.wait_until_ready().await;
    }
    wait_until("all are registered", || store.keys("th/vm/").len() == VMS).await;
    // All have read the entries of the others.
    sleep(LIMIT).await;
    Fleet { entries, proxies }
}

/// Guards against a fleet whose VMs all read the whole store when it is back.
#[tokio::test]
async fn one_vm_reads_the_copy_and_the_others_learn_of_it() {
    let store = StandInStore::start().await;
    let server = StandInServer::start("i-1", RUN_TIME).await;
    store.put("servers/i-1", &server.entry("ready"));
    for number in 0..30 {
        store.put(&format!("other/{number}"), &json!({}));
    }
    let fleet = fleet(&store).await;
    let copy = store.copy();
    for entry in &fleet.entries {
        settle(&store, entry, 8).await;
    }
    let reads = store.calls("/-/kv-range");
    store.restore(copy);
    for (index, entry) in fleet.entries.iter().enumerate() {
        settle(&store, entry, 9 + index as u64).await;
    }
    wait_until("all are registered again", || store.keys("th/vm/").len() == VMS).await;
    // The copy has ten pages at least.
    let reads = store.calls("/-/kv-range") - reads;
    assert!((10..10 * VMS as u64).contains(&reads), "{reads} pages were read");
}

/// Guards against VMs that miss what is written in the new era because they cannot reach the store themselves.
#[tokio::test]
async fn a_vm_that_cannot_reach_the_store_learns_of_the_return_from_others() {
    let store = StandInStore::start().await;
    let server = StandInServer::start("i-1", RUN_TIME).await;
    store.put("servers/i-1", &server.entry("ready"));
    let fleet = fleet(&store).await;
    let copy = store.copy();
    settle(&store, &fleet.entries[0], 8).await;
    for (index, entry) in fleet.entries.iter().enumerate() {
        let version = 9 + 2 * index as u64;
        fleet.proxies[index].set_fault(NetworkFault::Silent);
        store.restore(copy.clone());
        settle(&store, entry, version).await;
        fleet.proxies[index].set_fault(NetworkFault::None);
        for other in &fleet.entries {
            settle(&store, other, version + 1).await;
        }
    }
}

/// A call whose answer states the era.
#[derive(Debug, Clone, Copy)]
enum Call {
    Range,
    Watch,
    WatchOfALostRevision,
    Put,
    KeepAlive,
    EndLease,
}

#[rstest]
#[case(Call::Range, None)]
#[case(Call::Watch, None)]
#[case(Call::WatchOfALostRevision, None)]
#[case(Call::Put, None)]
#[case(Call::KeepAlive, None)]
#[case(Call::EndLease, None)]
#[case(Call::Watch, Some(StoreFault::Busy))]
#[case(Call::Put, Some(StoreFault::RateLimited))]
#[tokio::test]
async fn the_era_is_read_from_every_answer(#[case] call: Call, #[case] fault: Option<StoreFault>) {
    let store = StandInStore::start().await;
    let client = StoreClient::new(store.address);
    assert_eq!(client.eras().known(), Era::ZERO, "none was stated");
    store.restore(store.copy());
    store.set_fault(fault);
    let watch = |after| client.watch("", Revision(after), Millis(1));
    // Whether the call succeeded does not matter, but for a watch that must fail.
    match call {
        Call::Range => drop(client.range("", None).await),
        Call::Watch => drop(watch(10).await),
        Call::WatchOfALostRevision => {
            assert_eq!(watch(10_000).await, Ok(WatchOutcome::Compacted(Era(2))));
        }
        Call::Put => drop(client.put("th/vm/x", b"", LeaseId(1)).await),
        Call::KeepAlive => drop(client.keep_alive(LeaseId(1)).await),
        Call::EndLease => drop(client.end_lease(LeaseId(1)).await),
    }
    assert_eq!(client.eras().known(), Era(store.era()));
}
