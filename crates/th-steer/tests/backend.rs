//! Choice of backend servers: allowances, health, probes and a comparison with other policies.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{
    AttemptId, Backend, BackendId, Bundle, Connections, LoadReport, Millis, Permille, Service,
    ServiceId, Slots, Time, Version, ZoneId,
};
use th_steer::backend::{BackendSettings, Backends, Outcome, Rejection};

const SLOTS: Slots = Slots(4);
const CONNECTIONS: Connections = Connections(40);

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn id(i: usize) -> BackendId {
    format!("b{i:02}").parse().unwrap()
}

fn bundle(version: u64, count: usize, leaving: &[usize]) -> Bundle {
    let zone: ZoneId = "north-1".parse().unwrap();
    let mut backends = BTreeMap::new();
    for i in 0..count {
        let address = format!("10.0.0.{i}:80").parse().unwrap();
        let leaving = leaving.contains(&i);
        let zone = zone.clone();
        let spec = Backend { zone, address, slots: SLOTS, connections: CONNECTIONS, leaving };
        backends.insert(id(i), spec);
    }
    let services = BTreeMap::from([(service(), Service { backends, ..Service::default() })]);
    Bundle { version: Version(version), services, ..Bundle::default() }
}

fn table(count: usize, settings: BackendSettings) -> Backends {
    let mut table = Backends::new(settings, "north-1".parse().unwrap(), AttemptId(1));
    table.on_bundle(&bundle(1, count, &[]), Time(0));
    for i in 0..count {
        table.set_allowance(&id(i), SLOTS, CONNECTIONS);
    }
    table
}

/// A time after the slow start of servers that were added at time zero.
const WARM: Time = Time(60_000);

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Sends `times` requests one after another, each of which ends with `outcome`.
fn finish_requests(
    table: &mut Backends,
    outcome: Outcome,
    times: usize,
    now: Time,
    rng: &mut ChaCha8Rng,
) {
    for _ in 0..times {
        let choice = table.choose(&service(), true, now, rng).unwrap();
        assert!(table.finish(choice.attempt, outcome, Millis(5), now));
    }
}

#[test]
fn no_slot_beyond_the_allowance_and_none_freed_twice() {
    let (mut table, mut rng) = (table(3, BackendSettings::default()), rng(1));
    let mut taken = Vec::new();
    while let Ok(choice) = table.choose(&service(), true, WARM, &mut rng) {
        taken.push(choice.attempt);
    }
    assert_eq!(taken.len(), 12);
    assert_eq!(table.choose(&service(), true, WARM, &mut rng), Err(Rejection::NoSlot));
    assert!(table.finish(taken[0], Outcome::Answered, Millis(5), WARM));
    assert!(!table.finish(taken[0], Outcome::Answered, Millis(5), WARM));
    assert!(table.choose(&service(), true, WARM, &mut rng).is_ok());
    assert_eq!(table.choose(&service(), true, WARM, &mut rng), Err(Rejection::NoSlot));
}

#[test]
fn a_new_server_starts_with_a_small_share() {
    let (mut table, mut rng) = (table(1, BackendSettings::default()), rng(2));
    // Server 0 is leaving, so that only the new server takes requests.
    table.on_bundle(&bundle(2, 2, &[0]), Time(0));
    table.set_allowance(&id(1), SLOTS, CONNECTIONS);
    assert!(table.choose(&service(), true, Time(0), &mut rng).is_ok());
    assert_eq!(table.choose(&service(), true, Time(0), &mut rng), Err(Rejection::NoSlot));
    assert!(table.choose(&service(), true, WARM, &mut rng).is_ok());
}

