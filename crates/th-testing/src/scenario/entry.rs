//! A simulated entry VM: the real steering engine, and the calls that its actions require.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use futures_util::future::{LocalBoxFuture, select};
use th_protocol::{BundleHead, CheckAnswer, Incarnation, Millis, Revision, ServiceId, Time};
use th_steer::{
    backend::Outcome,
    engine::{Action, Engine, EngineSettings, Identity, Placement},
    member::{FetchResult, ManifestInfo, MemberAction, Source, SpreadAction},
    ticket::{TicketKey, TicketKeys},
};
use tokio::sync::{Notify, oneshot};

use super::{
    executor::Process,
    simulation::{ExchangeError, Sim, address, host_at},
    store,
};

/// Time between regular ticks, and the delay of an early tick after it was requested, in milliseconds.
const TICK_MS: (u64, u64) = (100, 10);
/// Time-out of control messages, fetches of bundles from peers, and probes, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 500;
/// Time between two reads of the platform's list of VMs, in milliseconds.
const LIST_PERIOD_MS: u64 = 2_000;
/// Longest wait of a watch, and the pause after a failed watch, in milliseconds.
const WATCH_MS: (u64, u64) = (20_000, 1_000);
/// How long a stopping VM still accepts requests, and how long it then waits for requests in flight, in milliseconds.
const STOP_MS: (u64, u64) = (3_000, 57_000);

/// The state of an entry process.
pub(crate) struct EntryState {
    pub(crate) engine: Engine<String>,
    /// How far the clock of the process is ahead of virtual time, in milliseconds.
    pub(crate) clock_ahead: u64,
    /// Requests that wait for a placement, by the engine's number.
    pub(crate) waiters: BTreeMap<u64, (ServiceId, oneshot::Sender<Placement>)>,
    /// Notified when a request ends, so that repeats of it can be answered.
    pub(crate) finished: Rc<Notify>,
    /// Notified to run a tick early.
    pub(crate) tick_now: Rc<Notify>,
    pub(crate) in_flight: u32,
    /// Heads of the bundles whose manifests were fetched.
    manifests: BTreeSet<BundleHead>,
}

/// A handle to an entry process, held by its tasks.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) sim: Sim,
    pub(crate) host: usize,
    pub(crate) process: Process,
}

/// Starts an entry process on a host.
pub(crate) fn boot(sim: &Sim, host: usize) -> Entry {
    let process = sim.start_process(host);
    let record = sim.state.borrow().hosts[host].clone();
    let zone = &sim.zones[record.zone.expect("an entry VM is in a data centre")].0;
    let me = Identity {
        vm: record.name.parse().expect("names in a scenario are valid ids"),
        zone: zone.parse().expect("names in a scenario are valid ids"),
        incarnation: Incarnation(process),
        callers: address(host),
        peers: address(host),
        origin: Time(0),
    };
    let keys = TicketKeys::new(TicketKey([7; 32]), Vec::new());
    let seed = (sim.random() * u64::MAX as f64) as u64;
    let state = EntryState {
        engine: Engine::new(EngineSettings::default(), me, keys, seed, Time(sim.now())),
        clock_ahead: 0,
        waiters: BTreeMap::new(),
        finished: Rc::default(),
        tick_now: Rc::default(),
        in_flight: 0,
        manifests: BTreeSet::new(),
    };
    sim.state.borrow_mut().entries.insert(host, state);
    let entry = Entry { sim: Rc::clone(sim), host, process };
    entry.spawn(entry.clone().run_ticks());
    entry.spawn(entry.clone().poll_vm_list());
    entry.spawn(entry.clone().watch_store());
    entry.spawn(entry.clone().send_first_heartbeats());
    entry
}

