//! Writes of backend servers that the store carries out late: after a later write of the same server, or after its entry was
//! removed.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{rc::Rc, time::Duration};

use rstest::rstest;
use serde_json::{Value, json};
use stand_in::StandInStore;
use th_gateway::Core;
use th_protocol::BackendId;
use th_steer::dispatch::Serving;
use tokio::{task::LocalSet, time::sleep};
use watchers::{cores, in_force, start_vms, write_config};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(2_500);
const KEY: &str = "servers/i-1";
/// A server's start, in Unix milliseconds.
const BORN: u64 = 1_700_000_000_000;

/// The entry of a server that was started then, as its n-th write.
fn entry(state: &str, born: u64, sequence: u64) -> Value {
    json!({"service": "desk", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1", "slots": 4,
        "state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": born})
}

/// What VMs of a data centre know of a server.
struct Play {
    store: StandInStore,
    cores: Vec<Rc<Core>>,
    version: u64,
}

impl Play {
    async fn start(vms: usize) -> (Play, Vec<th_gateway::Gateway>) {
        let store = StandInStore::start().await;
        let started = start_vms(vms, &store, LIMIT).await;
        sleep(LIMIT).await;
        (
            Play { store, cores: cores(&started), version: 1 },
            started.into_iter().map(|it| it.0).collect(),
        )
    }

    /// Waits until all VMs know what was written before.
    async fn settle(&mut self) {
        self.version += 1;
        write_config(&self.store, self.version);
        let took = in_force(&self.cores, self.version, LIMIT).await;
        assert!(took <= LIMIT, "version {} is in force after {took:?}", self.version);
    }

    async fn write(&mut self, state: &str, born: u64, sequence: u64) {
        self.store.put(KEY, &entry(state, born, sequence));
        self.settle().await;
    }

    async fn remove(&mut self) {
        self.store.remove(KEY);
        self.settle().await;
    }

    /// The state in which each VM uses the server.
    fn states(&self) -> Vec<Option<Serving>> {
        let id: BackendId = "i-1".parse().unwrap();
        let state = |it: &Rc<Core>| it.dispatcher.borrow().backend(&id).map(|it| it.serving);
        self.cores.iter().map(state).collect()
    }
}

/// Runs a play with one VM, and with three of which two follow the first.
async fn with_vms(vms: usize, play: impl AsyncFnOnce(&mut Play)) {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (mut started, _gateways) = Play::start(vms).await;
            play(&mut started).await;
        })
        .await;
}

/// Guards against requests to a server that drains, because a write from before reached the store after its report.
#[rstest]
#[tokio::test]
async fn a_held_up_write_makes_no_draining_server_ready_again(#[values(1, 3)] vms: usize) {
    with_vms(vms, async |play| {
        play.write("ready", BORN, 4).await;
        assert_eq!(play.states(), vec![Some(Serving::Ready); vms]);
        play.write("draining", BORN, 6).await;
        play.write("ready", BORN, 5).await;
        assert_eq!(play.states(), vec![Some(Serving::Draining); vms]);
        // Its entry lapses, and another held-up write comes.
        play.remove().await;
        play.write("ready", BORN, 3).await;
        assert_eq!(play.states(), vec![None; vms]);
    })
    .await;
}

/// Guards against requests to a server that is gone, because a write that was on its way when its entry was removed reached
/// the store after that.
#[rstest]
#[case::already_seen(4)]
#[case::not_seen_before(5)]
#[tokio::test]
async fn a_held_up_write_brings_no_removed_server_back(
    #[values(1, 3)] vms: usize,
    #[case] sequence: u64,
) {
    with_vms(vms, async |play| {
        play.write("ready", BORN, 4).await;
        play.remove().await;
        assert_eq!(play.states(), vec![None; vms]);
        play.write("ready", BORN, sequence).await;
        assert_eq!(play.states(), vec![None; vms]);
        // The store carries the same call out once more.
        play.write("ready", BORN, sequence).await;
        assert_eq!(play.states(), vec![None; vms]);
    })
    .await;
}

/// Guards against a live server that stays out of use after its entry lapsed, and against one that stays out of use because
/// its clock was set back before it started again.
#[rstest]
#[tokio::test]
async fn a_server_that_goes_on_writing_is_used_again(#[values(1, 3)] vms: usize) {
    with_vms(vms, async |play| {
        play.write("ready", BORN, 4).await;
        play.remove().await;
        play.write("ready", BORN, 7).await;
        play.write("ready", BORN, 8).await;
        assert_eq!(play.states(), vec![Some(Serving::Ready); vms], "its entry lapsed");
        play.remove().await;
        play.write("ready", BORN + 1, 0).await;
        assert_eq!(play.states(), vec![Some(Serving::Ready); vms], "it started again");
    })
    .await;
}

/// Guards against followers that never learn that a server is back, because they are passed only the last of several writes.
#[tokio::test]
async fn followers_take_a_server_back_whose_writes_come_together() {
    with_vms(3, async |play| {
        play.write("ready", BORN, 4).await;
        play.remove().await;
        for sequence in 7..12 {
            play.store.put(KEY, &entry("ready", BORN, sequence));
            play.store.put(KEY, &entry("ready", BORN, sequence + 10));
            sleep(Duration::from_millis(1_500)).await;
        }
        play.settle().await;
        assert_eq!(play.states(), vec![Some(Serving::Ready); 3]);
    })
    .await;
}