#[rstest]
#[case::connect(Outcome::ConnectFailed)]
#[case::timeout(Outcome::Timeout)]
#[case::cut(Outcome::Cut)]
#[case::status(Outcome::ErrorStatus)]
fn consecutive_failures_eject_until_a_probe_passes(#[case] outcome: Outcome) {
    let (mut table, mut rng) = (table(4, BackendSettings::default()), rng(3));
    let ejected = id(0);
    for i in 1..4 {
        table.set_allowance(&id(i), Slots::ZERO, CONNECTIONS);
    }
    finish_requests(&mut table, outcome, 3, WARM, &mut rng);
    assert!(table.choose(&service(), true, WARM, &mut rng).is_err());
    let ejection_end = table.health(&ejected).unwrap().ejected_until().unwrap();
    let probes = table.due_probes(ejection_end);
    assert!(probes.iter().any(|(probed, _)| *probed == ejected));
    table.on_probe(&ejected, false, ejection_end);
    let longer = table.health(&ejected).unwrap().ejected_until().unwrap();
    assert!(ejection_end.since(WARM) < longer.since(ejection_end));
    table.on_probe(&ejected, true, longer);
    assert!(table.choose(&service(), true, longer, &mut rng).is_ok());
    assert_eq!(table.choose(&service(), true, longer, &mut rng), Err(Rejection::NoSlot));
}

#[test]
fn ejections_never_empty_the_pool() {
    let (mut table, mut rng) = (table(4, BackendSettings::default()), rng(4));
    for _ in 0..100 {
        finish_requests(&mut table, Outcome::Timeout, 1, WARM, &mut rng);
    }
    assert!(table.choose(&service(), true, WARM, &mut rng).is_ok());
}

#[rstest]
#[case::hint(Some(Millis(700)), 700)]
#[case::none(None, 50)]
fn a_shedding_server_gets_no_requests_during_its_backoff(
    #[case] hint: Option<Millis>,
    #[case] backoff: u64,
) {
    let (mut table, mut rng) = (table(1, BackendSettings::default()), rng(5));
    finish_requests(&mut table, Outcome::Shed(hint), 1, WARM, &mut rng);
    let before = WARM.after(Millis(backoff - 1));
    assert_eq!(table.choose(&service(), true, before, &mut rng), Err(Rejection::NoBackend));
    assert_eq!(table.backoff_until(&service(), before), Some(WARM.after(Millis(backoff))));
    assert!(table.choose(&service(), true, WARM.after(Millis(backoff)), &mut rng).is_ok());
}

#[test]
fn stalled_connections_eject_a_server_without_recent_outcomes() {
    let (mut table, mut rng) = (table(1, BackendSettings::default()), rng(8));
    for round in 0..3 {
        let sent = WARM.after(Millis(round * 2_000));
        let choice = table.choose(&service(), true, sent, &mut rng).unwrap();
        assert!(table.health(&id(0)).unwrap().ejected_until().is_none());
        let late = sent.after(Millis(1_000));
        assert!(table.on_stall(choice.attempt, sent, late));
        assert!(!table.on_stall(choice.attempt, sent, late));
    }
    assert!(table.health(&id(0)).unwrap().ejected_until().is_some());
}

#[test]
fn probes_of_one_server_are_bounded_over_all_entry_vms() {
    let vm_count = 4;
    let mut table = table(5, BackendSettings { vm_count, ..BackendSettings::default() });
    let mut probes = 0;
    for now in (0..60_000).step_by(100) {
        probes += table.due_probes(Time(now)).len();
    }
    // 5 servers, one probe a second each, divided among 4 entry VMs.
    assert!(probes <= 75, "{probes}");
    assert!(0 < probes);
}

#[test]
fn own_outcomes_take_precedence_over_a_report_of_idleness() {
    let (mut table, mut rng) = (table(2, BackendSettings::default()), rng(6));
    let (slow, fast) = (id(0), id(1));
    for _ in 0..20 {
        let choice = table.choose(&service(), true, WARM, &mut rng).unwrap();
        let latency = if choice.backend == slow { Millis(30) } else { Millis(20) };
        table.finish(choice.attempt, Outcome::Answered, latency, WARM);
    }
    let idle = LoadReport { busy: Slots(0), slots: SLOTS, leaving: false };
    let full = LoadReport { busy: SLOTS, slots: SLOTS, leaving: false };
    table.on_report(&slow, idle, WARM, WARM);
    table.on_report(&fast, full, WARM, WARM);
    for _ in 0..10 {
        let choice = table.choose(&service(), true, WARM, &mut rng).unwrap();
        assert_eq!(choice.backend, fast);
        table.finish(choice.attempt, Outcome::Answered, Millis(20), WARM);
    }
}

