//! The processes of a run, the store, servers and proxies around them, and the injection of faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    entry::EntryProcess,
    options::Options,
    plan::Event,
    proxy::{NetworkFault, Proxy},
    stand_in::{Reply, StandInServer, StandInStore},
    vm::Vm,
};

/// Number of backend servers at any time.
pub(crate) const SERVERS: usize = 8;
/// Time for which a backend server runs a request.
pub(crate) const RUN_TIME: Duration = Duration::from_millis(30);
/// Time after the store is back from an older copy within which operators and servers have written again; the platform's pages
/// say about two seconds.
const REWRITE_TIME: Duration = Duration::from_secs(1);
/// Time for which a write of a server is held up, and from that to its next one.
const HELD_TIME: Duration = Duration::from_millis(700);
/// Time from SIGTERM until the port for callers closes.
pub(crate) const LINGER: Duration = Duration::from_millis(2_500);
/// Maximum time from SIGTERM to the exit of a process: the grace period of the settings and a margin.
const STOP_TIMEOUT: Duration = Duration::from_millis(7_500);
/// Time limit of uploads, as callers and their route state it.
pub(crate) const UPLOAD_LIMIT: Duration = Duration::from_secs(4);
pub(crate) const ZONES: [&str; 2] = ["north-a", "south-a"];

/// A backend server behind a proxy.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) server: StandInServer,
    pub(crate) proxy: Proxy,
    pub(crate) zone: &'static str,
    /// When the store accepted that it drains.
    pub(crate) drained: Option<Instant>,
    /// Whether its entry was removed.
    left: bool,
}

impl Server {
    fn entry(&self, state: &str) -> Value {
        let mut entry = self.server.entry(state);
        entry["address"] = json!(self.proxy.address.to_string());
        entry["zone"] = json!(self.zone);
        // Its writes count up.
        entry["sequence"] = json!(if state == "ready" { 4 } else { 5 });
        entry
    }
}

/// Periods in which one or all VMs are exempt from the invariants that hold for undisturbed VMs.
#[derive(Default)]
pub(crate) struct Disturbances(Mutex<Vec<(Option<usize>, Instant, Instant)>>);

impl Disturbances {
    fn add(&self, vm: Option<usize>, span: Duration) {
        let now = Instant::now();
        self.0.lock().unwrap().push((vm, now, now + span));
    }

    /// Whether a VM was disturbed between two times; `None` stands for any VM.
    pub(crate) fn overlap(&self, vm: Option<usize>, from: Instant, to: Instant) -> bool {
        let list = self.0.lock().unwrap();
        list.iter().any(|(whose, start, end)| {
            let concerns = vm.is_none() || whose.is_none() || *whose == vm;
            concerns && *start <= to && from <= *end
        })
    }
}

/// All processes and stand-ins of a run.
pub(crate) struct Fleet {
    pub(crate) store: StandInStore,
    pub(crate) vms: Vec<Vm>,
    pub(crate) servers: Mutex<Vec<Server>>,
    /// Servers that drained and were replaced; their runs still count.
    pub(crate) replaced: Mutex<Vec<Server>>,
    pub(crate) disturbed: Disturbances,
    /// VMs that got SIGTERM, and when.
    pub(crate) stops: Mutex<Vec<(usize, Instant)>>,
    /// Versions of the configurations, and when the store accepted each.
    pub(crate) configs: Mutex<BTreeMap<u64, Instant>>,
    /// Number of evacuations in force.
    evacuations: AtomicU32,
    /// Number of processes that exited unexpectedly.
    pub(crate) exits: AtomicU32,
    next_server: AtomicU64,
}

/// Returns a configuration. Each version has a route of its own.
fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": 1500,
            "target_latency_ms": 600, "priority": 1, "service": "desk", "max_attempts": 2, "sticky": true})
    };
    let own = format!("/v{version}/");
    let mut photo = route("photo", "/photo/", "upload");
    photo["timeout_ms"] = json!(UPLOAD_LIMIT.as_millis() as u64);
    json!({"version": format!("{version:08x}"),
        "routes": [route("look", "/look/", "safe"), route("book", "/book/", "unsafe"), route("load", "/load/", "download"),
            route("own", &own, "safe"), photo],
        "services": [{"name": "desk", "cold_per_s": 4.1}], "limits": {}})
}

