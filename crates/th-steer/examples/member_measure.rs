//! Runs membership and the spread of bundles in virtual time at four sizes of fleet and prints
//! bytes, times and processor time per node. Real messages are encoded to count their bytes.
//!
//! `cargo run --release -p th-steer --example member_measure -- [--json] [--nodes N]
//! [--holders N]`: one size only; only each Nth VM serves bundles to others

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use th_protocol::{
    BundleHead, CheckAnswer, ContentHash, HeadroomDigest, Heartbeat, Incarnation, IndirectCheck,
    LeavingNotice, MemberState, Millis, PeerRecord, Permille, RegionId, Time, Version, VmId,
    ZoneId,
};
use th_steer::{
    backend::Drain,
    member::{
        Content, Fetched, ManifestInfo, MemberAction, MemberSettings, Members, Seed, Source,
        Spread, SpreadAction, SpreadSettings, watchers,
    },
};

const SIZES: [usize; 4] = [50, 200, 800, 2_500];
const ZONES: usize = 26;
const SEED: u64 = 7;
const LOSS: f64 = 0.01;
const TICK: u64 = 100;
/// Steady state is measured between these times.
const STEADY: (u64, u64) = (5_000, 20_000);
const KILL: u64 = 20_000;
const ROLL: u64 = 45_000;
const EVIDENCE: u64 = 54_000;
const END: u64 = 60_000;
/// Parts of each bundle; a roll changes one.
const PARTS: u8 = 8;
/// Heartbeats that go out at once on news.
const ANNOUNCE: usize = 3;

#[derive(Debug, Default, Serialize)]
struct Figures {
    nodes: usize,
    messages_per_node_s: f64,
    payload_bytes_per_node_s: f64,
    mean_message_bytes: f64,
    suspected_in_steady: u64,
    buried_in_steady: u64,
    first_suspect_ms: Option<u64>,
    all_suspect_ms: Option<u64>,
    all_dead_ms: Option<u64>,
    bundle_median_ms: Option<u64>,
    bundle_all_ms: Option<u64>,
    evidence_all_ms: Option<u64>,
    cpu_us_per_node_s: f64,
    codec_us_per_node_s: f64,
    table_bytes: usize,
}

enum Event {
    Tick(usize),
    Heartbeat { from: usize, to: usize, message: Box<Heartbeat>, check: Option<usize> },
    Answer { to: usize, message: Box<Heartbeat> },
    Check { from: usize, to: usize, message: Box<IndirectCheck> },
    Checked { to: usize, record: PeerRecord },
    Head { to: usize, head: BundleHead },
    Manifest { to: usize, from: Source, head: BundleHead },
    Part { to: usize, from: Source, hash: ContentHash },
}

struct Node {
    members: Members,
    spread: Spread,
    drain: Option<Drain>,
    announced: bool,
    watcher: bool,
    applied: Option<u64>,
    alive: bool,
}

struct Fleet {
    now: u64,
    serial: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    index: BTreeMap<VmId, usize>,
    rng: ChaCha8Rng,
    store: BundleHead,
    holders: Option<usize>,
    messages: u64,
    bytes: u64,
    cpu: Duration,
    codec: Duration,
}

fn hash(version: u64, part: u8) -> ContentHash {
    let mut bytes = [part; 32];
    bytes[..8].copy_from_slice(&version.to_be_bytes());
    ContentHash(bytes)
}

fn head(version: u64) -> BundleHead {
    BundleHead { version: Version(version), digest: hash(version, 255) }
}

fn manifest(head: BundleHead) -> ManifestInfo {
    let mut parts: Vec<ContentHash> = (1..PARTS).map(|part| hash(0, part)).collect();
    parts.push(hash(head.version.0, 0));
    ManifestInfo { head, parts }
}

fn zone(i: usize) -> ZoneId {
    format!("zone-{:02}", i % ZONES).parse().unwrap()
}

fn record(i: usize) -> PeerRecord {
    PeerRecord {
        vm: format!("entry-{i:04}").parse().unwrap(),
        zone: zone(i),
        address: format!("10.{}.{}.1:7000", i / 250, i % 250).parse().unwrap(),
        callers: format!("10.{}.{}.1:8000", i / 250, i % 250).parse().unwrap(),
        origin: Time(1_790_000_000_000 + i as u64),
        incarnation: Incarnation(1_790_000_000_000 + i as u64),
        beat: 0,
        state: MemberState::Live,
    }
}