proptest! {
    #[test]
    fn busy_slots_and_connections_stay_within_the_allowance(
        seed: u64,
        steps in prop::collection::vec((0u8..7, 0usize..3, 0u32..6, 0u32..6), 1..200),
    ) {
        let (mut table, mut rng) = (table(3, BackendSettings::default()), rng(seed));
        let (mut open, mut now) = (Vec::new(), WARM);
        let mut max_allowances = [(SLOTS, CONNECTIONS); 3];
        for (step, i, slots, connections) in steps {
            now = now.after(Millis(u64::from(slots) * 300));
            match step {
                0..=2 => {
                    let idempotent = step == 0;
                    let Ok(choice) = table.choose(&service(), idempotent, now, &mut rng) else { continue };
                    for (j, allowed) in max_allowances.iter().enumerate() {
                        if choice.backend == id(j) {
                            prop_assert!(table.busy(&id(j)) <= allowed.0);
                            prop_assert!(table.pool(&id(j)).unwrap().open() <= allowed.1);
                        }
                    }
                    open.push(choice.attempt);
                }
                3 => {
                    max_allowances[i] = (Slots(slots), Connections(connections));
                    table.set_allowance(&id(i), Slots(slots), Connections(connections));
                }
                _ => {
                    if open.is_empty() { continue }
                    let attempt = open.swap_remove(i % open.len());
                    let outcome = [Outcome::Answered, Outcome::Cut, Outcome::Cancelled][i];
                    prop_assert!(table.finish(attempt, outcome, Millis(9), now));
                }
            }
        }
        for attempt in open {
            table.finish(attempt, Outcome::Answered, Millis(9), now);
        }
        for i in 0..3 {
            prop_assert_eq!(table.busy(&id(i)), Slots(0));
        }
    }
}

/// Policies for choosing a server that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    RoundRobin,
    LeastReported,
    Table { samples: usize },
}

/// Number of servers in the comparison.
const SERVERS: usize = 24;
const SERVICE_MS: f64 = 20.0;
/// Age of load reports when they arrive.
const REPORT_DELAY: Millis = Millis(1_000);

/// A request that a server is executing.
struct Running {
    server: usize,
    arrived: u64,
    sent: u64,
    attempt: Option<AttemptId>,
}

struct Run {
    policy: Policy,
    last_server: usize,
    busy: [u32; SERVERS],
    reports: [u32; SERVERS],
    table: Backends,
}