impl Fleet {
    pub(crate) async fn start(seed: u64, options: &Options) -> Arc<Fleet> {
        let store = StandInStore::start().await;
        let mut vms = Vec::new();
        for number in 0..options.vms {
            vms.push(Vm::new(number, seed, store.address, options).await);
        }
        let fleet = Arc::new(Fleet {
            store,
            vms,
            servers: Mutex::default(),
            replaced: Mutex::default(),
            disturbed: Disturbances::default(),
            stops: Mutex::default(),
            configs: Mutex::default(),
            evacuations: AtomicU32::new(0),
            exits: AtomicU32::new(0),
            next_server: AtomicU64::new(0),
        });
        for _ in 0..SERVERS {
            let server = fleet.new_server().await;
            fleet.servers.lock().unwrap().push(server);
        }
        fleet.put_config();
        for vm in &fleet.vms {
            vm.start();
        }
        fleet
    }

    async fn new_server(&self) -> Server {
        let number = self.next_server.fetch_add(1, Ordering::Relaxed);
        let server = StandInServer::start(&format!("i-{number}"), RUN_TIME).await;
        let proxy = Proxy::start(server.address).await;
        let zone = ZONES[number as usize % ZONES.len()];
        let server = Server { server, proxy, zone, drained: None, left: false };
        self.store.put(&format!("servers/{}", server.server.id), &server.entry("ready"));
        server
    }

    fn put_config(&self) {
        let mut configs = self.configs.lock().unwrap();
        let version = configs.keys().next_back().map_or(1, |it| it + 1);
        self.store.put("op/config", &config(version));
        configs.insert(version, Instant::now());
    }

    /// Writes again what operators and servers had written, as they do after the store lost it.
    fn write_again(&self) {
        let configs = self.configs.lock().unwrap();
        if let Some(version) = configs.keys().next_back() {
            self.store.put("op/config", &config(*version));
        }
        for server in self.all_servers() {
            let key = format!("servers/{}", server.server.id);
            match server.drained {
                None => self.store.put(&key, &server.entry("ready")),
                Some(_) if !server.left => self.store.put(&key, &server.entry("draining")),
                Some(_) => self.store.remove(&key),
            }
        }
        self.write_evacuation();
    }

    fn write_evacuation(&self) {
        match self.evacuations.load(Ordering::Relaxed) {
            0 => self.store.remove("op/evacuate/south-a"),
            _ => self.store.put("op/evacuate/south-a", &json!({})),
        }
    }

    /// Returns all servers of the run.
    pub(crate) fn all_servers(&self) -> Vec<Server> {
        let mut servers = self.servers.lock().unwrap().clone();
        servers.extend(self.replaced.lock().unwrap().iter().cloned());
        servers
    }

    /// Returns the VM with that listener address for callers.
    pub(crate) fn vm_of(&self, address: SocketAddr) -> Option<usize> {
        self.vms.iter().position(|it| it.listen.callers == address)
    }

