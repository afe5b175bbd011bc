//! Several real processes of one data centre that pass on the store's changes.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{process::Stdio, time::Duration};

use desk::{RUN_TIME, config};
use entry::{EntryProcess, ListenAddresses, settings};
use reqwest::Method;
use serde_json::json;
use stand_in::{StandInServer, StandInStore, wait_until};
use tokio::time::{Instant, sleep};

const VMS: usize = 4;
/// Limits of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(2_500);
/// Long enough for several watches.
const QUIET_TIME: Duration = Duration::from_secs(6);

async fn fleet(store: &StandInStore) -> Vec<EntryProcess> {
    store.put("op/config", &config(7, "/look/"));
    let mut entries = Vec::new();
    for number in 1..=VMS {
        let listen = ListenAddresses::free();
        let mut settings = settings(&format!("vm-{number}"), "north-a", listen, store.address);
        settings["config_limit"] = json!(LIMIT.as_millis());
        settings["drain_limit"] = json!(LIMIT.as_millis());
        entries.push(EntryProcess::start(listen, &settings, Stdio::null()));
    }
    for entry in &entries {
        entry.wait_until_ready().await;
    }
    wait_until("all are registered", || store.keys("th/vm/").len() == VMS).await;
    // All have read the entries of the others.
    sleep(LIMIT).await;
    entries
}

async fn start_server(store: &StandInStore, id: &str) -> StandInServer {
    let server = StandInServer::start(id, RUN_TIME).await;
    store.put(&format!("servers/{id}"), &server.entry("ready"));
    server
}

/// Writes a configuration, and waits until all VMs but one use it.
async fn change(store: &StandInStore, entries: &[EntryProcess], without: usize, version: u64) {
    let path = format!("/v{version}/");
    store.put("op/config", &config(version, &path));
    let written = Instant::now();
    for (index, entry) in entries.iter().enumerate() {
        if index == without {
            continue;
        }
        entry.wait_for_status(&format!("{path}x"), 200).await;
        let took = written.elapsed();
        assert!(took <= LIMIT, "VM {index} without VM {without} took {took:?}");
    }
}

/// Counts watches while the items of the store change all the time, as those of servers do.
async fn count_watches(store: &StandInStore, server: &StandInServer) -> u64 {
    let before = store.calls("/-/kv-watch");
    let end = Instant::now() + QUIET_TIME;
    while Instant::now() < end {
        store.put(&format!("servers/{}", server.id), &server.entry("ready"));
        sleep(Duration::from_millis(50)).await;
    }
    store.calls("/-/kv-watch") - before
}

#[tokio::test]
async fn one_vm_watches_and_all_learn_in_time() {
    let store = StandInStore::start().await;
    let server = start_server(&store, "i-1").await;
    let entries = fleet(&store).await;
    let watches = count_watches(&store, &server).await;
    // One VM alone makes one watch a second; four would make 24.
    assert!((4..=10).contains(&watches), "{watches} watches in {QUIET_TIME:?}");
    change(&store, &entries, VMS, 8).await;
    // A server that drains is not used by any of them.
    let other = start_server(&store, "i-2").await;
    store.put("servers/i-1", &server.entry("draining"));
    sleep(LIMIT).await;
    let runs = server.total_runs();
    for entry in &entries {
        for number in 0..5 {
            let answer = entry.send(Method::GET, "/v8/x", &format!("drained-{number}")).await;
            assert_eq!(answer.status(), 200);
        }
    }
    assert_eq!((server.total_runs(), 0 < other.total_runs()), (runs, true));
}

/// The VM that watches for the others may be frozen, at any moment and with its connections open.
#[tokio::test]
async fn a_change_is_in_force_in_time_while_any_vm_is_frozen() {
    let store = StandInStore::start().await;
    let _server = start_server(&store, "i-1").await;
    let entries = fleet(&store).await;
    for (index, entry) in entries.iter().enumerate() {
        entry.signal("-STOP");
        change(&store, &entries, index, 10 + index as u64).await;
        entry.signal("-CONT");
        entry.wait_for_status(&format!("/v{}/x", 10 + index), 200).await;
    }
}

#[tokio::test]
async fn a_change_is_in_force_in_time_after_vms_are_killed() {
    let store = StandInStore::start().await;
    let _server = start_server(&store, "i-1").await;
    let mut entries = fleet(&store).await;
    let mut version = 10;
    while 1 < entries.len() {
        drop(entries.remove(0));
        version += 1;
        let without = entries.len();
        change(&store, &entries, without, version).await;
    }
}

/// A VM that receives changes from another one does not revert to an older state, whatever it is answered.
#[tokio::test]
async fn a_restarted_watcher_reverts_nothing() {
    let store = StandInStore::start().await;
    let _server = start_server(&store, "i-1").await;
    let mut entries = fleet(&store).await;
    for round in 0..2 {
        let version = 20 + round;
        change(&store, &entries, VMS, version).await;
        for index in 0..VMS {
            let listen = entries[index].listen;
            let name = format!("vm-{}", index + 1);
            let settings = settings(&name, "north-a", listen, store.address);
            entries[index] = {
                entries[index].signal("-KILL");
                let _ = entries[index].wait();
                EntryProcess::start(listen, &settings, Stdio::null())
            };
            entries[index].wait_until_ready().await;
            for entry in &entries {
                let path = format!("/v{version}/x");
                assert_eq!(entry.send(Method::GET, &path, "kept").await.status(), 200);
            }
        }
    }
}