impl Run {
    fn pick(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Option<(usize, Option<AttemptId>)> {
        match self.policy {
            Policy::Table { .. } => {
                let choice = self.table.choose(&service(), true, now, rng).ok()?;
                let i = choice.backend.as_str()[1..].parse().unwrap();
                Some((i, Some(choice.attempt)))
            }
            Policy::RoundRobin => {
                self.last_server = (self.last_server + 1) % SERVERS;
                Some((self.last_server, None))
            }
            Policy::LeastReported => {
                let least = self.reports.iter().min().unwrap();
                let equal: Vec<usize> =
                    (0..SERVERS).filter(|i| self.reports[*i] == *least).collect();
                Some((equal[rng.random_range(0..equal.len())], None))
            }
        }
    }
}

/// Simulates a load of 0.9 of the capacity in virtual time on 24 servers with 4 slots each, two of
/// which are 3 times slower and report that they are idle. Returns the p50 and p99 of the response
/// time. Each server queues requests beyond its slots; requests that the table rejects wait at the
/// entry VM in order of arrival.
fn simulate(policy: Policy, seed: u64) -> (u64, u64) {
    let mut rng = rng(seed);
    let samples = if let Policy::Table { samples } = policy { samples } else { 2 };
    let table = table(SERVERS, BackendSettings { samples, ..BackendSettings::default() });
    let mut run = Run { policy, last_server: 0, busy: [0; SERVERS], reports: [0; SERVERS], table };
    let slots = SLOTS.0;
    let slowdown = |i: usize| if i < 2 { 3.0 } else { 1.0 };
    let capacity: f64 = (0..SERVERS).map(|i| f64::from(slots) / (SERVICE_MS * slowdown(i))).sum();
    let rate = 0.9 * capacity;
    let mut queues: Vec<std::collections::VecDeque<(u64, Option<AttemptId>)>> =
        vec![Default::default(); SERVERS];
    let mut waiting = std::collections::VecDeque::new();
    let mut ends: BTreeMap<(u64, u64), Running> = BTreeMap::new();
    let (mut latencies, mut history, mut serial) = (Vec::new(), Vec::new(), 0u64);
    let (mut next, start, span) = (WARM.0 as f64, WARM.0, 30_000);
    for now in start..start + span {
        while let Some(entry) = ends.first_entry() {
            if now < entry.key().0 {
                break;
            }
            let Running { server: i, arrived, sent, attempt } = entry.remove();
            run.busy[i] -= 1;
            latencies.push(now - arrived);
            if let Some(attempt) = attempt {
                run.table.finish(attempt, Outcome::Answered, Millis(now - sent), Time(now));
            }
        }
        while next <= now as f64 {
            next += -(1.0 - rng.random::<f64>()).ln() / rate;
            waiting.push_back(now);
        }
        while let Some(arrived) = waiting.front().copied() {
            let Some((i, attempt)) = run.pick(Time(now), &mut rng) else { break };
            waiting.pop_front();
            queues[i].push_back((arrived, attempt));
        }
        for (i, queue) in queues.iter_mut().enumerate() {
            while run.busy[i] < slots
                && let Some((arrived, attempt)) = queue.pop_front()
            {
                run.busy[i] += 1;
                serial += 1;
                let work = -(1.0 - rng.random::<f64>()).ln() * SERVICE_MS * slowdown(i);
                let end = now + (work.ceil() as u64).max(1);
                let running = Running { server: i, arrived, sent: now, attempt };
                ends.insert((end, serial), running);
            }
        }
        if now % 100 == 0 {
            let loads: Vec<u32> = (0..SERVERS)
                .map(|i| if i < 2 { 0 } else { run.busy[i] + queues[i].len() as u32 })
                .collect();
            history.push(loads);
            let delay = (REPORT_DELAY.0 / 100) as usize;
            if delay < history.len() {
                for (i, busy) in history[history.len() - 1 - delay].iter().enumerate() {
                    run.reports[i] = *busy;
                    let report = LoadReport { busy: Slots(*busy), slots: SLOTS, leaving: false };
                    run.table.on_report(&id(i), report, Time(now), Time(now));
                }
            }
        }
    }
    let unfinished = waiting.len() + queues.iter().map(|queue| queue.len()).sum::<usize>();
    for _ in 0..unfinished {
        latencies.push(span);
    }
    latencies.sort_unstable();
    (latencies[latencies.len() / 2], latencies[latencies.len() * 99 / 100])
}

#[rstest]
fn the_table_has_a_lower_p99_than_the_baselines_under_false_reports(#[values(1, 2, 3)] seed: u64) {
    let mut results = Vec::new();
    for policy in [
        Policy::RoundRobin,
        Policy::LeastReported,
        Policy::Table { samples: 2 },
        Policy::Table { samples: SERVERS },
    ] {
        let (p50, p99) = simulate(policy, seed);
        println!("seed {seed} {policy:?}: p50 {p50} ms, p99 {p99} ms");
        results.push(p99);
    }
    assert!(results[2] < results[0] && results[2] < results[1], "seed {seed}: {results:?}");
}

#[test]
fn a_server_that_a_later_bundle_adds_starts_cold_and_reaches_its_full_share() {
    let mut table = table(1, BackendSettings::default());
    assert_eq!(table.health(&id(0)).unwrap().warm_share(Time(0)), Permille::WHOLE);
    table.on_bundle(&bundle(2, 2, &[]), Time(0));
    assert_eq!(table.health(&id(0)).unwrap().warm_share(Time(0)), Permille::WHOLE);
    let health = table.health(&id(1)).unwrap();
    assert!(health.warm_share(Time(0)) < health.warm_share(Time(5_000)));
    assert!(health.warm_share(Time(5_000)) < Permille::WHOLE);
    assert_eq!(health.warm_share(WARM), Permille::WHOLE);
}
