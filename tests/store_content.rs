//! What the real program on the users' platform makes of the store: entries, configurations, its absence; its own entry and stop.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{net::SocketAddr, process::Stdio, time::Duration};

use desk::{RUN_TIME, config, deployment};
use entry::{EntryProcess, ListenAddresses, settings};
use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use stand_in::{StandInServer, StoreFault, wait_until};
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn a_draining_server_gets_no_new_requests() {
    let (store, servers, entry) = deployment(2).await;
    let draining = &servers[0];
    store.put(&format!("servers/{}", draining.id), &draining.entry("draining"));
    // The configuration changes afterwards, so once it is in force, the drain is known too.
    store.put("op/config", &config(8, "/seen/"));
    entry.wait_for_status("/seen/x", 200).await;
    let before = draining.total_runs();
    for index in 0..20 {
        assert_eq!(entry.send(Method::GET, "/seen/x", &format!("n-{index}")).await.status(), 200);
    }
    assert_eq!(draining.total_runs(), before);
}

#[rstest]
#[case::older(config(3, "/old/").to_string().into_bytes())]
#[case::unreadable(b"{\"version\": 7".to_vec())]
#[tokio::test]
async fn an_older_or_unreadable_configuration_is_ignored(#[case] value: Vec<u8>) {
    let (store, servers, entry) = deployment(1).await;
    store.put_bytes("op/config", &value);
    store.put("op/evacuate/south-a", &json!({}));
    // A server that is added afterwards shows that the change was read.
    let server = StandInServer::start("i-9", RUN_TIME).await;
    store.put("servers/i-9", &server.entry("ready"));
    store.remove("servers/i-1");
    let first = servers[0].total_runs();
    for attempt in 0..3_000 {
        if 0 < server.total_runs() {
            break;
        }
        entry.send(Method::GET, "/look/x", &format!("try-{attempt}")).await;
        sleep(Duration::from_millis(10)).await;
    }
    assert!(0 < server.total_runs(), "the new server got no request; the first server had {first}");
    assert_eq!(entry.send(Method::GET, "/look/x", "kept").await.status(), 200);
    assert_eq!(entry.send(Method::GET, "/old/x", "old").await.status(), 404);
}

#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::rate_limited(StoreFault::RateLimited)]
#[case::lost(StoreFault::Lost)]
#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable(#[case] fault: StoreFault) {
    let (store, _servers, entry) = deployment(1).await;
    store.set_fault(Some(fault));
    let calls = store.calls("/-/kv-watch");
    wait_until("a watch has failed", || calls + 2 < store.calls("/-/kv-watch")).await;
    store.put("op/config", &config(8, "/later/"));
    for index in 0..10 {
        let answer = entry.send(Method::GET, "/look/x", &format!("away-{index}")).await;
        assert_eq!(answer.status(), 200);
    }
    store.set_fault(None);
    entry.wait_for_status("/later/x", 200).await;
    wait_until("the VM is registered again", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
}

/// Many changes while the store rejects a VM: an answer to a watch holds only a part of them, and the rest must not wait
/// for the next interval.
#[tokio::test]
async fn a_backlog_of_changes_is_read_without_pauses() {
    let (store, servers, _entry) = deployment(1).await;
    let listen = ListenAddresses::free();
    let mut settings = settings("vm-2", "north-a", listen, store.address);
    (settings["config_limit"], settings["drain_limit"]) = (json!(2_500), json!(2_500));
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    store.set_fault(Some(StoreFault::Busy));
    let calls = store.calls("/-/kv-watch");
    wait_until("watches have failed", || calls + 4 < store.calls("/-/kv-watch")).await;
    for sequence in 0..4_000 {
        let mut item = servers[0].entry("ready");
        item["sequence"] = json!(sequence);
        store.put(&format!("servers/{}", servers[0].id), &item);
    }
    store.put("op/config", &config(8, "/later/"));
    store.set_fault(None);
    let back = Instant::now();
    entry.wait_for_status("/later/x", 200).await;
    let took = back.elapsed();
    assert!(took <= Duration::from_millis(2_500), "in force {took:?} after the store was back");
}

