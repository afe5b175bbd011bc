//! The simulated deployment of a scenario: hosts, processes, and the network between them.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, VecDeque},
    future::Future,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use futures_util::future::{Either, pending, select};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use th_protocol::{Bundle, BundleHead, Version, VmRecord};
use tokio::sync::oneshot;

use super::{
    entry::EntryState,
    executor::{Executor, Process},
    report::Stats,
    script::{Scenario, StoreFault},
    server::Server,
};
use crate::Store;

/// Time-out of a connection attempt, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time that a new connection takes beyond its round trip, in milliseconds.
const HANDSHAKE_MS: u64 = 1;
/// The window over which a link's bytes are compared with its cap, in milliseconds.
const LINK_WINDOW_MS: u64 = 100;
/// Time in which the deployment starts before the scenario's time zero, in milliseconds.
pub(crate) const WARM_UP_MS: u64 = 8_000;

/// A shared handle to the simulation.
pub(crate) type Sim = Rc<Simulation>;

/// A VM, the store, or all callers of a region.
#[derive(Debug, Clone, Default)]
pub(crate) struct Host {
    pub(crate) name: String,
    /// The data centre; none for callers.
    pub(crate) zone: Option<usize>,
    pub(crate) region: usize,
    /// The running process, if any.
    pub(crate) process: Option<Process>,
    /// Whether the machine itself is lost, so that connections to it get no answer instead of being closed.
    pub(crate) unreachable: bool,
}

/// The state of a simulation that changes during a run.
pub(crate) struct State {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) hosts: Vec<Host>,
    pub(crate) entries: BTreeMap<usize, EntryState>,
    pub(crate) servers: BTreeMap<usize, Server>,
    /// Pairs of data centres where messages from the first to the second are lost.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// For each pair of hosts, the time at which their open connections stalled; later connections work.
    pub(crate) stalled: BTreeMap<(usize, usize), u64>,
    /// Opening times of idle connections, by calling host, called process and generation of connections.
    pools: BTreeMap<(usize, Process, u64), Vec<u64>>,
    /// Time and size of the messages that one region sent to another within the link window.
    link_bytes: BTreeMap<(usize, usize), VecDeque<(u64, u64)>>,
    pub(crate) store: Store,
    pub(crate) store_fault: StoreFault,
    /// Each version of the platform's list of VMs, with the time from which it holds.
    pub(crate) vm_lists: Vec<(u64, Vec<VmRecord>)>,
    pub(crate) list_lag: u64,
    /// All bundles made so far, and whether each has a valid signature.
    pub(crate) bundles: BTreeMap<BundleHead, (Arc<Bundle>, bool)>,
    pub(crate) last_process: Process,
    pub(crate) stats: Stats,
}

/// A simulated run of a scenario.
pub(crate) struct Simulation {
    pub(crate) executor: Rc<Executor>,
    pub(crate) script: Scenario,
    /// Name and region of each data centre. The store has a row of its own at the end.
    pub(crate) zones: Vec<(String, usize)>,
    pub(crate) state: RefCell<State>,
    /// Whether a non-idempotent request is sent again after a time-out. Set by tests only, which check that the invariants
    /// detect it.
    pub(crate) unsafe_retries: bool,
}

/// Why an exchange returned no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No connection was opened, so the request was not sent.
    ConnectFailed,
    /// The connection was closed before the answer.
    Cut,
    /// No answer arrived in time.
    Timeout,
}

impl Simulation {
    pub(crate) fn new(script: Scenario, seed: u64, unsafe_retries: bool) -> Sim {
        let mut zones = Vec::new();
        for (row, region) in script.regions.iter().enumerate() {
            for (zone, _) in &region.zones {
                zones.push((zone.clone(), row));
            }
        }
        // The store has a row of its own because it can be cut off from its own data centre.
        let region = zones.iter().find(|it| it.0 == script.store_zone()).map_or(0, |it| it.1);
        zones.push(("store".to_owned(), region));
        let state = State {
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            entries: BTreeMap::new(),
            servers: BTreeMap::new(),
            cuts: BTreeSet::new(),
            stalled: BTreeMap::new(),
            pools: BTreeMap::new(),
            link_bytes: BTreeMap::new(),
            store: Store::default(),
            store_fault: StoreFault::Up,
            vm_lists: Vec::new(),
            list_lag: 0,
            bundles: BTreeMap::new(),
            last_process: 0,
            stats: Stats::default(),
        };
        let executor = Rc::default();
        Rc::new(Simulation { executor, script, zones, state: RefCell::new(state), unsafe_retries })
    }

