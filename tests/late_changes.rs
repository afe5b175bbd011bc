//! Configurations written after silences of the store, at the level of the watcher and of the process.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{process::Stdio, rc::Rc, time::Duration};

use desk::config;
use entry::{EntryProcess, ListenAddresses};
use futures_util::future::join_all;
use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use stand_in::{StandInStore, StoreFault, wait_until};
use th_gateway::Core;
use th_protocol::BackendId;
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};
use watchers::{cores, in_force, limited, start_vm, start_vms, write_config};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(2_500);
/// Time from one phase of a watch and its repetition to the next.
const STEP: Duration = Duration::from_millis(250);
/// Number of phases: more than the longest time from one watch to the next.
const PHASES: u32 = 18;

/// The time after which a configuration, written at the end of the last silence, is in force at all VMs of a data centre. Each
/// silence has a length and a time before it, in milliseconds; the first one begins a phase after all is known.
async fn latest_after_silences(vms: usize, phase: Duration, silences: &[(u64, u64)]) -> Duration {
    let store = StandInStore::start().await;
    let started = start_vms(vms, &store, LIMIT).await;
    let cores = cores(&started);
    sleep(LIMIT + phase).await;
    for (away, back) in silences {
        sleep(Duration::from_millis(*back)).await;
        store.set_silent(true);
        sleep(Duration::from_millis(*away)).await;
        store.set_silent(false);
    }
    write_config(&store, 2);
    in_force(&cores, 2, LIMIT).await
}

/// Guards against configurations that come into force too late after the store was silent, whatever was under way when it
/// fell silent and when it came back.
#[rstest]
#[tokio::test]
async fn a_configuration_is_in_force_in_time_after_silences_of_the_store(
    #[values(1, 2, 5)] vms: usize,
    #[values(&[(0, 0)], &[(600, 0)], &[(9_000, 0)], &[(7_000, 0), (1_500, 1_300)], &[(1_000, 0), (1_000, 700), (1_000, 700)])]
    silences: &[(u64, u64)],
) {
    let plays = (0..PHASES).map(|it| latest_after_silences(vms, it * STEP, silences));
    let took = LocalSet::new().run_until(join_all(plays)).await;
    let late: Vec<_> = took.iter().enumerate().filter(|(_, it)| LIMIT < **it).collect();
    assert!(
        late.is_empty(),
        "{} of {PHASES} phases are late, by phase: {late:?}; of {took:?}",
        late.len()
    );
}

/// Time after the store's return within which a server whose entry expired meanwhile has written it again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(2_000);

/// Time after the store's return from which a VM must act on what the store says.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// How calls fail while the store is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Away {
    /// They get no answer.
    Silent,
    /// Their connections are closed.
    Closed,
}

impl Away {
    fn set(self, store: &StandInStore, is_away: bool) {
        match self {
            Away::Silent => store.set_silent(is_away),
            Away::Closed => store.set_fault(is_away.then_some(StoreFault::Closed)),
        }
    }
}

/// The time from the store's return to the removal of a server whose entry expired while the store was away; `None` if it
/// is kept. Unless it is gone, it writes its entry again.
async fn lost_after(
    away: Away,
    phase: Duration,
    silence: Duration,
    gone: bool,
) -> Option<Duration> {
    let store = StandInStore::start().await;
    write_config(&store, 1);
    let entry = json!({"service": "desk", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 4});
    store.put("servers/i-1", &entry);
    let (gateway, _) = start_vm(1, store.address, LIMIT);
    let cores = [Rc::clone(gateway.core())];
    in_force(&cores, 1, LIMIT).await;
    sleep(LIMIT + phase).await;
    away.set(&store, true);
    store.remove("servers/i-1");
    sleep(silence).await;
    away.set(&store, false);
    let (back, mut written) = (Instant::now(), gone);
    let id: BackendId = "i-1".parse().unwrap();
    while back.elapsed() < 2 * LIMIT {
        if !written && WRITTEN_AGAIN <= back.elapsed() {
            store.put("servers/i-1", &entry);
            written = true;
        }
        if cores[0].dispatcher.borrow().backend(&id).is_none() {
            return Some(back.elapsed());
        }
        sleep(Duration::from_millis(10)).await;
    }
    None
}

/// Guards against refusals because sound servers are dropped whose entries expired while the store was silent.
#[rstest]
#[tokio::test]
async fn servers_whose_entries_expired_are_kept_until_they_can_be_back(
    #[values(700, 1_500, 3_000, 6_100)] silence: u64,
) {
    let silence = Duration::from_millis(silence);
    let plays = (0..PHASES).map(|it| lost_after(Away::Silent, it * STEP, silence, false));
    let lost = LocalSet::new().run_until(join_all(plays)).await;
    assert!(lost.iter().all(Option::is_none), "lost by phase: {lost:?}");
}

