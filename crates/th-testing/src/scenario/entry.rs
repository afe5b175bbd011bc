//! An entry VM: the real decisions, and the calls that they ask for.

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
    exec::Process,
    store,
    world::{Fail, Sim, address, host_at},
};

/// Time between ticks, and the least time before a hurried one, in milliseconds.
const TICK: (u64, u64) = (100, 10);
/// Bounds on control messages, on fetches of bundles and on probes, in milliseconds.
const CONTROL: u64 = 500;
/// Time between readings of the list of VMs, in milliseconds.
const LIST: u64 = 2_000;
/// Longest wait of a watch, and the pause after one that broke off, in milliseconds.
const WATCH: (u64, u64) = (20_000, 1_000);
/// How long a VM that stops takes requests, and how long it may take to end, in milliseconds.
const STOP: (u64, u64) = (3_000, 57_000);

/// What a process holds.
pub(crate) struct Node {
    pub(crate) engine: Engine<String>,
    /// How far its clock is ahead.
    pub(crate) ahead: u64,
    pub(crate) waiters: BTreeMap<u64, (ServiceId, oneshot::Sender<Placement>)>,
    pub(crate) ended: Rc<Notify>,
    pub(crate) hurry: Rc<Notify>,
    pub(crate) flight: u32,
    held: BTreeSet<BundleHead>,
}

/// A process, as its tasks refer to it.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) sim: Sim,
    pub(crate) host: usize,
    pub(crate) process: Process,
}

/// Starts a process on a host.
pub(crate) fn boot(sim: &Sim, host: usize) -> Entry {
    let process = sim.start(host);
    let record = sim.state.borrow().hosts[host].clone();
    let zone = &sim.zones[record.zone.expect("an entry VM is in a data centre")].0;
    let me = Identity {
        vm: record.name.parse().expect("names in a scenario are ids"),
        zone: zone.parse().expect("names in a scenario are ids"),
        incarnation: Incarnation(process),
        callers: address(host),
        peers: address(host),
        origin: Time(0),
    };
    let keys = TicketKeys::new(TicketKey([7; 32]), Vec::new());
    let seed = (sim.draw() * u64::MAX as f64) as u64;
    let node = Node {
        engine: Engine::new(EngineSettings::default(), me, keys, seed, Time(sim.now())),
        ahead: 0,
        waiters: BTreeMap::new(),
        ended: Rc::default(),
        hurry: Rc::default(),
        flight: 0,
        held: BTreeSet::new(),
    };
    sim.state.borrow_mut().entries.insert(host, node);
    let entry = Entry { sim: Rc::clone(sim), host, process };
    entry.spawn(entry.clone().ticks());
    entry.spawn(entry.clone().lists());
    entry.spawn(entry.clone().watches());
    entry.spawn(entry.clone().greet());
    entry
}