    pub(crate) fn now(&self) -> u64 {
        self.executor.now()
    }

    pub(crate) async fn sleep(&self, span: u64) {
        self.executor.sleep(span).await;
    }

    pub(crate) fn random(&self) -> f64 {
        self.state.borrow_mut().rng.random()
    }

    pub(crate) fn add_host(&self, name: &str, zone: Option<usize>, region: usize) -> usize {
        let mut state = self.state.borrow_mut();
        state.hosts.push(Host { name: name.to_owned(), zone, region, ..Host::default() });
        state.hosts.len() - 1
    }

    /// Starts a new process on a host.
    pub(crate) fn start_process(&self, host: usize) -> Process {
        let mut state = self.state.borrow_mut();
        state.last_process += 1;
        let process = state.last_process;
        state.hosts[host].process = Some(process);
        state.hosts[host].unreachable = false;
        process
    }

    /// Kills the process of a host. If `unreachable` is set, the machine is lost as well.
    pub(crate) fn end_process(&self, host: usize, unreachable: bool) {
        let (process, entry) = {
            let mut state = self.state.borrow_mut();
            state.hosts[host].unreachable = unreachable;
            (state.hosts[host].process.take(), state.entries.remove(&host))
        };
        if let Some(process) = process {
            self.executor.kill(process);
        }
        drop(entry);
    }

    pub(crate) fn delay(&self, a: usize, b: usize) -> u64 {
        let state = self.state.borrow();
        let (a, b) = (&state.hosts[a], &state.hosts[b]);
        let (zones, clients) = self.script.delays.map_or((1, 1), |it| (it.0.0, it.1.0));
        let edge = if a.zone.is_none() || b.zone.is_none() { clients } else { 0 };
        match a.region == b.region {
            true if a.zone == b.zone || 0 < edge => edge,
            true => zones,
            false => edge + self.link(a.region, b.region).map_or(0, |(delay, _)| delay),
        }
    }

    /// Returns the one-way delay of the link between two regions and the bytes that it carries per window.
    pub(crate) fn link(&self, a: usize, b: usize) -> Option<(u64, u64)> {
        let name = |it: usize| &self.script.regions[it].name;
        let joins = |ends: &(String, String)| {
            (&ends.0 == name(a) && &ends.1 == name(b)) || (&ends.0 == name(b) && &ends.1 == name(a))
        };
        let link = self.script.links.iter().find(|it| joins(&it.ends))?;
        Some((link.delay.0, u64::from(link.mbit) * 125 * LINK_WINDOW_MS))
    }

    /// Returns whether a message from `a` to `b` on a connection opened at `opened` is lost.
    pub(crate) fn is_lost(&self, a: usize, b: usize, opened: u64) -> bool {
        let state = self.state.borrow();
        let cut = match (state.hosts[a].zone, state.hosts[b].zone) {
            (Some(from), Some(to)) => state.cuts.contains(&(from, to)),
            _ => false,
        };
        let pair = (a.min(b), a.max(b));
        cut || state.hosts[b].unreachable
            || state.stalled.get(&pair).is_some_and(|it| opened <= *it)
    }

    /// Counts bytes sent between regions and compares the sum over the window with the link's cap.
    fn add_link_bytes(&self, a: usize, b: usize, bytes: u64) {
        let mut state = self.state.borrow_mut();
        let (from, to) = (&state.hosts[a], &state.hosts[b]);
        if bytes == 0 || from.zone.is_none() || to.zone.is_none() || from.region == to.region {
            return;
        }
        let pair = (from.region, to.region);
        let Some((_, cap)) = self.link(pair.0, pair.1) else {
            return;
        };
        let now = self.now();
        let used = state.link_bytes.entry(pair).or_default();
        used.push_back((now, bytes));
        while used.front().is_some_and(|(at, _)| at + LINK_WINDOW_MS <= now) {
            used.pop_front();
        }
        let sum: u64 = used.iter().map(|it| it.1).sum();
        state.stats.record_link_use(sum as f64 / cap as f64, now);
    }