/// Guards against sound servers that are dropped because a proxy closes all calls while the store behind it is away, as if only
/// watches were cut.
#[rstest]
#[tokio::test]
async fn servers_whose_entries_expired_behind_a_proxy_are_kept_until_they_can_be_back(
    #[values(3_000, 6_100)] away: u64,
) {
    let away = Duration::from_millis(away);
    let plays = (0..PHASES).map(|it| lost_after(Away::Closed, it * STEP, away, false));
    let lost = LocalSet::new().run_until(join_all(plays)).await;
    assert!(lost.iter().all(Option::is_none), "lost by phase: {lost:?}");
}

/// Guards against requests to servers that left while the store was silent, longer than a live one needs to be back.
#[rstest]
#[tokio::test]
async fn servers_that_left_during_a_silence_are_dropped_in_time(
    #[values(700, 3_000, 6_100)] silence: u64,
) {
    let silence = Duration::from_millis(silence);
    let plays = (0..PHASES).map(|it| lost_after(Away::Silent, it * STEP, silence, true));
    let lost = LocalSet::new().run_until(join_all(plays)).await;
    let in_time = |it: &Option<Duration>| it.is_some_and(|it| it <= SETTLE_TIME);
    assert!(lost.iter().all(in_time), "lost by phase: {lost:?}");
}

/// The time from the removal of a server that leaves right after watches in a row were cut until all VMs of a data centre have
/// dropped it.
async fn lost_after_cuts(vms: usize, phase: Duration, cuts: u32) -> Duration {
    let store = StandInStore::start().await;
    let entry = json!({"service": "desk", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 4});
    store.put("servers/i-1", &entry);
    let started = start_vms(vms, &store, LIMIT).await;
    let cores = cores(&started);
    sleep(LIMIT + phase).await;
    store.cut_watches(cuts, "servers/i-1");
    wait_until("the watches are cut", || store.has_cut_all()).await;
    let left = Instant::now();
    let id: BackendId = "i-1".parse().unwrap();
    let has = |core: &Rc<Core>| core.dispatcher.borrow().backend(&id).is_some();
    while cores.iter().any(has) && left.elapsed() < 2 * LIMIT {
        sleep(Duration::from_millis(10)).await;
    }
    left.elapsed()
}

/// Guards against requests to servers that left while the store cut watches and answered other calls: cuts were taken for an
/// outage, after which removals wait for entries that may be written again.
#[rstest]
#[tokio::test]
async fn servers_that_leave_after_cut_watches_are_dropped_in_time(
    #[values(1, 3)] vms: usize,
    #[values(1, 2, 4)] cuts: u32,
) {
    let plays = (0..PHASES).map(|it| lost_after_cuts(vms, it * STEP, cuts));
    let took = LocalSet::new().run_until(join_all(plays)).await;
    let late: Vec<_> = took.iter().enumerate().filter(|(_, it)| LIMIT < **it).collect();
    assert!(late.is_empty(), "late by phase: {late:?}; of {took:?}");
}

/// The time after which a process uses a configuration that is written at the end of a silence.
async fn process_latest(phase: Duration, silence: Duration) -> Duration {
    let store = StandInStore::start().await;
    store.put("op/config", &config(1, "/v1/"));
    let listen = ListenAddresses::free();
    let entry =
        EntryProcess::start(listen, &limited(1, listen, store.address, LIMIT), Stdio::null());
    entry.wait_until_ready().await;
    wait_until("it is registered", || store.keys("th/vm/").len() == 1).await;
    sleep(LIMIT + phase).await;
    store.set_silent(true);
    sleep(silence).await;
    store.set_silent(false);
    store.put("op/config", &config(2, "/v2/"));
    let written = Instant::now();
    for attempt in 0.. {
        let answer = entry.send(Method::GET, "/v2/x", &format!("v2-{attempt}")).await;
        if answer.status() != 404 || 2 * LIMIT < written.elapsed() {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    written.elapsed()
}

/// Guards against late configurations because a call takes a connection that has been silent since the store was, such as the
/// one of the lease's renewals.
#[rstest]
#[case::short(Duration::from_millis(900))]
#[case::long(Duration::from_millis(3_000))]
#[tokio::test]
async fn kept_connections_to_the_store_that_are_silent_delay_no_configuration(
    #[case] silence: Duration,
) {
    let plays = (0..PHASES).map(|it| process_latest(it * STEP, silence));
    let took = join_all(plays).await;
    let late: Vec<_> = took.iter().enumerate().filter(|(_, it)| LIMIT < **it).collect();
    assert!(
        late.is_empty(),
        "{} of {PHASES} phases are late, by phase: {late:?}; of {took:?}",
        late.len()
    );
}