    /// Carries out an event from start to end.
    pub(crate) async fn inject(self: Arc<Fleet>, event: Event) {
        match event {
            Event::Stop(vm) => self.stop(vm).await,
            Event::HoldUp(vm, span) => self.vms[vm].hold_up(span).await,
            Event::Reload(vm) => self.reload(vm).await,
            Event::Kill(vm, span) => {
                self.disturbed.add(Some(vm), span + Duration::from_secs(2));
                // A concurrent stop may have taken the process already.
                let taken = self.vms[vm].entry.lock().unwrap().take();
                let Some(entry) = taken else { return };
                drop(entry);
                sleep(span).await;
                self.vms[vm].start();
            }
            Event::Freeze(vm, span) => {
                self.disturbed.add(Some(vm), span);
                self.vms[vm].signal("-STOP");
                sleep(span).await;
                self.vms[vm].signal("-CONT");
            }
            Event::HarmCallers(vm, fault, span) => {
                self.disturbed.add(Some(vm), span);
                inject_fault(&self.vms[vm].callers, fault, span).await;
            }
            Event::HarmStore(vm, fault, span) => {
                self.disturbed.add(Some(vm), span);
                inject_fault(&self.vms[vm].store, fault, span).await;
            }
            Event::HarmServer(server, fault, span) => {
                self.disturbed.add(None, span);
                let proxy = self.servers.lock().unwrap()[server].proxy.clone();
                inject_fault(&proxy, fault, span).await;
            }
            Event::ResetServer(server) => {
                self.disturbed.add(None, Duration::from_millis(100));
                self.servers.lock().unwrap()[server].proxy.reset_all();
            }
            Event::ResetCallers(vm) => {
                self.disturbed.add(Some(vm), Duration::from_millis(100));
                self.vms[vm].callers.reset_all();
            }
            Event::BadAnswers(server, count) => {
                self.disturbed.add(None, Duration::from_secs(2));
                let server = self.servers.lock().unwrap()[server].server.clone();
                for number in 0..count {
                    let replies = [Reply::Shed, Reply::WrongId, Reply::Disconnect];
                    server.reply_next(replies[number as usize % replies.len()]);
                }
            }
            Event::Store(fault, span) => {
                self.disturbed.add(None, span);
                self.store.set_fault(Some(fault));
                sleep(span).await;
                self.store.set_fault(None);
            }
            Event::Silences(times, away, back) => {
                for _ in 0..times {
                    // Connections that were open then stay silent.
                    self.disturbed.add(None, away + Duration::from_secs(1));
                    self.store.set_silent(true);
                    sleep(away).await;
                    self.store.set_silent(false);
                    sleep(back).await;
                }
            }
            Event::OlderCopy(age, away) => {
                let copy = self.store.copy();
                sleep(age).await;
                self.disturbed.add(None, away + REWRITE_TIME + Duration::from_secs(1));
                self.store.set_silent(true);
                sleep(away).await;
                self.store.restore(copy);
                self.store.set_silent(false);
                sleep(REWRITE_TIME).await;
                self.write_again();
            }
            Event::Forget => {
                self.disturbed.add(None, Duration::from_secs(1));
                self.store.compact_history();
            }
            Event::Config => self.put_config(),
            Event::Replace(index) => {
                let replacement = self.new_server().await;
                let mut retired = {
                    let mut servers = self.servers.lock().unwrap();
                    std::mem::replace(&mut servers[index], replacement)
                };
                let id = retired.server.id.clone();
                let key = format!("servers/{id}");
                // The write before is held up and carried out after the one that says that it drains.
                let held_up = retired.entry("ready");
                self.store.put(&key, &retired.entry("draining"));
                let next = retired.entry("draining");
                retired.drained = Some(Instant::now());
                self.replaced.lock().unwrap().push(retired);
                sleep(HELD_TIME).await;
                self.store.put(&key, &held_up);
                sleep(HELD_TIME).await;
                self.store.put(&key, &next);
                sleep(Duration::from_secs(3) - 2 * HELD_TIME).await;
                self.store.remove(&key);
                for server in self.replaced.lock().unwrap().iter_mut() {
                    server.left |= server.server.id == id;
                }
            }
            Event::Evacuate(span) => {
                self.evacuations.fetch_add(1, Ordering::Relaxed);
                self.write_evacuation();
                sleep(span).await;
                self.evacuations.fetch_sub(1, Ordering::Relaxed);
                self.write_evacuation();
            }
        }
    }

    async fn stop(&self, vm: usize) {
        let taken = self.vms[vm].entry.lock().unwrap().take();
        let Some(entry) = taken else { return };
        entry.signal("-TERM");
        *self.vms[vm].stopping.lock().unwrap() = Some(entry);
        let start = Instant::now();
        self.stops.lock().unwrap().push((vm, start));
        while !self.vms[vm].has_stopped() && start.elapsed() < STOP_TIMEOUT {
            sleep(Duration::from_millis(20)).await;
        }
        // A process that still runs was delayed by another fault; it is killed, as the platform would do.
        drop(self.vms[vm].stopping.lock().unwrap().take());
        self.vms[vm].start();
    }

    async fn reload(&self, vm: usize) {
        let file = {
            let entry = self.vms[vm].entry.lock().unwrap();
            let Some(entry) = entry.as_ref() else { return };
            entry.settings.path().to_owned()
        };
        let good = std::fs::read(&file).unwrap();
        std::fs::write(&file, "{not settings").unwrap();
        self.vms[vm].signal("-HUP");
        sleep(Duration::from_millis(200)).await;
        // The process and its settings file may have been replaced in the meantime.
        if file.exists() {
            std::fs::write(&file, good).unwrap();
            self.vms[vm].signal("-HUP");
        }
    }

    /// Counts and restarts processes that exited unexpectedly.
    pub(crate) fn watch_exits(&self) {
        for vm in &self.vms {
            let status = vm.entry.lock().unwrap().as_mut().and_then(EntryProcess::exit_status);
            if let Some(status) = status {
                eprintln!("{}: the process exited unexpectedly: {status}", vm.name);
                self.exits.fetch_add(1, Ordering::Relaxed);
                vm.start();
            }
        }
    }
}

async fn inject_fault(proxy: &Proxy, fault: NetworkFault, span: Duration) {
    proxy.set_fault(fault);
    sleep(span).await;
    proxy.set_fault(NetworkFault::None);
}