fn headroom(i: usize) -> Vec<HeadroomDigest> {
    let region: RegionId = format!("region-{:02}", i % 12).parse().unwrap();
    let mut digests = Vec::new();
    for k in 0..2 {
        let (free, age) = (Permille(100), Millis(900));
        digests.push(HeadroomDigest { region: region.clone(), zone: zone(i + k), free, age });
    }
    digests
}

impl Fleet {
    fn new(count: usize, holders: Option<usize>) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let mut seeds = Vec::new();
        for i in 0..count {
            let PeerRecord { vm, zone, address, state, .. } = record(i);
            seeds.push(Seed { vm, zone, address, state });
        }
        let records: Vec<PeerRecord> = (0..count).map(record).collect();
        let chosen: Vec<Vec<VmId>> =
            (0..ZONES).map(|i| watchers(records.iter(), &zone(i), 2)).collect();
        let mut nodes = Vec::new();
        for i in 0..count {
            let mut members = Members::new(MemberSettings::default(), record(i), Time(0));
            members.on_list(&seeds, Time(0));
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
            holders,
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

    /// Sends a message of that size over the network, which loses some.
    fn send(&mut self, message: &impl Serialize, event: Event) {
        let start = Instant::now();
        let size = rmp_serde::to_vec(message).unwrap().len();
        self.codec += start.elapsed();
        self.messages += 1;
        self.bytes += size as u64;
        if self.rng.random_bool(LOSS) {
            return;
        }
        let delay = self.rng.random_range(1..=25);
        self.push(delay, event);
    }

    fn send_heartbeat(&mut self, from: usize, to: &VmId, message: Heartbeat) {
        let to = self.index[to];
        // Decoding is timed on the sender's side: the receiver takes the message as it was.
        let bytes = rmp_serde::to_vec(&message).unwrap();
        let start = Instant::now();
        let decoded: Heartbeat = rmp_serde::from_slice(&bytes).unwrap();
        self.codec += start.elapsed();
        drop(decoded);
        let event = Event::Heartbeat { from, to, message: Box::new(message.clone()), check: None };
        self.send(&message, event);
    }

    fn perform(&mut self, i: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Heartbeat { to, message, .. } => self.send_heartbeat(i, &to, message),
                MemberAction::Check { via, message, .. } => {
                    let to = self.index[&via];
                    let event = Event::Check { from: i, to, message: Box::new(message.clone()) };
                    self.send(&message, event);
                }
            }
        }
    }

    fn drive(&mut self, i: usize) {
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
                SpreadAction::ReadHead => {
                    let head = self.store;
                    self.push(20, Event::Head { to: i, head });
                }
                SpreadAction::FetchManifest { head, from } => {
                    self.push(40, Event::Manifest { to: i, from, head });
                }
                SpreadAction::FetchPart { hash, from } => {
                    self.push(40, Event::Part { to: i, from, hash });
                }
                SpreadAction::Apply(_) => {
                    self.nodes[i].applied = Some(self.now);
                    self.publish(i);
                    let node = &mut self.nodes[i];
                    let zone = node.members.me().zone.clone();
                    let mut actions = node.members.announce(ANNOUNCE, None, &mut self.rng);
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
        node.members.publish(Content { head, headroom: headroom(i), leaving });
    }

    fn take_content(&mut self, i: usize, message: &Heartbeat) {
        let now = Time(self.now);
        let before = self.nodes[i].spread.ready().ok();
        if let Some(head) = message.head {
            self.nodes[i].spread.on_head(Source::Peer(message.from.vm.clone()), head);
            if before.is_none_or(|held| held.version < head.version) {
                self.drive(i);
            }
        }
        let Some(drain) = &mut self.nodes[i].drain else { return };
        for notice in &message.leaving {
            drain.on_notice(notice.source, notice.age, now);
        }
        self.announce_evidence(i);
    }

    fn announce_evidence(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if node.announced || !node.drain.as_ref().is_some_and(Drain::leaving) {
            return;
        }
        node.announced = true;
        self.publish(i);
        let node = &mut self.nodes[i];
        let zone = node.members.me().zone.clone();
        let actions = node.members.announce(ANNOUNCE, Some(&zone), &mut self.rng);
        self.perform(i, actions);
    }

    /// Whether the source serves that bundle.
    fn serves(&self, from: &Source, head: BundleHead) -> bool {
        let Source::Peer(vm) = from else { return head == self.store };
        let i = self.index[vm];
        let holder = self.holders.is_none_or(|every| i.is_multiple_of(every));
        holder && self.nodes[i].alive && self.nodes[i].spread.head() == Some(head)
    }

    fn run_event(&mut self, event: Event) {
        let now = Time(self.now);
        match event {
            Event::Tick(i) => {
                if !self.nodes[i].alive {
                    return;
                }
                self.push(TICK, Event::Tick(i));
                if self.now % 1_000 < TICK {
                    self.publish(i);
                }
                let start = Instant::now();
                let actions = self.nodes[i].members.tick(now, &mut self.rng);
                self.cpu += start.elapsed();
                self.perform(i, actions);
                let due = self.now % 500 < TICK;
                if due {
                    self.drive(i);
                }
            }
            Event::Heartbeat { from, to, message, check } => {
                if !self.nodes[to].alive {
                    return;
                }
                let start = Instant::now();
                let answer = self.nodes[to].members.on_heartbeat(&message, now);
                self.cpu += start.elapsed();
                self.take_content(to, &message);
                let event = match check {
                    None => Event::Answer { to: from, message: Box::new(answer.clone()) },
                    Some(asker) => Event::Checked { to: asker, record: answer.from.clone() },
                };
                self.send(&answer, event);
            }
            Event::Answer { to, message } => {
                if !self.nodes[to].alive {
                    return;
                }
                let start = Instant::now();
                self.nodes[to].members.on_answer(&message, now);
                self.cpu += start.elapsed();
                self.take_content(to, &message);
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
                self.send(&heartbeat, event);
            }
            Event::Checked { to, record } => {
                let answer = CheckAnswer { record: Some(record) };
                self.nodes[to].members.on_check_answer(&answer, now);
            }
            Event::Head { to, head } => {
                self.nodes[to].spread.on_head(Source::Store, head);
                self.drive(to);
            }
            Event::Manifest { to, from, head } => {
                let served = self.serves(&from, head) && !self.rng.random_bool(LOSS);
                let fetched = if served { Fetched::Good(manifest(head)) } else { Fetched::Missing };
                self.nodes[to].spread.on_manifest(head, &from, fetched, now, &mut self.rng);
                self.drive(to);
            }
            Event::Part { to, from, hash } => {
                let served = !self.rng.random_bool(LOSS);
                let fetched = if served { Fetched::Good(()) } else { Fetched::Missing };
                self.nodes[to].spread.on_part(hash, &from, fetched, now, &mut self.rng);
                self.drive(to);
            }
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if end < at {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&serial).expect("each event is queued once");
            self.run_event(event);
        }
        self.now = end;
    }

    /// Runs on until `done` holds for every live node; the time that it took.
    fn time_until(&mut self, end: u64, done: impl Fn(&Node) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < end {
            if self.nodes.iter().all(|node| !node.alive || done(node)) {
                return Some(self.now - start);
            }
            self.run_until(self.now + 50);
        }
        None
    }

    fn counted(&self) -> (u64, u64) {
        let (mut suspected, mut buried) = (0, 0);
        for node in &self.nodes {
            suspected += node.members.counts().suspected;
            buried += node.members.counts().buried;
        }
        (suspected, buried)
    }
}

