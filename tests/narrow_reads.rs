//! Reading everything over a narrow link, and small changes beside a large one.

mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{rc::Rc, time::Duration};

use rstest::rstest;
use serde_json::json;
use stand_in::{NarrowLink, StandInStore, wait_until};
use th_gateway::Core;
use th_protocol::Mbit;
use th_steer::dispatch::{Dispatcher, Serving};
use tokio::time::{Instant, sleep};
use watchers::{
    NARROW, WIDE, bytes_per_second, in_force, large_config, start_linked, start_vm, undisturbed,
    write_config,
};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(3_000);
/// Number of routes of a configuration that a narrow link carries in 4.4 s, longer than the limit and all time-outs.
const LONG_ROUTES: usize = 4_000;
/// Number of routes of one that it carries in 0.93 s, as in the incident HOME.
const ROUTES: usize = 840;
/// Number of routes of one that it carries in 1.4 s: half of the limit is left for all that comes before.
const MANY_ROUTES: usize = 1_250;
/// Time from one phase of a watch to the next; six phases are the interval of watches.
const STEP: Duration = Duration::from_millis(200);
/// Number of items that the stand-in puts on a page.
const PAGE_ITEMS: u64 = 3;
/// Number of items of the store in the test of its pages.
const ITEMS: u64 = 9;

fn put_server(store: &StandInStore, id: &str, state: &str) {
    let entry = json!({"service": "desk", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1", "slots": 4,
        "state": state, "cold_remaining_ms": 0, "sequence": 4});
    store.put(&format!("servers/{id}"), &entry);
}

/// Guards against VMs that never serve, because a page that their link carries for longer than a call may be silent is given
/// up and read again.
#[rstest]
#[case::start(false)]
#[case::dropped_history(true)]
#[tokio::test]
async fn everything_is_read_once_over_a_narrow_link(#[case] dropped: bool) {
    let read = undisturbed(async || pages_read(dropped).await).await;
    assert_eq!(read, ITEMS.div_ceil(PAGE_ITEMS), "pages read");
}

/// The number of pages that a VM reads until it knows everything.
async fn pages_read(dropped: bool) -> u64 {
    let store = StandInStore::start().await;
    let link = NarrowLink::start(store.address, bytes_per_second(NARROW)).await;
    let start = || start_vm(1, link.address, LIMIT).0;
    let mut vm = None;
    if dropped {
        write_config(&store, 1);
        let started = vm.insert(start());
        in_force(&[Rc::clone(started.core())], 1, LIMIT).await;
    }
    let before = store.calls("/-/kv-range");
    store.put("op/config", &large_config(2, LONG_ROUTES, &[]));
    for number in 1..ITEMS {
        put_server(&store, &format!("i-{number}"), "ready");
    }
    store.compact_history();
    let vm = vm.unwrap_or_else(start);
    let last = format!("i-{}", ITEMS - 1).parse().unwrap();
    let is_known = || vm.core().dispatcher.borrow().backend(&last).is_some();
    wait_until("the last item is known", is_known).await;
    store.calls("/-/kv-range") - before
}

/// The time after which a large configuration is in force at the VMs of a data centre with those links, if the store drops
/// its history with it.
async fn latest_after_drop(links: &[Mbit], phase: Duration) -> Duration {
    let store = StandInStore::start().await;
    write_config(&store, 1);
    let vms = start_linked(links, &store, LIMIT).await;
    let cores: Vec<_> = vms.iter().map(|it| Rc::clone(it.core())).collect();
    in_force(&cores, 1, LIMIT).await;
    let config = large_config(2, MANY_ROUTES, &[]).to_string();
    sleep(LIMIT + phase).await;
    store.put_bytes("op/config", config.as_bytes());
    store.compact_history();
    in_force(&cores, 2, LIMIT).await
}

/// Guards against requests that are handled by an old configuration because each VM reads everything, one after the other,
/// when the store has dropped its history.
#[rstest]
#[case::alone(&[NARROW])]
#[case::narrow(&[NARROW, NARROW, NARROW])]
#[case::mixed(&[NARROW, NARROW, WIDE, NARROW, NARROW])]
#[tokio::test]
async fn a_large_configuration_is_in_force_in_time_after_a_dropped_history(
    #[case] links: &[Mbit],
    #[values(0, 1, 2, 3, 4, 5)] phase: u32,
) {
    let took = undisturbed(async || latest_after_drop(links, phase * STEP).await).await;
    assert!(took <= LIMIT, "in force after {took:?}, the limit is {LIMIT:?}");
}

/// The longest time after which one of three urgent changes is known at all VMs of a data centre with those links: a server
/// that leaves, an evacuation and the removal of a server, written while a large configuration arrives.
async fn latest_urgent(links: &[Mbit], phase: Duration) -> Duration {
    let store = StandInStore::start().await;
    put_server(&store, "i-1", "ready");
    put_server(&store, "i-2", "ready");
    write_config(&store, 1);
    let vms = start_linked(links, &store, LIMIT).await;
    let cores: Vec<_> = vms.iter().map(|it| Rc::clone(it.core())).collect();
    in_force(&cores, 1, LIMIT).await;
    let config = large_config(2, ROUTES, &[]).to_string();
    sleep(LIMIT + phase).await;
    store.put_bytes("op/config", config.as_bytes());
    let (first, second) = ("i-1".parse().unwrap(), "i-2".parse().unwrap());
    let drain = async {
        sleep(Duration::from_millis(50)).await;
        put_server(&store, "i-1", "draining");
        known(&cores, |it| it.backend(&first).is_some_and(|it| it.serving == Serving::Draining))
            .await
    };
    let evacuation = async {
        sleep(Duration::from_millis(400)).await;
        store.put("op/evacuate/north-a", &json!({}));
        known(&cores, |it| !it.evacuated().is_empty()).await
    };
    let removal = async {
        sleep(Duration::from_millis(800)).await;
        store.remove("servers/i-2");
        known(&cores, |it| it.backend(&second).is_none()).await
    };
    let (drain, evacuation, removal) = tokio::join!(drain, evacuation, removal);
    drain.max(evacuation).max(removal)
}

/// Waits until all VMs know a change, or until twice the limit has passed. Returns the time that it took.
async fn known(cores: &[Rc<Core>], holds: impl Fn(&Dispatcher) -> bool) -> Duration {
    let written = Instant::now();
    while !cores.iter().all(|it| holds(&it.dispatcher.borrow())) && written.elapsed() < 2 * LIMIT {
        sleep(Duration::from_millis(10)).await;
    }
    written.elapsed()
}

/// Guards against requests to servers that leave or are evacuated, because a small change waits too long for a large one that
/// arrives at the same VM.
#[rstest]
#[case::alone(&[NARROW])]
#[case::narrow(&[NARROW, NARROW, NARROW])]
#[case::mixed(&[NARROW, NARROW, WIDE, NARROW, NARROW])]
#[tokio::test]
async fn small_changes_are_known_in_time_beside_a_large_configuration(
    #[case] links: &[Mbit],
    #[values(0, 1, 2, 3, 4, 5)] phase: u32,
) {
    let took = undisturbed(async || latest_urgent(links, phase * STEP).await).await;
    assert!(took <= LIMIT, "known after {took:?}, the limit is {LIMIT:?}");
}
