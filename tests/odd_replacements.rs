//! Odd entries in place of good ones whose writers go on: what they must not leave behind.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use desk::{config, deployment};
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::StandInStore;
use th_protocol::BackendId;
use th_steer::dispatch::Serving;
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};
use watchers::{in_force, start_vm, write_config};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(2_500);

fn server(count: u64) -> Value {
    json!({"service": "desk", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0, "sequence": count, "born": 1_700_000_000_000_u64})
}

/// Guards against a live server that is ignored for good after the store came back from an older copy, since an odd entry in its
/// place claimed later writes than its own.
#[rstest]
#[case::later_start(json!({"born": 1_800_000_000_000_u64, "sequence": 4}))]
#[case::more_writes(json!({"born": 1_700_000_000_000_u64, "sequence": 9_000_000}))]
#[tokio::test]
async fn a_server_is_known_after_an_odd_entry_claimed_later_writes(#[case] odd: Value) {
    let store = StandInStore::start().await;
    store.put("servers/i-1", &server(4));
    write_config(&store, 1);
    let play = async {
        let (gateway, _) = start_vm(1, store.address, LIMIT);
        let cores = [Rc::clone(gateway.core())];
        in_force(&cores, 1, LIMIT).await;
        let copy = store.copy();
        store.put("servers/i-1", &odd);
        write_config(&store, 2);
        in_force(&cores, 2, LIMIT).await;
        let id: BackendId = "i-1".parse().unwrap();
        let knows = || cores[0].dispatcher.borrow().backend(&id).is_some();
        assert!(!knows(), "the odd entry names no server");
        store.restore(copy);
        store.put("servers/i-1", &server(5));
        let written = Instant::now();
        while !knows() {
            assert!(written.elapsed() < 2 * LIMIT, "the server's own entry is ignored");
            sleep(Duration::from_millis(10)).await;
        }
    };
    LocalSet::new().run_until(play).await;
}

/// Guards against requests to a server that drains, which the older copy has as ready, since an odd entry hid that it drains.
#[tokio::test]
async fn a_drain_before_an_odd_entry_is_not_taken_back_by_the_copy() {
    let store = StandInStore::start().await;
    store.put("servers/i-1", &server(4));
    write_config(&store, 1);
    let play = async {
        let (gateway, _) = start_vm(1, store.address, LIMIT);
        let cores = [Rc::clone(gateway.core())];
        in_force(&cores, 1, LIMIT).await;
        let copy = store.copy();
        let mut draining = server(5);
        draining["state"] = json!("draining");
        store.put("servers/i-1", &draining);
        write_config(&store, 2);
        in_force(&cores, 2, LIMIT).await;
        store.put("servers/i-1", &json!({"slots": 1e300}));
        write_config(&store, 3);
        in_force(&cores, 3, LIMIT).await;
        store.restore(copy);
        write_config(&store, 4);
        in_force(&cores, 4, LIMIT).await;
        let id: BackendId = "i-1".parse().unwrap();
        let dispatcher = cores[0].dispatcher.borrow();
        let record = dispatcher.backend(&id);
        assert!(record.is_none_or(|it| it.serving == Serving::Draining), "{record:?}");
    };
    LocalSet::new().run_until(play).await;
}

/// Guards against look-ups that name a dead VM for good, since an odd entry stands in the place of its own.
#[tokio::test]
async fn a_vm_with_an_odd_entry_is_returned_only_while_it_is_ready() {
    let (store, _servers, entry) = deployment(1).await;
    let (_other_store, _other_servers, other) = deployment(1).await;
    let item =
        json!({"zone": "north-a", "callers": other.listen.callers, "ready": other.listen.ready});
    store.put("th/vm/vm-2", &item);
    entry.wait_until_returned(other.listen.callers, true).await;
    store.put("th/vm/vm-2", &json!({"zone": "north-a", "callers": "127.0.0.1:0"}));
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