fn measure(count: usize, holders: Option<usize>) -> Figures {
    let mut fleet = Fleet::new(count, holders);
    let mut figures = Figures { nodes: count, ..Figures::default() };
    fleet.run_until(STEADY.0);
    let before = (fleet.messages, fleet.bytes, fleet.cpu, fleet.codec, fleet.counted());
    fleet.run_until(STEADY.1);
    let node_seconds = count as f64 * (STEADY.1 - STEADY.0) as f64 / 1000.0;
    let messages = (fleet.messages - before.0) as f64;
    let bytes = (fleet.bytes - before.1) as f64;
    // Each message is sent by one node and received by another.
    figures.messages_per_node_s = 2.0 * messages / node_seconds;
    figures.payload_bytes_per_node_s = 2.0 * bytes / node_seconds;
    figures.mean_message_bytes = bytes / messages;
    figures.cpu_us_per_node_s = (fleet.cpu - before.2).as_secs_f64() * 1e6 / node_seconds;
    figures.codec_us_per_node_s = (fleet.codec - before.3).as_secs_f64() * 1e6 / node_seconds;
    let counted = fleet.counted();
    figures.suspected_in_steady = counted.0 - before.4.0;
    figures.buried_in_steady = counted.1 - before.4.1;
    figures.table_bytes = count * (size_of::<PeerRecord>() + 2 * size_of::<VmId>() + 96);

    fleet.run_until(KILL);
    let victim = record(1).vm;
    fleet.nodes[1].alive = false;
    let state = |node: &Node| node.members.record(&victim).map_or(MemberState::Dead, |it| it.state);
    while fleet.now < ROLL && figures.first_suspect_ms.is_none() {
        fleet.run_until(fleet.now + 50);
        let seen = |node: &Node| node.alive && MemberState::Suspect <= state(node);
        if fleet.nodes.iter().any(seen) {
            figures.first_suspect_ms = Some(fleet.now - KILL);
        }
    }
    let since = fleet.now - KILL;
    figures.all_suspect_ms =
        fleet.time_until(ROLL, |node| MemberState::Suspect <= state(node)).map(|it| it + since);
    let since = fleet.now - KILL;
    figures.all_dead_ms =
        fleet.time_until(ROLL, |node| state(node) == MemberState::Dead).map(|it| it + since);

    fleet.run_until(ROLL);
    fleet.store = head(2);
    figures.bundle_all_ms = fleet.time_until(EVIDENCE, |node| node.spread.head() == Some(head(2)));
    let mut times = Vec::new();
    for node in &fleet.nodes {
        times.extend(node.applied.filter(|at| ROLL <= *at));
    }
    times.sort_unstable();
    figures.bundle_median_ms = times.get(times.len() / 2).map(|at| at - ROLL);

    fleet.run_until(EVIDENCE);
    if let Some(drain) = &mut fleet.nodes[0].drain {
        drain.on_own(true, Time(EVIDENCE), Time(EVIDENCE));
    }
    fleet.announce_evidence(0);
    figures.evidence_all_ms =
        fleet.time_until(END, |node| node.drain.as_ref().is_none_or(Drain::leaving));
    figures
}

