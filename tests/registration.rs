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
