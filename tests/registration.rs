//! Registration of a VM whose connection to the store falls silent.

mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{process::Stdio, time::Duration};

use entry::{EntryProcess, ListenAddresses, settings};
use rstest::rstest;
use stand_in::{StandInStore, wait_until};
use tokio::time::{Instant, sleep};

/// Longer than the lifetime of an entry without a renewal.
const WATCHED_TIME: Duration = Duration::from_secs(6);

/// Guards against look-ups that leave out a sound VM because its entry expired while a single connection was silent.
#[rstest]
#[tokio::test]
async fn an_entry_outlives_a_silent_connection(#[values(0, 250, 500, 750)] phase: u64) {
    let store = StandInStore::start().await;
    let listen = ListenAddresses::free();
    let settings = settings("vm-1", "north-a", listen, store.address);
    let _entry = EntryProcess::start(listen, &settings, Stdio::null());
    wait_until("it is registered", || store.keys("th/vm/").len() == 1).await;
    sleep(Duration::from_millis(2_000 + phase)).await;
    store.set_silent(true);
    store.set_silent(false);
    let end = Instant::now() + WATCHED_TIME;
    while Instant::now() < end {
        assert_eq!(store.keys("th/vm/").len(), 1, "{:?} before the end", end - Instant::now());
        sleep(Duration::from_millis(20)).await;
    }
}

fn start(store: &StandInStore) -> EntryProcess {
    let listen = ListenAddresses::free();
    let settings = settings("vm-1", "north-a", listen, store.address);
    EntryProcess::start(listen, &settings, Stdio::null())
}

/// Starts a VM whose first write is held up, and waits until it is registered by another one.
async fn start_with_held_write() -> (StandInStore, EntryProcess) {
    let store = StandInStore::start().await;
    store.hold_next_write();
    let entry = start(&store);
    wait_until("its first write is held up", || store.holds_write()).await;
    wait_until("it is registered", || store.keys("th/vm/").len() == 1).await;
    (store, entry)
}

/// Guards against a VM whose entry is gone for good, because its first write was carried out after a later one, under a lease
/// that nobody renews.
#[tokio::test]
async fn a_write_that_is_carried_out_late_does_not_take_the_entry_away() {
    let (store, _entry) = start_with_held_write().await;
    assert_eq!(store.release_write(), Some(200));
    let end = Instant::now() + WATCHED_TIME;
    while Instant::now() < end {
        assert_eq!(store.keys("th/vm/").len(), 1, "{:?} before the end", end - Instant::now());
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an entry of a VM that has stopped, because its write was carried out after that.
#[tokio::test]
async fn a_write_that_is_carried_out_late_does_not_register_a_stopped_vm() {
    let (store, entry) = start_with_held_write().await;
    entry.signal("-TERM");
    wait_until("its entry is removed", || store.keys("th/vm/").is_empty()).await;
    assert_eq!(store.release_write(), Some(404));
    assert!(store.keys("th/vm/").is_empty());
}

/// Guards against a live VM that stays without an entry after another writer removed it.
#[tokio::test]
async fn an_entry_that_was_removed_is_written_again() {
    let store = StandInStore::start().await;
    let _entry = start(&store);
    for _ in 0..3 {
        wait_until("it is registered", || store.keys("th/vm/").len() == 1).await;
        sleep(Duration::from_millis(700)).await;
        store.remove("th/vm/vm-1");
    }
    wait_until("it is registered again", || store.keys("th/vm/").len() == 1).await;
}
