//! Configurations that take a narrow link most of the allowed time.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{process::Stdio, rc::Rc, time::Duration};

use desk::RUN_TIME;
use entry::{EntryProcess, ListenAddresses};
use reqwest::Method;
use rstest::rstest;
use stand_in::{NarrowLink, StandInServer, StandInStore};
use th_protocol::Mbit;
use tokio::{
    task::LocalSet,
    time::{Instant, sleep, sleep_until},
};
use watchers::{
    NARROW, WIDE, bytes_per_second, in_force, large_config, limited, start_linked, write_config,
};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(3_000);
/// Number of routes of a large configuration: 0.21 MB, and 0.28 MB in the store's encoding, which a narrow link carries in 1.1 s.
const ROUTES: usize = 1_000;
/// Number of routes of one that it carries in 0.93 s, as in the incident.
const INCIDENT_ROUTES: usize = 840;
/// Time from one phase of a watch to the next; six phases are the interval of watches.
const STEP: Duration = Duration::from_millis(200);

/// The time after which a large configuration is in force at the VMs of a data centre with those links.
async fn latest_of(links: &[Mbit], phase: Duration, config: &[u8]) -> Duration {
    let store = StandInStore::start().await;
    write_config(&store, 1);
    let vms = start_linked(links, &store, LIMIT).await;
    let cores: Vec<_> = vms.iter().map(|it| Rc::clone(it.core())).collect();
    in_force(&cores, 1, LIMIT).await;
    sleep(LIMIT + phase).await;
    store.put_bytes("op/config", config);
    in_force(&cores, 2, LIMIT).await
}

/// Guards against requests that are handled by an old configuration, outside their home regions too, because the new one is
/// so large that its transfer over a narrow link is given up and begun again without end.
#[rstest]
#[case::alone(&[NARROW], ROUTES)]
#[case::narrow(&[NARROW, NARROW, NARROW], ROUTES)]
#[case::mixed(&[NARROW, NARROW, WIDE, NARROW, NARROW], ROUTES)]
#[case::pair(&[WIDE, NARROW], ROUTES)]
#[case::incident(&[NARROW, NARROW, NARROW], INCIDENT_ROUTES)]
#[tokio::test]
async fn a_large_configuration_is_in_force_in_time_over_narrow_links(
    #[case] links: &[Mbit],
    #[case] routes: usize,
    #[values(0, 1, 2, 3, 4, 5)] phase: u32,
) {
    let config = large_config(2, routes, &[]).to_string();
    let play = latest_of(links, phase * STEP, config.as_bytes());
    let took = LocalSet::new().run_until(play).await;
    assert!(took <= LIMIT, "in force after {took:?}, the limit is {LIMIT:?}");
}

/// Guards against requests that run outside the home regions of a configuration that a VM was too slow to receive.
#[tokio::test]
async fn requests_stay_in_home_regions_that_a_large_configuration_sets() {
    let store = StandInStore::start().await;
    let server = StandInServer::start("i-1", RUN_TIME).await;
    store.put("servers/i-1", &server.entry("ready"));
    store.put("op/config", &desk::config(1, "/look/"));
    let link = NarrowLink::start(store.address, bytes_per_second(NARROW)).await;
    let listen = ListenAddresses::free();
    let settings = limited(1, listen, link.address, LIMIT);
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    entry.wait_for_status("/look/first", 200).await;
    store.put("op/config", &large_config(2, ROUTES, &["south"]));
    sleep_until(Instant::now() + LIMIT).await;
    for attempt in 0..50 {
        let id = format!("late-{attempt}");
        let answer = entry.send(Method::GET, "/look/x", &id).await;
        assert_eq!((answer.status().as_u16(), server.runs(&id)), (503, 0), "attempt {attempt}");
        sleep(Duration::from_millis(40)).await;
    }
}
