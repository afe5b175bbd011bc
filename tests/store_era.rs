//! A store that comes back from an older copy, and gives out revisions again.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use desk::{RUN_TIME, config, deployment};
use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use stand_in::{StandInServer, wait_until};
use tokio::time::{Instant, sleep};

/// Time within which a change must be known; more than the platform's pages set.
const LIMIT: Duration = Duration::from_secs(5);

/// Guards against a VM that ignores what is written after the store came back older, until revisions pass those that it knows.
#[rstest]
#[case::few_changes_lost(1)]
#[case::many_changes_lost(200)]
#[tokio::test]
async fn a_configuration_written_after_the_store_came_back_older_is_in_force_in_time(
    #[case] lost: u64,
) {
    let (store, _servers, entry) = deployment(1).await;
    wait_until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    let copy = store.copy();
    for number in 0..lost {
        store.put("servers/i-lost", &json!({"sequence": number}));
    }
    store.put("op/config", &config(8, "/v8/"));
    entry.wait_for_status("/v8/x", 200).await;
    store.restore(copy);
    store.put("op/config", &config(9, "/v9/"));
    let written = Instant::now();
    while entry.send(Method::GET, "/v9/x", "after").await.status() != 200 {
        assert!(written.elapsed() < LIMIT, "version 9 is not in force");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a configuration, and the registration of this VM, that go back with the store.
#[tokio::test]
async fn nothing_goes_back_with_the_store() {
    let (store, _servers, entry) = deployment(1).await;
    wait_until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    let copy = store.copy();
    store.put("op/config", &config(8, "/v8/"));
    entry.wait_for_status("/v8/x", 200).await;
    store.restore(copy);
    wait_until("the VM is registered again", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    sleep(LIMIT).await;
    assert_eq!(entry.send(Method::GET, "/v8/x", "kept").await.status(), 200);
}

/// Guards against a server that is unknown or used wrongly because its entry has a revision that was given out before.
#[tokio::test]
async fn a_server_that_starts_after_the_store_came_back_older_is_used() {
    let (store, servers, entry) = deployment(1).await;
    let copy = store.copy();
    for number in 0..50 {
        store.put("servers/i-lost", &json!({"sequence": number}));
    }
    sleep(LIMIT).await;
    store.restore(copy);
    let server = StandInServer::start("i-2", RUN_TIME).await;
    store.put("servers/i-2", &server.entry("ready"));
    store.put("servers/i-1", &servers[0].entry("draining"));
    let written = Instant::now();
    let mut number = 0;
    while server.total_runs() == 0 {
        assert!(written.elapsed() < LIMIT, "the server gets no requests");
        entry.send(Method::GET, "/look/x", &format!("look-{number}")).await;
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
}
