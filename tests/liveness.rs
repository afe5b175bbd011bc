//! VMs that died while the store was away: their entries are still there when it is back.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::join_all;
use rstest::rstest;
use stand_in::StandInStore;
use th_gateway::Core;
use th_steer::dispatch::EntryRecord;
use tokio::{
    net::TcpListener,
    task::LocalSet,
    time::{Instant, sleep},
};
use watchers::{cores, in_force, register, start_vm, start_vms, write_config};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(2_500);
/// Time after the store's return from which look-ups must not return a VM that died long before.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Lifetime of a paused lease after the store's return, at most.
const LEASE_REST: Duration = Duration::from_millis(3_000);
/// Time from one phase of a watch to the next.
const STEP: Duration = Duration::from_millis(250);
const PHASES: u32 = 6;

fn is_returned(core: &Rc<Core>, address: SocketAddr) -> bool {
    let zone = "north-a".parse().unwrap();
    core.dispatcher.borrow_mut().lookup("desk.example", &zone).contains(&address)
}

/// How a VM that died answers.
#[derive(Debug, Clone, Copy)]
enum Death {
    /// Its machine runs on and refuses connections.
    Refuses,
    /// Its machine is gone, and nothing answers.
    Silent,
}

/// Until when look-ups of three VMs return one that died as the store fell silent, from the store's return on; and whether they
/// left out one that is alive. The leases pause meanwhile.
async fn returned_until(phase: Duration, silence: Duration, death: Death) -> (Duration, bool) {
    let store = StandInStore::start().await;
    let started = start_vms(3, &store, LIMIT).await;
    // A listener that accepts nothing: connections to it hang.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let ready = match death {
        Death::Silent => silent.local_addr().unwrap(),
        Death::Refuses => entry::free(),
    };
    let dead = EntryRecord {
        vm: "vm-9".parse().unwrap(),
        callers: entry::free(),
        ready,
        peers: None,
        ..started[0].1.clone()
    };
    register(&store, &dead);
    let cores = cores(&started);
    sleep(LIMIT + phase).await;
    assert!(cores.iter().all(|it| is_returned(it, dead.callers)));
    store.set_silent(true);
    sleep(silence).await;
    store.set_silent(false);
    let (back, mut last, mut missed) = (Instant::now(), Duration::ZERO, false);
    while back.elapsed() < LEASE_REST + LIMIT {
        if LEASE_REST <= back.elapsed() {
            store.remove("th/vm/vm-9");
        }
        for core in &cores {
            if is_returned(core, dead.callers) {
                last = back.elapsed();
            }
            missed |= started.iter().any(|it| !is_returned(core, it.1.callers));
        }
        sleep(Duration::from_millis(10)).await;
    }
    (last, missed)
}

/// Guards against look-ups that return a VM that died during an outage of the store, for as long as its paused lease lasts.
#[rstest]
#[tokio::test]
async fn a_vm_that_died_during_an_outage_is_left_out_in_time(
    #[values(Death::Refuses, Death::Silent)] death: Death,
    #[values(3_000, 8_000)] silence: u64,
) {
    let silence = Duration::from_millis(silence);
    let plays = (0..PHASES).map(|it| returned_until(it * STEP, silence, death));
    let plays = LocalSet::new().run_until(join_all(plays)).await;
    let late: Vec<_> = plays.iter().filter(|it| SETTLE_TIME < it.0).collect();
    assert!(late.is_empty(), "returned until, by phase: {plays:?}");
    assert!(plays.iter().all(|it| !it.1), "a live VM was left out, by phase: {plays:?}");
}

/// Guards against a VM that leaves all others out of its look-ups because it is cut off itself.
#[tokio::test]
async fn a_vm_that_reaches_no_other_leaves_none_out() {
    LocalSet::new()
        .run_until(async {
            let store = StandInStore::start().await;
            write_config(&store, 1);
            let (gateway, record) = start_vm(1, store.address, LIMIT);
            register(&store, &record);
            let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut others = Vec::new();
            for number in 2..5 {
                let other = EntryRecord {
                    vm: format!("vm-{number}").parse().unwrap(),
                    callers: entry::free(),
                    ready: silent.local_addr().unwrap(),
                    peers: None,
                    ..record.clone()
                };
                register(&store, &other);
                others.push(other);
            }
            let core = Rc::clone(gateway.core());
            in_force(&[Rc::clone(&core)], 1, LIMIT).await;
            sleep(LIMIT).await;
            store.set_silent(true);
            sleep(SETTLE_TIME).await;
            store.set_silent(false);
            let back = Instant::now();
            while back.elapsed() < LIMIT {
                assert!(others.iter().all(|it| is_returned(&core, it.callers)));
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
}
