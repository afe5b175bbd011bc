//! Simulates a fleet of entry VMs in virtual time, over a network that loses messages.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use th_protocol::{
    BundleHead, Bytes, CheckAnswer, Digest, Heartbeat, Incarnation, IndirectCheck, LeavingNotice,
    PeerRecord, Time, VmId,
};
use th_steer::{
    backend::Drain,
    member::{
        FetchResult, HeartbeatContent, MemberAction, MemberSettings, Members, Seed, ServeBudget,
        Source, Spread, SpreadAction, SpreadSettings, choose_watchers,
    },
};

use crate::sample::{REGIONS, ZONES, head, headroom, manifest, record, zone};

const SEED: u64 = 7;
const LOSS_RATE: f64 = 0.01;
const TICK_MS: u64 = 100;
/// Number of heartbeats that are sent at once for an update that should not wait.
const ANNOUNCE_FANOUT: usize = 3;

/// Rate per second at which a VM serves parts of bundles, and the maximum burst.
const SERVE_RATE: Bytes = Bytes(256 << 10);
const SERVE_BURST: Bytes = Bytes(4 << 20);

/// A network partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Cuts a data centre off from all others and from the store.
    Zone(usize),
    /// Cuts two regions off from each other.
    Regions(usize, usize),
}

/// Size and configuration of a fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetSettings {
    /// Number of entry VMs.
    pub(crate) count: usize,
    /// If set, only every n-th VM serves bundles to others.
    pub(crate) holders: Option<usize>,
    /// Number of parts of each bundle. Rolling out a bundle changes one part.
    pub(crate) parts: u8,
    /// Size of each part.
    pub(crate) bytes: Bytes,
    /// Number of records of other VMs in each heartbeat.
    pub(crate) records: usize,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        let records = MemberSettings::default().records;
        FleetSettings { count: 50, holders: None, parts: 8, bytes: Bytes::ZERO, records }
    }
}

enum Event {
    Tick(usize),
    Heartbeat { from: usize, to: usize, message: Box<Heartbeat>, check: Option<usize> },
    Answer { to: usize, message: Box<Heartbeat> },
    Check { from: usize, to: usize, message: Box<IndirectCheck> },
    Checked { to: usize, record: PeerRecord },
    Head { to: usize, head: BundleHead },
    Manifest { to: usize, from: Source, head: BundleHead },
    Part { to: usize, from: Source, digest: Digest },
}

pub(crate) struct Node {
    pub(crate) members: Members,
    pub(crate) spread: Spread,
    pub(crate) drain: Option<Drain>,
    announced: bool,
    watcher: bool,
    pub(crate) applied: Option<u64>,
    pub(crate) alive: bool,
    budget: ServeBudget,
    /// Number of parts that it served to others.
    pub(crate) served: u64,
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    serial: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    pub(crate) nodes: Vec<Node>,
    index: BTreeMap<VmId, usize>,
    rng: ChaCha8Rng,
    pub(crate) store: BundleHead,
    store_down: bool,
    pub(crate) cut: Option<Cut>,
    pub(crate) settings: FleetSettings,
    /// Number of reads of heads, manifests and parts from the store.
    pub(crate) reads: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) cpu: Duration,
    pub(crate) codec: Duration,
}

