//! Odd entries in place of good ones whose writers go on: what they must not leave behind.

mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{rc::Rc, time::Duration};

use rstest::rstest;
use serde_json::{Value, json};
use stand_in::StandInStore;
use th_protocol::BackendId;
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
