//! Choice of backend servers by latencies that were measured long ago.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{
    AttemptId, Backend, BackendId, Bundle, Connections, Millis, Service, ServiceId, Slots, Time,
    Version, ZoneId,
};
use th_steer::backend::{BackendSettings, Backends, Outcome};

const SLOTS: Slots = Slots(16);
const CONNECTIONS: Connections = Connections(330);
/// Time within which a server in use must get a request; the limit of each wait in tests of requests.
const WITHIN: Millis = Millis(30_000);
const USUAL: Millis = Millis(5);
/// Time between two rounds of requests.
const ROUND: Millis = Millis(10);

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn id(i: usize) -> BackendId {
    format!("b{i}").parse().unwrap()
}

/// Two servers with the slots of a VM that was just started.
fn table() -> Backends {
    let zone: ZoneId = "north-1".parse().unwrap();
    let mut backends = BTreeMap::new();
    for i in 0..2 {
        let (zone, address) = (zone.clone(), format!("10.0.0.{i}:80").parse().unwrap());
        let (slots, connections) = (SLOTS, CONNECTIONS);
        backends.insert(id(i), Backend { zone, address, slots, connections, leaving: false });
    }
    let services = BTreeMap::from([(service(), Service { backends, ..Service::default() })]);
    let bundle = Bundle { version: Version(1), services, ..Bundle::default() };
    let mut table = Backends::new(BackendSettings::default(), zone, AttemptId(1));
    table.on_bundle(&bundle, Time(0));
    for i in 0..2 {
        table.set_allowance(&id(i), SLOTS, CONNECTIONS);
    }
    table
}

/// Sends `at_once` requests together, which server `slow` answers after `latency` and the other after the usual time.
/// Returns how many of them that server got.
fn send_round(
    table: &mut Backends,
    at_once: usize,
    (slow, latency): (usize, Millis),
    now: Time,
) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen: Vec<_> =
        (0..at_once).map(|_| table.choose(&service(), true, now, &mut rng).unwrap()).collect();
    let mut count = 0;
    for choice in chosen {
        let is_slow = choice.backend == id(slow);
        count += usize::from(is_slow);
        let took = if is_slow { latency } else { USUAL };
        table.finish(choice.attempt, Outcome::Answered, took, now.after(took));
    }
    count
}

/// Guards against a server that gets no more work because its latest answer was slow, however long ago.
#[rstest]
fn a_server_gets_work_again_after_one_slow_answer(
    #[values(1, 2)] at_once: usize,
    #[values(60, 1_000, 10_000)] latency: u64,
    #[values(Outcome::Answered, Outcome::Timeout)] outcome: Outcome,
) {
    let (mut table, mut rng) = (table(), ChaCha8Rng::seed_from_u64(1));
    let first = table.choose(&service(), true, Time(0), &mut rng).unwrap();
    let start = Time(latency);
    table.finish(first.attempt, outcome, Millis(latency), start);
    let slow: usize = first.backend.as_str()[1..].parse().unwrap();
    let mut now = start;
    while send_round(&mut table, at_once, (slow, USUAL), now) == 0 {
        now = now.after(ROUND);
        assert!(now.since(start) < WITHIN, "the server got no request within {WITHIN}");
    }
    // Its latency is as usual, so that it takes its part of the load from then on.
    now = now.after(ROUND);
    if at_once == 2 {
        assert_eq!(send_round(&mut table, at_once, (slow, USUAL), now), 1);
    }
}

/// Guards against a server that never gets work because the others answer sooner than it is assumed to.
#[test]
fn a_server_without_answers_gets_work() {
    let (mut table, mut now) = (table(), Time(0));
    let mut used = [0, 0];
    while used.contains(&0) {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let choice = table.choose(&service(), true, now, &mut rng).unwrap();
        used[usize::from(choice.backend == id(1))] += 1;
        table.finish(choice.attempt, Outcome::Answered, Millis(1), now.after(Millis(1)));
        now = now.after(ROUND);
        assert!(now.since(Time(0)) < WITHIN, "requests by server: {used:?}");
    }
}

/// Sends requests for a while, one after the other and sometimes several together. Returns how many of them server 0
/// got, which always answers after `latency`, and the number of all.
fn send_requests(latency: Millis) -> (usize, usize) {
    let (mut table, mut now) = (table(), Time(0));
    let (mut tried, mut sent) = (0, 0);
    for round in 1..=30_000 {
        let at_once = if round % 500 == 0 { 8 } else { 1 };
        let count = send_round(&mut table, at_once, (0, latency), now);
        assert!(count <= 1, "{count} of {at_once} requests at once went to the slow server");
        (tried, sent) = (tried + count, sent + at_once);
        now = now.after(if count == 0 { ROUND } else { latency });
    }
    (tried, sent)
}

/// Guards against slow servers that get many requests, or several together, to find out whether they still are slow.
#[test]
fn a_slow_server_is_tried_with_one_request_and_the_more_rarely_the_slower_it_is() {
    let [(fast_tries, fast_sent), (slow_tries, slow_sent)] =
        [Millis(60), Millis(2_000)].map(send_requests);
    let (fast, slow) = (fast_tries * slow_sent, slow_tries * fast_sent);
    assert!(
        0 < slow_tries && slow < fast,
        "{fast_tries} of {fast_sent}, {slow_tries} of {slow_sent}"
    );
}