impl Fleet {
    pub(crate) fn new(settings: FleetSettings) -> Fleet {
        let count = settings.count;
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let mut seeds = Vec::new();
        for i in 0..count {
            let PeerRecord { vm, zone, address, state, .. } = record(i);
            seeds.push(Seed { vm, zone, address, state });
        }
        let records: Vec<PeerRecord> = (0..count).map(record).collect();
        let chosen: Vec<Vec<VmId>> =
            (0..ZONES).map(|i| choose_watchers(records.iter(), &zone(i), 2)).collect();
        let mut nodes = Vec::new();
        for i in 0..count {
            let own = MemberSettings { records: settings.records, ..MemberSettings::default() };
            let mut members = Members::new(own, record(i), Time(0));
            members.on_vm_list(&seeds, Time(0));
            members.on_records(&records, Time(0));
            let watcher = chosen[i % ZONES].contains(&record(i).vm);
            let spread = Spread::new(SpreadSettings::default(), Time(0), &mut rng);
            let drain = (i % ZONES == 0).then(Drain::default);
            let node = Node {
                members,
                spread,
                drain,
                announced: false,
                watcher,
                applied: None,
                alive: true,
                budget: ServeBudget::new(SERVE_RATE, SERVE_BURST, Time(0), &mut rng),
                served: 0,
            };
            nodes.push(node);
        }
        let index = (0..count).map(|i| (record(i).vm, i)).collect();
        let mut fleet = Fleet {
            now: 0,
            serial: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            nodes,
            index,
            rng,
            store: head(1),
            store_down: false,
            cut: None,
            settings,
            reads: 0,
            messages: 0,
            bytes: 0,
            cpu: Duration::ZERO,
            codec: Duration::ZERO,
        };
        for i in 0..count {
            let phase = fleet.rng.random_range(0..1_000);
            fleet.push(phase, Event::Tick(i));
        }
        fleet
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Sends a message over the network and counts its encoded size. Some messages are lost.
    fn send(&mut self, from: usize, to: usize, message: &impl Serialize, event: Event) {
        let start = Instant::now();
        let size = rmp_serde::to_vec(message).unwrap().len();
        self.codec += start.elapsed();
        self.messages += 1;
        self.bytes += size as u64;
        if self.rng.random_bool(LOSS_RATE) || !self.is_linked(from, to) {
            return;
        }
        let delay = self.rng.random_range(1..=25);
        self.push(delay, event);
    }

    fn send_heartbeat(&mut self, from: usize, to: &VmId, message: Heartbeat) {
        let to = self.index[to];
        // Times the decoding on the sender's side, since the receiver gets the message undecoded.
        let bytes = rmp_serde::to_vec(&message).unwrap();
        let start = Instant::now();
        let decoded: Heartbeat = rmp_serde::from_slice(&bytes).unwrap();
        self.codec += start.elapsed();
        drop(decoded);
        let event = Event::Heartbeat { from, to, message: Box::new(message.clone()), check: None };
        self.send(from, to, &message, event);
    }

    fn perform(&mut self, i: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Heartbeat { to, message, .. } => self.send_heartbeat(i, &to, message),
                MemberAction::Check { via, message, .. } => {
                    let to = self.index[&via];
                    let event = Event::Check { from: i, to, message: Box::new(message.clone()) };
                    self.send(i, to, &message, event);
                }
            }
        }
    }

    fn tick_spread(&mut self, i: usize) {
        let now = Time(self.now);
        let node = &mut self.nodes[i];
        let watcher = node.watcher;
        let start = Instant::now();
        let actions = node.spread.tick(watcher, now, &mut self.rng);
        self.cpu += start.elapsed();
        self.perform_spread(i, actions);
    }

    fn perform_spread(&mut self, i: usize, actions: Vec<SpreadAction>) {
        for action in actions {
            match action {
                SpreadAction::ReadHead if !self.reaches_store(i) => {}
                SpreadAction::ReadHead => {
                    self.reads += 1;
                    let head = self.store;
                    self.push(20, Event::Head { to: i, head });
                }
                SpreadAction::FetchManifest { head, from } => {
                    self.push(40, Event::Manifest { to: i, from, head });
                }
                SpreadAction::FetchPart { digest, from } => {
                    self.push(40, Event::Part { to: i, from, digest });
                }
                SpreadAction::Apply(_) => {
                    self.nodes[i].applied = Some(self.now);
                    self.publish(i);
                    let node = &mut self.nodes[i];
                    let zone = node.members.me().zone.clone();
                    let mut actions = node.members.announce(ANNOUNCE_FANOUT, None, &mut self.rng);
                    actions.extend(node.members.announce(1, Some(&zone), &mut self.rng));
                    self.perform(i, actions);
                }
                SpreadAction::Drop(_) => {}
            }
        }
    }

    fn publish(&mut self, i: usize) {
        let now = Time(self.now);
        let node = &mut self.nodes[i];
        let mut leaving = Vec::new();
        if let Some(drain) = &node.drain {
            for (source, first) in drain.notices(now) {
                let backend = "backend-0001".parse().unwrap();
                leaving.push(LeavingNotice { backend, source, age: now.since(first) });
            }
        }
        let head = node.spread.head();
        node.members.publish(HeartbeatContent { head, headroom: headroom(i), leaving });
    }

    fn apply_content(&mut self, i: usize, message: &Heartbeat) {
        let now = Time(self.now);
        let before = self.nodes[i].spread.ready().ok();
        if let Some(head) = message.head {
            self.nodes[i].spread.on_head(Source::Peer(message.from.vm.clone()), head);
            if before.is_none_or(|held| held.version < head.version) {
                self.tick_spread(i);
            }
        }
        let Some(drain) = &mut self.nodes[i].drain else { return };
        for notice in &message.leaving {
            drain.on_notice(notice.source, notice.age, now);
        }
        self.announce_evidence(i);
    }

    pub(crate) fn announce_evidence(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if node.announced || !node.drain.as_ref().is_some_and(Drain::leaving) {
            return;
        }
        node.announced = true;
        self.publish(i);
        let node = &mut self.nodes[i];
        let zone = node.members.me().zone.clone();
        let actions = node.members.announce(ANNOUNCE_FANOUT, Some(&zone), &mut self.rng);
        self.perform(i, actions);
    }

    fn reaches_store(&self, i: usize) -> bool {
        !self.store_down && self.cut != Some(Cut::Zone(i % ZONES))
    }

    fn is_linked(&self, i: usize, j: usize) -> bool {
        match self.cut {
            None => true,
            Some(Cut::Zone(zone)) => (i % ZONES == zone) == (j % ZONES == zone),
            Some(Cut::Regions(a, b)) => {
                let ends = (i % ZONES % REGIONS, j % ZONES % REGIONS);
                ends != (a, b) && ends != (b, a)
            }
        }
    }

    /// Whether the source would serve the manifest of that bundle to that VM.
    fn serves(&self, from: &Source, to: usize, head: BundleHead) -> bool {
        let Source::Peer(vm) = from else { return head == self.store && self.reaches_store(to) };
        let i = self.index[vm];
        if !self.is_linked(i, to) {
            return false;
        }
        let holder = self.settings.holders.is_none_or(|every| i.is_multiple_of(every));
        holder && self.nodes[i].alive && self.nodes[i].spread.head() == Some(head)
    }

    fn run_event(&mut self, event: Event) {
        let now = Time(self.now);
        match event {
            Event::Tick(i) => {
                if !self.nodes[i].alive {
                    return;
                }
                self.push(TICK_MS, Event::Tick(i));
                if self.now % 1_000 < TICK_MS {
                    self.publish(i);
                }
                let start = Instant::now();
                let actions = self.nodes[i].members.tick(now, &mut self.rng);
                self.cpu += start.elapsed();
                self.perform(i, actions);
                let due = self.now % 500 < TICK_MS;
                if due {
                    self.tick_spread(i);
                }
            }
            Event::Heartbeat { from, to, message, check } => {
                if !self.nodes[to].alive {
                    return;
                }
                let start = Instant::now();
                let answer = self.nodes[to].members.on_heartbeat(&message, now);
                self.cpu += start.elapsed();
                self.apply_content(to, &message);
                let event = match check {
                    None => Event::Answer { to: from, message: Box::new(answer.clone()) },
                    Some(requester) => {
                        Event::Checked { to: requester, record: answer.from.clone() }
                    }
                };
                // The answer to a check returns through the VM that made the check.
                self.send(to, from, &answer, event);
            }
            Event::Answer { to, message } => {
                if !self.nodes[to].alive {
                    return;
                }
                let start = Instant::now();
                self.nodes[to].members.on_answer(&message, now);
                self.cpu += start.elapsed();
                self.apply_content(to, &message);
            }
            Event::Check { from, to, message } => {
                if !self.nodes[to].alive {
                    return;
                }
                let heartbeat = self.nodes[to].members.on_check(&message);
                let target = self.index[&message.target.vm];
                let boxed = Box::new(heartbeat.clone());
                let event =
                    Event::Heartbeat { from: to, to: target, message: boxed, check: Some(from) };
                self.send(to, target, &heartbeat, event);
            }
            Event::Checked { to, record } => {
                let answer = CheckAnswer { record: Some(record) };
                self.nodes[to].members.on_check_answer(&answer, now);
            }
            Event::Head { to, head } => {
                self.nodes[to].spread.on_head(Source::Store, head);
                self.tick_spread(to);
            }
            Event::Manifest { to, from, head } => {
                self.reads += u64::from(from == Source::Store);
                let served = self.serves(&from, to, head) && !self.rng.random_bool(LOSS_RATE);
                let parts = self.settings.parts;
                let fetched = if served {
                    FetchResult::Good(manifest(head, parts))
                } else {
                    FetchResult::Missing
                };
                self.nodes[to].spread.on_manifest(head, &from, fetched, now, &mut self.rng);
                self.tick_spread(to);
            }
            Event::Part { to, from, digest } => {
                let fetched = self.part(&from, to);
                self.nodes[to].spread.on_part(digest, &from, fetched, now, &mut self.rng);
                self.tick_spread(to);
            }
        }
    }

    /// Returns the result of fetching a part.
    fn part(&mut self, from: &Source, to: usize) -> FetchResult<()> {
        if self.rng.random_bool(LOSS_RATE) {
            return FetchResult::Missing;
        }
        let Source::Peer(vm) = from else {
            self.reads += 1;
            return if self.reaches_store(to) {
                FetchResult::Good(())
            } else {
                FetchResult::Missing
            };
        };
        let i = self.index[vm];
        if !self.nodes[i].alive || !self.is_linked(i, to) {
            return FetchResult::Missing;
        }
        let node = &mut self.nodes[i];
        if !node.budget.take(self.settings.bytes, Time(self.now)) {
            return FetchResult::Busy;
        }
        node.served += 1;
        FetchResult::Good(())
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if end < at {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&serial).expect("each queued event is stored");
            self.run_event(event);
        }
        self.now = end;
    }

    /// Runs until `done` is true for every live node and returns the time that this took, or `None`
    /// at `end`.
    pub(crate) fn time_until(&mut self, end: u64, done: impl Fn(&Node) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < end {
            if self.nodes.iter().all(|node| !node.alive || done(node)) {
                return Some(self.now - start);
            }
            self.run_until(self.now + 50);
        }
        None
    }

    /// Restarts all VMs of one data centre without a bundle while the store is unavailable.
    pub(crate) fn restart_zone(&mut self) {
        self.store_down = true;
        self.restart(|i| i % ZONES == 2);
    }

    /// Restarts the chosen VMs without a bundle.
    pub(crate) fn restart(&mut self, chosen: impl Fn(usize) -> bool) {
        let now = Time(self.now);
        let records: Vec<PeerRecord> = self.nodes[0].members.records().cloned().collect();
        for i in 0..self.nodes.len() {
            if !chosen(i) {
                continue;
            }
            let mut me = record(i);
            me.incarnation = me.incarnation.plus(Incarnation(self.now));
            let node = &mut self.nodes[i];
            node.members = Members::new(MemberSettings::default(), me, now);
            node.members.on_records(&records, now);
            node.spread = Spread::new(SpreadSettings::default(), now, &mut self.rng);
        }
    }

    pub(crate) fn counts(&self) -> (u64, u64) {
        let (mut suspected, mut declared_dead) = (0, 0);
        for node in &self.nodes {
            suspected += node.members.counts().suspected;
            declared_dead += node.members.counts().declared_dead;
        }
        (suspected, declared_dead)
    }
}
