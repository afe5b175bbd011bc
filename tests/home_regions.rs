//! Look-ups of the real program, for a host of which few requests have home regions.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use desk::{config, deployment};
use entry::free;
use reqwest::Method;
use serde_json::json;
use stand_in::StandInServer;

/// Requests without a home to each one that has one.
const OTHERS: usize = 150;

/// Guards against requests that are sent to other regions than their homes because few of their host's requests have any.
#[tokio::test]
async fn look_ups_name_home_regions_once_their_callers_use_them() {
    let (store, _servers, entry) = deployment(1).await;
    // Most servers and another VM are in the south.
    for index in 2..8 {
        let server = StandInServer::start(&format!("i-{index}"), Duration::ZERO).await;
        let mut item = server.entry("ready");
        item["zone"] = json!("south-a");
        store.put(&format!("servers/{}", server.id), &item);
    }
    let south = free();
    let item = json!({"zone": "south-a", "callers": south, "ready": free()});
    store.put("th/vm/vm-2", &item);
    let mut config = config(8, "/look/");
    config["routes"][1]["home_regions"] = json!(["north"]);
    store.put("op/config", &config);
    entry.wait_until_returned(south, true).await;
    for number in 0..OTHERS {
        entry.send(Method::GET, "/look/x", &format!("look-{number}")).await;
    }
    assert!(entry.is_returned(south).await, "no request with a home was sent");
    entry.send(Method::POST, "/book/x", "book").await;
    for number in 0..20 {
        assert!(!entry.is_returned(south).await, "look-up {number} after it");
    }
}
