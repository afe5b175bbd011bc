//! Watchers of a stand-in store, each with a gateway of its own, and configurations for them.

#![allow(dead_code, reason = "no test file uses all items")]

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use platform::{PlatformDialect, PlatformSettings, StoreWatcher};
use serde_json::{Value, json};
use th_gateway::{Core, Gateway};
use th_protocol::{Mbit, Version};
use th_steer::{dispatch::EntryRecord, route::mix};
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};

use crate::{
    entry::{ListenAddresses, settings},
    stand_in::{NarrowLink, StandInStore},
};

/// Delay of a timer from which the machine has held up a play: the time it takes then says nothing about the code.
const HELD_UP: Duration = Duration::from_millis(100);
/// Number of plays of which the last one counts even if it was held up.
const MAX_PLAYS: usize = 6;
/// Link of a small VM.
pub(crate) const NARROW: Mbit = Mbit(2);
/// Link of a large VM.
pub(crate) const WIDE: Mbit = Mbit(40);

/// Settings of a VM with a limit on configurations and drains.
pub(crate) fn limited(
    number: usize,
    listen: ListenAddresses,
    store: SocketAddr,
    limit: Duration,
) -> Value {
    let mut settings = settings(&format!("vm-{number}"), "north-a", listen, store);
    settings["config_limit"] = json!(limit.as_millis());
    settings["drain_limit"] = json!(limit.as_millis());
    settings
}

/// Starts a VM that reaches the store under an address.
pub(crate) fn start_vm(
    number: usize,
    store: SocketAddr,
    limit: Duration,
) -> (Gateway, EntryRecord) {
    let settings = limited(number, ListenAddresses::free(), store, limit);
    let settings = PlatformSettings::read(&settings.to_string()).unwrap();
    let record = settings.record();
    let gateway = Gateway::start(
        settings.vm.clone(),
        settings.zone.clone(),
        settings.topology(),
        settings.listeners(),
        settings.gateway(),
        Rc::new(PlatformDialect),
    );
    let gateway = gateway.unwrap();
    let watcher =
        StoreWatcher::new(Rc::clone(gateway.core()), settings.store, settings.watch_pace());
    spawn_local(watcher.run());
    (gateway, record)
}

/// Starts VMs of a data centre that know each other, and waits until they know the first configuration.
pub(crate) async fn start_vms(
    count: usize,
    store: &StandInStore,
    limit: Duration,
) -> Vec<(Gateway, EntryRecord)> {
    write_config(store, 1);
    let started: Vec<_> = (1..=count).map(|it| start_vm(it, store.address, limit)).collect();
    for (_, record) in &started {
        register(store, record);
    }
    in_force(&cores(&started), 1, limit).await;
    started
}

pub(crate) fn cores(vms: &[(Gateway, EntryRecord)]) -> Vec<Rc<Core>> {
    vms.iter().map(|it| Rc::clone(it.0.core())).collect()
}

pub(crate) fn register(store: &StandInStore, record: &EntryRecord) {
    let value = platform::write_entry(record).unwrap();
    store.put_bytes(&format!("th/vm/{}", record.vm), &value);
}

pub(crate) fn write_config(store: &StandInStore, version: u64) {
    let config =
        json!({"version": format!("{version:08x}"), "routes": [], "services": [], "limits": {}});
    store.put("op/config", &config);
}

/// A configuration with many routes. Requests to `/look/` may run only in the home regions, or anywhere if there are none.
pub(crate) fn large_config(version: u64, count: usize, homes: &[&str]) -> Value {
    let route = |name: String, prefix: String, homes: &[&str]| {
        json!({"name": name, "host": "desk.example", "prefix": prefix, "kind": "safe", "timeout_ms": 1500,
            "target_latency_ms": 600, "priority": 1, "service": "desk", "max_attempts": 2, "sticky": true,
            "home_regions": homes})
    };
    let mut routes = vec![route("look".to_owned(), "/look/".to_owned(), homes)];
    for number in 1..count as u64 {
        // Names without a pattern, which packing cannot shorten much.
        let (name, prefix) = (mix(number) >> 32, mix(!number) >> 8);
        routes.push(route(format!("r-{name:08x}"), format!("/{prefix:014x}/"), &[]));
    }
    json!({"version": format!("{version:08x}"), "routes": routes,
        "services": [{"name": "desk", "cold_per_s": 4.1}], "limits": {}})
}

/// Waits until a version is in force at all VMs, or until twice the limit has passed. Returns the time that it took.
pub(crate) async fn in_force(cores: &[Rc<Core>], version: u64, limit: Duration) -> Duration {
    let started = Instant::now();
    let has = |core: &Rc<Core>| {
        let dispatcher = core.dispatcher.borrow();
        dispatcher.routes().is_some_and(|it| it.version() == Version(version))
    };
    while !cores.iter().all(has) && started.elapsed() < 2 * limit {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

pub(crate) fn bytes_per_second(link: Mbit) -> f64 {
    link.bytes_per_ms() as f64 * 1e3
}

/// What the link of a VM and those of the others together carry from it to them.
fn rate_to_others(links: &[Mbit], sender: usize) -> f64 {
    let others = links.iter().enumerate().filter(|(it, _)| *it != sender);
    let received: f64 = others.map(|(_, it)| bytes_per_second(*it)).sum();
    bytes_per_second(links[sender]).min(received.max(1.0))
}

/// Starts the VMs of a data centre with those links, over which they reach the store and each other.
pub(crate) async fn start_linked(
    links: &[Mbit],
    store: &StandInStore,
    limit: Duration,
) -> Vec<Gateway> {
    let mut vms = Vec::new();
    for (index, link) in links.iter().enumerate() {
        let from_store = NarrowLink::start(store.address, bytes_per_second(*link)).await;
        let (gateway, record) = start_vm(index + 1, from_store.address, limit);
        let rate = rate_to_others(links, index);
        let to_peers = NarrowLink::start(record.peers.unwrap(), rate).await;
        let (peers, link) = (Some(to_peers.address), Some(*link));
        register(store, &EntryRecord { peers, link, ..record });
        vms.push(gateway);
    }
    vms
}

/// Plays until the machine has not held up the play, and returns what came out.
pub(crate) async fn undisturbed<T>(play: impl AsyncFn() -> T) -> T {
    for number in 1.. {
        let delay = Rc::new(Cell::new(Duration::ZERO));
        let longest = Rc::clone(&delay);
        let probe = async move {
            let step = Duration::from_millis(10);
            loop {
                let due = Instant::now() + step;
                sleep(step).await;
                longest.set(longest.get().max(due.elapsed()));
            }
        };
        let local = LocalSet::new();
        local.spawn_local(probe);
        let result = local.run_until(play()).await;
        if delay.get() < HELD_UP || number == MAX_PLAYS {
            return result;
        }
        println!("play {number} was held up for {:?}", delay.get());
    }
    unreachable!("the last play counts")
}