impl Entry {
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.sim.executor.spawn(self.process, task);
    }

    /// Runs `step` on the engine with the present time, then wakes the requests that the engine has placed.
    pub(crate) fn with_engine<T>(&self, step: impl FnOnce(&mut Engine<String>, Time) -> T) -> T {
        let now = self.now();
        self.with_state(|state| {
            let result = step(&mut state.engine, now);
            let mut wakes = state.engine.take_wakes();
            while let Some(wake) = wakes.pop() {
                let Some((service, waiter)) = state.waiters.remove(&wake.waiter) else {
                    continue;
                };
                if let Err(Placement::Backend(it)) = waiter.send(wake.place) {
                    // The caller abandoned its request while it waited, so the slot is released.
                    state.engine.finish(
                        &service,
                        it.attempt,
                        Outcome::Cancelled,
                        Millis::ZERO,
                        now,
                    );
                    wakes.extend(state.engine.take_wakes());
                }
            }
            result
        })
    }

    pub(crate) fn now(&self) -> Time {
        let ahead = self.sim.state.borrow().entries.get(&self.host).map_or(0, |it| it.clock_ahead);
        Time(self.sim.now() + ahead)
    }

    pub(crate) fn with_state<T>(&self, step: impl FnOnce(&mut EntryState) -> T) -> T {
        let mut state = self.sim.state.borrow_mut();
        step(state.entries.get_mut(&self.host).expect("a task ends with its process"))
    }

    pub(crate) fn finished(&self) -> Rc<Notify> {
        self.with_state(|it| Rc::clone(&it.finished))
    }

    fn tick_now(&self) {
        self.with_state(|it| it.tick_now.notify_one());
    }

    async fn run_ticks(self) {
        let tick_now = self.with_state(|it| Rc::clone(&it.tick_now));
        loop {
            let regular = std::pin::pin!(self.sim.sleep(TICK_MS.0));
            let early = async {
                tick_now.notified().await;
                self.sim.sleep(TICK_MS.1).await;
            };
            select(regular, std::pin::pin!(early)).await;
            for action in self.with_engine(|engine, now| engine.tick(now)) {
                self.spawn(self.clone().perform(action));
            }
            self.sim.check_version(self.host);
        }
    }

    async fn poll_vm_list(self) {
        loop {
            if let Some(list) = store::vm_list(&self.sim, self.host).await {
                self.with_engine(|engine, now| engine.on_vms(&list, now));
            }
            self.sim.sleep(LIST_PERIOD_MS).await;
        }
    }

    async fn watch_store(self) {
        let mut seen = Revision::ZERO;
        loop {
            if self.with_engine(|engine, _| engine.watches_store()) {
                match store::watch(&self.sim, self.host, seen, WATCH_MS.0).await {
                    Some(revision) if revision == seen => continue,
                    Some(revision) => {
                        seen = revision;
                        self.read_head().await;
                        continue;
                    }
                    None => {}
                }
            }
            self.sim.sleep(WATCH_MS.1).await;
        }
    }

    /// Makes this VM known to the entry VMs that its settings would list.
    async fn send_first_heartbeats(self) {
        let others: Vec<usize> = self.sim.state.borrow().entries.keys().copied().collect();
        for other in others {
            if other != self.host {
                let message = self.with_engine(|engine, _| engine.first_heartbeat());
                self.heartbeat(other, message).await;
            }
        }
    }

    async fn read_head(&self) {
        if let Some((head, _)) = store::head(&self.sim, self.host).await {
            self.with_engine(|engine, _| engine.on_head(Source::Store, head));
            self.tick_now();
        }
    }

    /// Sends a control message to another entry VM and returns its answer.
    async fn query<T: 'static>(
        &self,
        to: usize,
        answer: impl FnOnce(Entry) -> LocalBoxFuture<'static, T> + 'static,
    ) -> Result<T, ExchangeError> {
        let sim = Rc::clone(&self.sim);
        let serve = move || {
            let process = sim.state.borrow().hosts[to].process.expect("the host runs a process");
            answer(Entry { sim: Rc::clone(&sim), host: to, process })
        };
        self.sim.exchange((self.host, to), 0, (0, 0), CONTROL_TIMEOUT_MS, serve).await
    }

    async fn heartbeat(&self, to: usize, message: th_protocol::Heartbeat) -> Option<()> {
        let answer = self.query(to, move |peer| {
            Box::pin(async move {
                let answer = peer.with_engine(|engine, now| engine.on_heartbeat(&message, now));
                peer.tick_now();
                answer
            })
        });
        let answer = answer.await.ok()?;
        self.with_engine(|engine, now| engine.on_answer(&answer, now));
        self.tick_now();
        Some(())
    }

    async fn perform(self, action: Action) {
        match action {
            Action::Member(MemberAction::Heartbeat { address, message, .. }) => {
                self.heartbeat(host_at(address), message).await;
            }
            Action::Member(MemberAction::Check { address, message, .. }) => {
                let answer = self.query(host_at(address), move |peer| {
                    Box::pin(async move {
                        let heartbeat = peer.with_engine(|engine, _| engine.on_check(&message));
                        let target = host_at(message.target.address);
                        let answer = peer.query(target, move |it| {
                            Box::pin(async move {
                                it.with_engine(|engine, now| engine.on_heartbeat(&heartbeat, now))
                            })
                        });
                        CheckAnswer { record: answer.await.ok().map(|it| it.from) }
                    })
                });
                if let Ok(answer) = answer.await {
                    self.with_engine(|engine, now| engine.on_check_answer(&answer, now));
                }
            }
            Action::Spread(action) => self.spread(action).await,
            Action::Grant(action) => self.grant(action).await,
            Action::Shard(action) => self.shard(action).await,
            Action::Part { address, request, .. } => {
                let requested = self.now();
                let answer = self.query(host_at(address), move |peer| {
                    Box::pin(async move {
                        peer.with_engine(|engine, now| engine.on_part_request(&request, now))
                    })
                });
                if let Ok(answer) = answer.await {
                    self.with_engine(|engine, now| engine.on_part(&answer, requested, now));
                }
            }
            Action::Probe { backend, address } => {
                let (requested, to) = (self.now(), host_at(address));
                let sim = Rc::clone(&self.sim);
                let serve = move || async move {
                    let mut state = sim.state.borrow_mut();
                    state.servers.get_mut(&to).and_then(|it| it.report())
                };
                let found =
                    self.sim.exchange((self.host, to), 0, (0, 0), CONTROL_TIMEOUT_MS, serve).await;
                let report = found.ok().flatten();
                self.with_engine(|engine, now| {
                    engine.on_probe(&backend, report.is_some(), now);
                    if let Some(report) = report {
                        engine.on_report(&backend, report, requested, now);
                    }
                });
            }
        }
    }

    async fn spread(&self, action: SpreadAction) {
        match action {
            SpreadAction::ReadHead => self.read_head().await,
            SpreadAction::FetchManifest { head, from } => {
                let found = match &from {
                    Source::Store => store::head(&self.sim, self.host).await.map(|it| it.0),
                    Source::Peer(_) => self.fetch(&from, head).await,
                };
                let well_signed = self.sim.state.borrow().bundles.get(&head).is_some_and(|it| it.1);
                let fetched = match found {
                    None => FetchResult::Missing,
                    Some(found) if found != head => FetchResult::Corrupt,
                    Some(_) if !well_signed => FetchResult::Unsigned,
                    Some(_) => {
                        self.with_state(|it| it.manifests.insert(head));
                        FetchResult::Good(ManifestInfo { head, parts: vec![head.digest] })
                    }
                };
                self.with_engine(|engine, now| engine.on_manifest(head, &from, fetched, now));
            }
            SpreadAction::FetchPart { digest, from } => {
                let head = self
                    .with_state(|it| it.manifests.iter().find(|it| it.digest == digest).copied());
                let found = match (&from, head) {
                    (Source::Store, _) => store::head(&self.sim, self.host).await.map(|_| ()),
                    (_, Some(head)) => self.fetch(&from, head).await.map(|_| ()),
                    (_, None) => None,
                };
                let fetched = found.map_or(FetchResult::Missing, FetchResult::Good);
                self.with_engine(|engine, now| engine.on_bundle_part(digest, &from, fetched, now));
            }
            SpreadAction::Apply(head) => {
                let bundle = self.sim.state.borrow().bundles.get(&head).map(|it| Arc::clone(&it.0));
                let bundle = bundle.expect("the bundle's parts were fetched");
                self.with_engine(|engine, now| engine.apply(bundle, now));
            }
            SpreadAction::Drop(_) => {}
        }
        self.tick_now();
    }

    async fn fetch(&self, from: &Source, head: BundleHead) -> Option<BundleHead> {
        let Source::Peer(vm) = from else {
            return None;
        };
        let peer = self.with_engine(|engine, _| engine.peer_address(vm))?;
        let has_manifest = self.query(host_at(peer), move |peer| {
            Box::pin(async move { peer.with_state(|it| it.manifests.contains(&head)) })
        });
        has_manifest.await.ok()?.then_some(head)
    }

    /// Stops as planned: look-up answers no longer contain this VM, then it rejects new requests and finishes those in
    /// flight.
    pub(crate) async fn stop(self) {
        let ttl = self.with_engine(|engine, now| {
            engine.leave(now);
            engine.longest_ttl()
        });
        let began = self.sim.now();
        self.tick_now();
        self.sim.sleep(STOP_MS.0).await;
        self.with_engine(|engine, _| engine.close());
        let until = self.sim.now() + STOP_MS.1;
        while 0 < self.with_state(|it| it.in_flight) && self.sim.now() < until {
            self.sim.sleep(TICK_MS.1).await;
        }
        let cut = self.with_state(|it| it.in_flight);
        self.sim.state.borrow_mut().stats.cut_requests += u64::from(cut);
        for action in self.with_engine(|engine, _| engine.release_shards()) {
            self.shard(action).await;
        }
        // Callers with an earlier look-up answer may still send requests here. They get a notice to look up another VM.
        let open = began + ttl.0 + STOP_MS.0;
        self.sim.sleep(open.saturating_sub(self.sim.now())).await;
        let (sim, host) = (Rc::clone(&self.sim), self.host);
        self.sim.executor.spawn(0, async move { sim.end_process(host, false) });
    }
}