impl Entry {
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.sim.exec.spawn(self.process, task);
    }

    /// Lets the decisions take something in; requests whose wait ended are told.
    pub(crate) fn decide<T>(&self, step: impl FnOnce(&mut Engine<String>, Time) -> T) -> T {
        let now = self.now();
        self.node(|node| {
            let result = step(&mut node.engine, now);
            let mut wakes = node.engine.take_wakes();
            while let Some(wake) = wakes.pop() {
                let Some((service, waiter)) = node.waiters.remove(&wake.waiter) else {
                    continue;
                };
                if let Err(Placement::Backend(it)) = waiter.send(wake.place) {
                    // The caller went away while its request waited: the slot goes back.
                    node.engine.finish(&service, it.attempt, Outcome::Cancelled, Millis::ZERO, now);
                    wakes.extend(node.engine.take_wakes());
                }
            }
            result
        })
    }

    pub(crate) fn now(&self) -> Time {
        let ahead = self.sim.state.borrow().entries.get(&self.host).map_or(0, |it| it.ahead);
        Time(self.sim.now() + ahead)
    }

    pub(crate) fn node<T>(&self, step: impl FnOnce(&mut Node) -> T) -> T {
        let mut state = self.sim.state.borrow_mut();
        step(state.entries.get_mut(&self.host).expect("tasks end with their process"))
    }

    pub(crate) fn ended(&self) -> Rc<Notify> {
        self.node(|it| Rc::clone(&it.ended))
    }

    fn hurry(&self) {
        self.node(|it| it.hurry.notify_one());
    }

    async fn ticks(self) {
        let hurry = self.node(|it| Rc::clone(&it.hurry));
        loop {
            let regular = std::pin::pin!(self.sim.sleep(TICK.0));
            let hurried = async {
                hurry.notified().await;
                self.sim.sleep(TICK.1).await;
            };
            select(regular, std::pin::pin!(hurried)).await;
            for action in self.decide(|engine, now| engine.tick(now)) {
                self.spawn(self.clone().perform(action));
            }
            self.sim.check_bundles(self.host);
        }
    }

    async fn lists(self) {
        loop {
            if let Some(list) = store::list(&self.sim, self.host).await {
                self.decide(|engine, now| engine.on_vms(&list, now));
            }
            self.sim.sleep(LIST).await;
        }
    }

    async fn watches(self) {
        let mut seen = Revision::ZERO;
        loop {
            if self.decide(|engine, _| engine.watches_store()) {
                match store::watch(&self.sim, self.host, seen, WATCH.0).await {
                    Some(revision) if revision == seen => continue,
                    Some(revision) => {
                        seen = revision;
                        self.read_head().await;
                        continue;
                    }
                    None => {}
                }
            }
            self.sim.sleep(WATCH.1).await;
        }
    }

    /// Makes this VM known to those of its settings.
    async fn greet(self) {
        let others: Vec<usize> = self.sim.state.borrow().entries.keys().copied().collect();
        for other in others {
            if other != self.host {
                let message = self.decide(|engine, _| engine.first_heartbeat());
                self.heartbeat(other, message).await;
            }
        }
    }

    async fn read_head(&self) {
        if let Some((head, _)) = store::head(&self.sim, self.host).await {
            self.decide(|engine, _| engine.on_head(Source::Store, head));
            self.hurry();
        }
    }

    /// Asks another entry VM.
    async fn ask<T: 'static>(
        &self,
        to: usize,
        answer: impl FnOnce(Entry) -> LocalBoxFuture<'static, T> + 'static,
    ) -> Result<T, Fail> {
        let sim = Rc::clone(&self.sim);
        let serve = move || {
            let process = sim.state.borrow().hosts[to].process.expect("its process runs");
            answer(Entry { sim: Rc::clone(&sim), host: to, process })
        };
        self.sim.exchange((self.host, to), 0, (0, 0), CONTROL, serve).await
    }

    async fn heartbeat(&self, to: usize, message: th_protocol::Heartbeat) -> Option<()> {
        let answer = self.ask(to, move |peer| {
            Box::pin(async move {
                let answer = peer.decide(|engine, now| engine.on_heartbeat(&message, now));
                peer.hurry();
                answer
            })
        });
        let answer = answer.await.ok()?;
        self.decide(|engine, now| engine.on_answer(&answer, now));
        self.hurry();
        Some(())
    }

    async fn perform(self, action: Action) {
        match action {
            Action::Member(MemberAction::Heartbeat { address, message, .. }) => {
                self.heartbeat(host_at(address), message).await;
            }
            Action::Member(MemberAction::Check { address, message, .. }) => {
                let answer = self.ask(host_at(address), move |peer| {
                    Box::pin(async move {
                        let heartbeat = peer.decide(|engine, _| engine.on_check(&message));
                        let target = host_at(message.target.address);
                        let answer = peer.ask(target, move |it| {
                            Box::pin(async move {
                                it.decide(|engine, now| engine.on_heartbeat(&heartbeat, now))
                            })
                        });
                        CheckAnswer { record: answer.await.ok().map(|it| it.from) }
                    })
                });
                if let Ok(answer) = answer.await {
                    self.decide(|engine, now| engine.on_check_answer(&answer, now));
                }
            }
            Action::Spread(action) => self.spread(action).await,
            Action::Grant(action) => self.grant(action).await,
            Action::Shard(action) => self.shard(action).await,
            Action::Part { address, request, .. } => {
                let asked = self.now();
                let answer = self.ask(host_at(address), move |peer| {
                    Box::pin(async move {
                        peer.decide(|engine, now| engine.on_part_request(&request, now))
                    })
                });
                if let Ok(answer) = answer.await {
                    self.decide(|engine, now| engine.on_part(&answer, asked, now));
                }
            }
            Action::Probe { backend, address } => {
                let (asked, to) = (self.now(), host_at(address));
                let sim = Rc::clone(&self.sim);
                let serve = move || async move {
                    let mut state = sim.state.borrow_mut();
                    state.servers.get_mut(&to).and_then(|it| it.report())
                };
                let found = self.sim.exchange((self.host, to), 0, (0, 0), CONTROL, serve).await;
                let report = found.ok().flatten();
                self.decide(|engine, now| {
                    engine.on_probe(&backend, report.is_some(), now);
                    if let Some(report) = report {
                        engine.on_report(&backend, report, asked, now);
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
                let good = self.sim.state.borrow().bundles.get(&head).is_some_and(|it| it.1);
                let fetched = match found {
                    None => FetchResult::Missing,
                    Some(found) if found != head => FetchResult::Corrupt,
                    Some(_) if !good => FetchResult::Unsigned,
                    Some(_) => {
                        self.node(|it| it.held.insert(head));
                        FetchResult::Good(ManifestInfo { head, parts: vec![head.digest] })
                    }
                };
                self.decide(|engine, now| engine.on_manifest(head, &from, fetched, now));
            }
            SpreadAction::FetchPart { hash, from } => {
                let head = self.node(|it| it.held.iter().find(|it| it.digest == hash).copied());
                let found = match (&from, head) {
                    (Source::Store, _) => store::head(&self.sim, self.host).await.map(|_| ()),
                    (_, Some(head)) => self.fetch(&from, head).await.map(|_| ()),
                    (_, None) => None,
                };
                let fetched = found.map_or(FetchResult::Missing, FetchResult::Good);
                self.decide(|engine, now| engine.on_bundle_part(hash, &from, fetched, now));
            }
            SpreadAction::Apply(head) => {
                let bundle = self.sim.state.borrow().bundles.get(&head).map(|it| Arc::clone(&it.0));
                let bundle = bundle.expect("its parts were fetched");
                self.decide(|engine, now| engine.apply(bundle, now));
            }
            SpreadAction::Drop(_) => {}
        }
        self.hurry();
    }

    async fn fetch(&self, from: &Source, head: BundleHead) -> Option<BundleHead> {
        let Source::Peer(vm) = from else {
            return None;
        };
        let peer = self.decide(|engine, _| engine.peer_address(vm))?;
        let held = self.ask(host_at(peer), move |peer| {
            Box::pin(async move { peer.node(|it| it.held.contains(&head)) })
        });
        held.await.ok()?.then_some(head)
    }

    /// Stops as planned: leaves look-ups, takes nothing new, finishes what it holds.
    pub(crate) async fn stop(self) {
        let ttl = self.decide(|engine, now| {
            engine.leave(now);
            engine.longest_ttl()
        });
        let began = self.sim.now();
        self.hurry();
        self.sim.sleep(STOP.0).await;
        self.decide(|engine, _| engine.close());
        let until = self.sim.now() + STOP.1;
        while 0 < self.node(|it| it.flight) && self.sim.now() < until {
            self.sim.sleep(TICK.1).await;
        }
        let cut = self.node(|it| it.flight);
        self.sim.state.borrow_mut().tally.cut += u64::from(cut);
        for action in self.decide(|engine, _| engine.release_shards()) {
            self.shard(action).await;
        }
        // Callers whose look-ups name this VM are told to look up another one.
        let open = began + ttl.0 + STOP.0;
        self.sim.sleep(open.saturating_sub(self.sim.now())).await;
        let (sim, host) = (Rc::clone(&self.sim), self.host);
        self.sim.exec.spawn(0, async move { sim.end(host, false) });
    }
}
