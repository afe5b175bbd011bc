//! `thctl fleet` against the stand-in of the users' platform, as a user runs it.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod tool;

use std::time::Duration;

use desk::deployment;
use reqwest::Method;
use serde_json::{Value, json};
use stand_in::{StandInServer, StandInStore, StoreFault};
use tokio::task::spawn_blocking;
use tool::{thctl, thctl_json};

fn config() -> Value {
    let route = json!({"name": "look", "host": "desk.example", "prefix": "/look/", "kind": "safe",
        "timeout_ms": 1500, "target_latency_ms": 600, "priority": 1, "service": "desk", "max_attempts": 2});
    json!({"version": "0000000c", "routes": [route], "services": [{"name": "desk", "cold_per_s": 4.1}], "limits": {}})
}

async fn run_fleet(store: &StandInStore) -> (i32, Value) {
    let address = store.address.to_string();
    spawn_blocking(move || thctl_json(&["fleet", "--store", &address])).await.unwrap()
}

#[tokio::test]
async fn the_fleet_is_shown_with_what_cannot_be_used() {
    let store = StandInStore::start().await;
    store.put("op/config", &config());
    store.put("op/evacuate/south-a", &json!({}));
    for (number, state) in ["ready", "ready", "draining"].iter().enumerate() {
        let server = StandInServer::start(&format!("i-{number}"), Duration::ZERO).await;
        store.put(&format!("servers/{}", server.id), &server.entry(state));
    }
    store.put_bytes("servers/i-bad", b"\xffnot json");
    store.put(
        "th/vm/vm-1",
        &json!({"zone": "north-a", "callers": "127.0.0.1:1", "ready": "127.0.0.1:1"}),
    );
    let (code, output) = run_fleet(&store).await;
    assert_eq!(code, 0, "{output}");
    assert_eq!(output["version"], 12);
    assert_eq!(output["era"], 1);
    assert_eq!(output["evacuated"], json!(["south-a"]));
    let counts = json!([{"service": "desk", "zone": "north-a", "ready": 2, "slots": 8, "draining": 1, "evacuated": false}]);
    assert_eq!(output["backends"], counts);
    assert_eq!(output["entries"][0]["vm"], "vm-1");
    assert_eq!(output["entries"][0]["ready"], Value::Null, "nothing listens at its address");
    assert_eq!(output["unusable"][0]["key"], "servers/i-bad");
    let address = store.address.to_string();
    let (code, text) =
        spawn_blocking(move || thctl(&["fleet", "--store", &address])).await.unwrap();
    assert_eq!(code, 0);
    for part in [
        "store in era 1",
        "configuration 12",
        "desk in north-a: 2 ready with 8 slots, 1 draining",
        "vm-1 in north-a: no answer",
    ] {
        assert!(text.contains(part), "{text}");
    }
}

/// Guards against control sequences of another writer in the operator's terminal, and a tool that ends at absurd numbers.
#[tokio::test]
async fn odd_items_are_shown_in_short_and_without_control_characters() {
    let store = StandInStore::start().await;
    store.put("op/config", &config());
    let server = StandInServer::start("i-1", Duration::ZERO).await;
    let mut entry = server.entry("ready");
    store.put("servers/i-1", &entry);
    store.put("servers/\u{1b}[2J", &json!({}));
    store.put_bytes("servers/i-nested", "[".repeat(200_000).as_bytes());
    store.put_encoded("servers/i-undecodable", "\u{7}");
    entry["state"] = json!("\u{1b}]0;x\u{7}".repeat(100_000));
    store.put("servers/i-long", &entry);
    entry["state"] = json!("ready");
    entry["slots"] = json!(u32::MAX);
    for number in 0..3 {
        store.put(&format!("servers/i-slots-{number}"), &entry);
    }
    let address = store.address.to_string();
    let (code, text) =
        spawn_blocking(move || thctl(&["fleet", "--store", &address])).await.unwrap();
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("desk in north-a: 1 ready with 4 slots"), "{text}");
    for key in ["i-nested", "i-undecodable", "i-long", "i-slots-0", "i-slots-1", "i-slots-2"] {
        assert!(text.contains(&format!("unusable: servers/{key} at")), "{key}: {text}");
    }
    assert!(!text.contains(|it: char| it.is_control() && it != '\n'), "{text:?}");
    assert!(text.lines().all(|it| it.len() < 1_000), "{text}");
}

/// "We cannot yet tell which backends are dragging": a server that answers, but far too late, is named.
#[tokio::test]
async fn a_server_that_drags_is_named() {
    let (store, servers, entry) = deployment(3).await;
    assert_eq!(entry.send(Method::POST, "/book/x", "first").await.status(), 200);
    let used = servers.iter().find(|it| it.runs("first") == 1).unwrap();
    // Over twice the route's objective, but before its time-out.
    used.set_work(Duration::from_millis(1_350));
    for round in 0..10 {
        let send = |index: u32| {
            let (path, id) = (format!("/book/{index}"), format!("{round}-{index}"));
            let entry = &entry;
            async move { entry.send(Method::POST, &path, &id).await }
        };
        futures_util::future::join_all((0..3).map(send)).await;
        let (code, output) = run_fleet(&store).await;
        assert_eq!(code, 0, "{output}");
        if output["dragging"] == json!({&used.id: ["vm-1"]}) {
            let address = store.address.to_string();
            let text =
                spawn_blocking(move || thctl(&["fleet", "--store", &address])).await.unwrap().1;
            assert!(text.contains(&format!("{} drags, found by vm-1", used.id)), "{text}");
            return;
        }
    }
    panic!("no server was found to drag");
}

#[tokio::test]
async fn an_unavailable_store_is_reported() {
    let store = StandInStore::start().await;
    store.set_fault(Some(StoreFault::Busy));
    let (code, output) = run_fleet(&store).await;
    assert_eq!(code, 5);
    assert!(output["error"].as_str().unwrap().contains("503"), "{output}");
}