/// Intercept and slope of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0);
    for point in points {
        x += point.0;
        y += point.1;
        xx += point.0 * point.0;
        xy += point.0 * point.1;
    }
    let slope = (n * xy - x * y) / (n * xx - x * x);
    ((y - slope * x) / n, slope)
}

fn number(args: &[String], name: &str) -> Option<usize> {
    let place = args.iter().position(|arg| arg == name)?;
    args.get(place + 1)?.parse().ok()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let json = args.iter().any(|arg| arg == "--json");
    let holders = number(&args, "--holders");
    let sizes = number(&args, "--nodes").map_or(SIZES.to_vec(), |count| vec![count]);
    let (mut bytes, mut cpu) = (Vec::new(), Vec::new());
    for count in sizes.iter().copied() {
        let figures = measure(count, holders);
        bytes.push((count as f64, figures.payload_bytes_per_node_s));
        cpu.push((count as f64, figures.cpu_us_per_node_s + figures.codec_us_per_node_s));
        if json {
            println!("{}", serde_json::to_string(&figures).unwrap());
        } else {
            println!("{figures:#?}");
        }
    }
    if sizes.len() < 2 {
        return;
    }
    let (bytes, cpu) = (fit(&bytes), fit(&cpu));
    let line = serde_json::json!({
        "fit_bytes_per_node_s": { "intercept": bytes.0, "slope_per_node": bytes.1 },
        "fit_cpu_us_per_node_s": { "intercept": cpu.0, "slope_per_node": cpu.1 },
    });
    println!("{line}");
}