#[tokio::test]
async fn everything_is_read_again_after_the_history_is_dropped() {
    let (store, _servers, entry) = deployment(1).await;
    store.put("op/config", &config(8, "/later/"));
    store.compact_history();
    entry.wait_for_status("/later/x", 200).await;
    entry.wait_for_status("/look/x", 404).await;
}

/// Guards against stale reads: a read may return a state older than what the VM has already seen.
#[tokio::test]
async fn a_stale_read_reverts_nothing() {
    let (store, servers, entry) = deployment(1).await;
    store.set_stale(true);
    let new_server = StandInServer::start("i-9", RUN_TIME).await;
    store.put("servers/i-9", &new_server.entry("ready"));
    store.put(&format!("servers/{}", servers[0].id), &servers[0].entry("draining"));
    store.put("op/config", &config(8, "/later/"));
    entry.wait_for_status("/later/x", 200).await;
    let reads = store.calls("/-/kv-range");
    // A change that drops out of the history before the VM has seen it.
    store.put_bytes("servers/i-bad", b"\xffstill not json");
    store.compact_history();
    wait_until("everything was read again", || reads + 6 < store.calls("/-/kv-range")).await;
    let before = servers[0].total_runs();
    for index in 0..10 {
        let answer = entry.send(Method::GET, "/later/x", &format!("stale-{index}")).await;
        assert_eq!(answer.status(), 200, "the new server is still known");
    }
    assert_eq!(servers[0].total_runs(), before, "the draining server is not used again");
    assert_eq!(entry.send(Method::GET, "/look/x", "old").await.status(), 404);
    store.set_stale(false);
    store.put("op/config", &config(9, "/last/"));
    entry.wait_for_status("/last/x", 200).await;
}

#[tokio::test]
async fn a_stop_cuts_no_request_and_removes_the_entry() {
    let (store, _servers, mut entry) = deployment(1).await;
    wait_until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    entry.signal("-TERM");
    wait_until("the entry is removed", || store.keys("th/vm/").is_empty()).await;
    let url = format!("http://{}/-/readiness", entry.listen.ready);
    assert_eq!(entry.client.get(url).send().await.unwrap().status(), 503);
    let answer = entry.send(Method::GET, "/look/x", "late").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    assert_eq!(entry.wait().code(), Some(0));
}

/// Guards against the loss of a live VM: the store may reject the calls of one VM while it serves others, so that the
/// VM's entry expires.
#[tokio::test]
async fn a_vm_without_an_entry_is_returned_while_it_is_ready() {
    let (store, _servers, entry) = deployment(1).await;
    let (_other_store, _other_servers, other) = deployment(1).await;
    let item =
        json!({"zone": "north-a", "callers": other.listen.callers, "ready": other.listen.ready});
    store.put("th/vm/vm-2", &item);
    entry.wait_until_returned(other.listen.callers, true).await;
    store.remove("th/vm/vm-2");
    store.put("op/config", &config(8, "/seen/"));
    entry.wait_for_status("/seen/x", 200).await;
    sleep(Duration::from_millis(1_500)).await;
    assert!(
        entry.is_returned(other.listen.callers).await,
        "it is ready, so look-ups still return it"
    );
    drop(other);
    let address: SocketAddr = item["callers"].as_str().unwrap().parse().unwrap();
    entry.wait_until_returned(address, false).await;
}

#[tokio::test]
async fn a_reload_of_invalid_settings_changes_nothing_for_callers() {
    let (_store, _servers, entry) = deployment(1).await;
    std::fs::write(entry.settings.path(), "{not settings").unwrap();
    entry.signal("-HUP");
    for index in 0..10 {
        let answer = entry.send(Method::GET, "/look/x", &format!("hup-{index}")).await;
        assert_eq!(answer.status(), 200);
    }
}