    /// Checks the bundle version of an entry VM against its earlier versions and the last roll. The VM counts as able to get
    /// the rolled bundle if it reaches the store or another VM that has it.
    pub(crate) fn check_version(&self, host: usize) {
        let state = &mut *self.state.borrow_mut();
        let version = state.entries[&host].engine.bundle().map_or(Version(0), |it| it.version);
        let zone = state.hosts[host].zone;
        let reaches = |to: usize| {
            let there = state.hosts[to].zone;
            let (Some(a), Some(b)) = (zone, there) else {
                return false;
            };
            !state.cuts.contains(&(a, b)) && !state.cuts.contains(&(b, a))
        };
        let rolled = state.stats.last_roll.map_or(Version(0), |it| it.0);
        let has = |it: &EntryState| it.engine.bundle().is_some_and(|it| rolled <= it.version);
        let store_host = state.hosts.iter().position(|it| it.name == "store");
        let store = state.store_fault == StoreFault::Up || state.store_fault == StoreFault::Silent;
        let is_available = (store && store_host.is_some_and(reaches))
            || state.entries.iter().any(|(to, it)| *to != host && has(it) && reaches(*to));
        let process = state.hosts[host].process.unwrap_or(0);
        state.stats.record_version(process, version, is_available, self.executor.now());
    }

    /// Sends a request from `a` to `b` over a pooled or new connection and waits up to `time_left` for the answer. `sizes`
    /// are the bytes of the request and of the answer. When the wait at `a` ends, `b` cancels the request, unless the
    /// connection loses that message.
    pub(crate) async fn exchange<R: 'static, F: Future<Output = R> + 'static>(
        self: &Rc<Self>,
        (a, b): (usize, usize),
        generation: u64,
        sizes: (u64, u64),
        time_left: u64,
        serve: impl FnOnce() -> F + 'static,
    ) -> Result<R, ExchangeError> {
        let began = self.now();
        let (delay, process) = (self.delay(a, b), self.state.borrow().hosts[b].process);
        let key = (a, process.unwrap_or(0), generation);
        let idle = self.state.borrow_mut().pools.get_mut(&key).and_then(Vec::pop);
        let opened = match idle {
            Some(opened) => opened,
            None if self.is_lost(a, b, u64::MAX) || self.is_lost(b, a, u64::MAX) => {
                self.sleep(CONNECT_TIMEOUT_MS.min(time_left)).await;
                return Err(ExchangeError::ConnectFailed);
            }
            None => {
                self.sleep(2 * delay + HANDSHAKE_MS).await;
                if process.is_none() {
                    return Err(ExchangeError::ConnectFailed);
                }
                self.now()
            }
        };
        self.add_link_bytes(a, b, sizes.0);
        let (sender, receiver) = oneshot::channel();
        let sim = Rc::clone(self);
        self.executor.spawn(0, async move {
            sim.sleep(delay).await;
            if sim.is_lost(a, b, opened) {
                let _open = sender;
                return pending().await;
            }
            let arrived = sim.state.borrow().hosts[b].process;
            if let Some(process) = arrived.filter(|_| arrived == process) {
                let it = Rc::clone(&sim);
                sim.executor.spawn(process, async move {
                    it.serve((a, b), (opened, sizes.1), serve(), sender).await;
                });
            }
        });
        let remaining = (began + time_left).saturating_sub(self.now());
        let ended = match select(receiver, pin!(self.sleep(remaining))).await {
            Either::Left((ended, timer)) => match ended {
                Err(_)
                    if self.is_lost(b, a, opened) || self.state.borrow().hosts[b].unreachable =>
                {
                    timer.await;
                    return Err(ExchangeError::Timeout);
                }
                ended => ended,
            },
            Either::Right(_) => return Err(ExchangeError::Timeout),
        };
        let answer = ended.map_err(|_| ExchangeError::Cut)?;
        self.state.borrow_mut().pools.entry(key).or_default().push(opened);
        Ok(answer)
    }

    /// Runs the receiving side of an exchange.
    async fn serve<R: 'static>(
        self: &Rc<Self>,
        (a, b): (usize, usize),
        (opened, size): (u64, u64),
        serve: impl Future<Output = R>,
        mut sender: oneshot::Sender<R>,
    ) {
        let delay = self.delay(a, b);
        let serve = pin!(serve);
        let closed = async {
            sender.closed().await;
            self.sleep(delay).await;
        };
        let answer = match select(serve, pin!(closed)).await {
            Either::Left((answer, _)) => answer,
            Either::Right((_, serve)) if self.is_lost(a, b, opened) => serve.await,
            Either::Right(_) => return,
        };
        self.add_link_bytes(b, a, size);
        let sim = Rc::clone(self);
        self.executor.spawn(0, async move {
            sim.sleep(delay).await;
            if sim.is_lost(b, a, opened) {
                let _open = sender;
                return pending().await;
            }
            let _ = sender.send(answer);
        });
    }
}

/// Returns the address of a host.
pub(crate) fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 200, (host >> 8) as u8, host as u8], 1))
}

/// Returns the host at an address.
pub(crate) fn host_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(it) => {
            usize::from(u16::from_be_bytes([it.ip().octets()[2], it.ip().octets()[3]]))
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}
