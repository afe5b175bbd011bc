//! Queues under overload: goodput, deadlines, fairness and bounds.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{Bytes, Millis, Permille, Reason, Slots, Time};
use th_steer::queue::{Popped, Queue, QueueOrder, QueueSettings, QueuedRequest};

const SEEDS: [u64; 5] = [5, 6, 7, 8, 9];
const SLOTS: Slots = Slots(8);
const MEAN: Millis = Millis(40);
const TAIL: Millis = Millis(115);
const DEADLINE: Millis = Millis(500);
const RUN_MS: u64 = 60_000;
const WHOLE: Permille = Permille::WHOLE;
const HALF: Permille = Permille(500);

fn request(customer: &str, deadline: Time, item: u64) -> QueuedRequest<u64> {
    QueuedRequest {
        customer: (!customer.is_empty()).then(|| customer.parse().unwrap()),
        deadline,
        service_time: MEAN,
        tail_latency: TAIL,
        size: Bytes(100),
        item,
    }
}

/// A queue under test: this crate's, or a plain FIFO queue without deadlines.
enum TestQueue {
    Fifo(VecDeque<QueuedRequest<u64>>),
    Fair(Queue<u64>),
}

impl TestQueue {
    /// Adds a request and returns the items of the requests that are rejected or evicted.
    fn push(&mut self, request: QueuedRequest<u64>, now: Time) -> Vec<u64> {
        match self {
            TestQueue::Fifo(queue) => {
                let full = 1_024 <= queue.len();
                let rejected = full.then_some(request.item);
                if !full {
                    queue.push_back(request);
                }
                rejected.into_iter().collect()
            }
            TestQueue::Fair(queue) => {
                let pushed = queue.push(request, SLOTS, now);
                let mut rejected: Vec<_> = pushed.evicted.into_iter().map(|it| it.item).collect();
                rejected.extend(pushed.outcome.err().map(|it| it.item));
                rejected
            }
        }
    }

    fn pop(&mut self, now: Time) -> (Option<QueuedRequest<u64>>, Vec<u64>) {
        match self {
            TestQueue::Fifo(queue) => (queue.pop_front(), Vec::new()),
            TestQueue::Fair(queue) => {
                let Popped { next, expired } = queue.pop(now);
                (next, expired.into_iter().map(|it| it.item).collect())
            }
        }
    }
}

#[derive(Debug, Default)]
struct Stats {
    offered: u64,
    good: u64,
    missed: u64,
    rejected: u64,
    /// Requests that were rejected only after a wait.
    late: u64,
    waits: Vec<u64>,
}

impl Stats {
    fn wait(&mut self, share: usize) -> u64 {
        self.waits.sort_unstable();
        self.waits[(self.waits.len() - 1) * share / 1_000]
    }
}

/// Offers `load` thousandths of the capacity for a minute of virtual time, in steps of 1 ms. The
/// item of a request is its arrival time. The queue gets `estimate` of the true mean and tail
/// latency as its expected times.
fn run(mut queue: TestQueue, load: u64, seed: u64, estimate: Permille) -> Stats {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let chance = load as f64 / 1_000.0 * f64::from(SLOTS.0) / MEAN.0 as f64;
    let mut stats = Stats::default();
    let mut busy: Vec<u64> = Vec::new();
    for now in 0..RUN_MS {
        busy.retain(|end| now < *end);
        let mut rejected = Vec::new();
        if rng.random_bool(chance) {
            stats.offered += 1;
            let mut request = request("", Time(now).after(DEADLINE), now);
            request.service_time = Millis(estimate.of(MEAN.0));
            request.tail_latency = Millis(estimate.of(TAIL.0));
            rejected.extend(queue.push(request, Time(now)));
        }
        while busy.len() < SLOTS.0 as usize {
            let (next, expired) = queue.pop(Time(now));
            rejected.extend(expired);
            let Some(next) = next else { break };
            let excess = -20.0 * (1.0 - rng.random::<f64>()).ln();
            let end = now + 20 + excess as u64;
            busy.push(end);
            stats.waits.push(now - next.item);
            let good = Time(end) <= next.deadline;
            stats.good += u64::from(good);
            stats.missed += u64::from(!good);
        }
        for arrival in rejected {
            stats.rejected += 1;
            stats.late += u64::from(arrival < now);
        }
    }
    stats
}

fn fifo() -> TestQueue {
    TestQueue::Fifo(VecDeque::new())
}

fn fair(order: QueueOrder, wait_share: u32) -> TestQueue {
    let wait_share = Permille(wait_share);
    TestQueue::Fair(Queue::new(QueueSettings { order, wait_share, ..Default::default() }))
}

#[rstest]
#[case::fifo("fifo", WHOLE, fifo, false, true)]
#[case::default("oldest, wait share 250", WHOLE, || fair(QueueOrder::Oldest, 250), true, true)]
#[case::wait_share_500("oldest, wait share 500", WHOLE, || fair(QueueOrder::Oldest, 500), true, true)]
#[case::wait_share_1000("oldest, wait share 1000", WHOLE, || fair(QueueOrder::Oldest, 1_000), true, false)]
#[case::newest("newest", WHOLE, || fair(QueueOrder::Newest, 250), true, false)]
#[case::low_estimates("oldest, wait share 250", HALF, || fair(QueueOrder::Oldest, 250), true, true)]
#[case::low_estimates_500("oldest, wait share 500", HALF, || fair(QueueOrder::Oldest, 500), false, false)]
fn goodput_holds_at_twice_the_capacity(
    #[case] name: &str,
    #[case] estimate: Permille,
    #[case] queue: fn() -> TestQueue,
    #[case] holds: bool,
    #[case] prompt: bool,
) {
    for seed in SEEDS {
        let full = run(queue(), 1_000, seed, estimate);
        let mut twice = run(queue(), 2_000, seed, estimate);
        let started = twice.good + twice.missed;
        let (p50, p99) = (twice.wait(500), twice.wait(990));
        println!(
            "{name}, seed {seed}, estimate {estimate}: good {} at 1.0, {} at 2.0 of {}; missed {} of {started} started; \
         rejected {}, of them late {}; wait p50 {p50} ms, p99 {p99} ms",
            full.good, twice.good, twice.offered, twice.missed, twice.rejected, twice.late,
        );
        let goodput = full.good * 95 <= twice.good * 100;
        let on_time = twice.missed * 100 < started;
        assert_eq!(goodput && on_time, holds, "seed {seed}");
        assert_eq!(twice.late * 100 < twice.rejected, prompt, "seed {seed}");
    }
}

/// Counts the requests of each customer that are served from a queue which all customers keep full.
fn served(weights: &[(&str, u32)], pushes: &[&str], pops: usize) -> BTreeMap<String, u64> {
    let settings = QueueSettings { max_length: 32, ..Default::default() };
    let mut queue = Queue::new(settings);
    let weights = weights.iter().map(|(id, weight)| (id.parse().unwrap(), *weight)).collect();
    queue.set_weights(&weights);
    let mut served = BTreeMap::new();
    for _ in 0..pops {
        for customer in pushes {
            queue.push(request(customer, Time(60_000), 0), SLOTS, Time(0));
        }
        let next = queue.pop(Time(0)).next.unwrap();
        *served.entry(next.customer.unwrap().to_string()).or_default() += 1;
    }
    served
}

#[rstest]
#[case::burst(&[("a", 1), ("b", 1)], &["a", "a", "a", "a", "a", "b"], &[300, 300])]
#[case::weights(&[("a", 1), ("b", 2)], &["a", "a", "b", "b"], &[200, 400])]
fn slots_are_shared_by_weight(
    #[case] weights: &[(&str, u32)],
    #[case] pushes: &[&str],
    #[case] shares: &[u64],
) {
    let served: Vec<u64> = served(weights, pushes, 600).into_values().collect();
    for (got, share) in served.iter().zip(shares) {
        assert!(got.abs_diff(*share) <= 2, "{served:?} for {shares:?}");
    }
}

#[test]
fn a_burst_leaves_capacity_for_other_customers() {
    let settings = QueueSettings { max_length: 4, ..Default::default() };
    let mut queue = Queue::new(settings);
    queue.set_weights(&BTreeMap::from([("a".parse().unwrap(), 1), ("b".parse().unwrap(), 1)]));
    for item in 0..4 {
        let pushed = queue.push(request("a", Time(60_000), item), SLOTS, Time(0));
        assert!(pushed.outcome.is_ok());
    }
    let pushed = queue.push(request("b", Time(60_000), 9), SLOTS, Time(0));
    assert!(pushed.outcome.is_ok());
    let evicted: Vec<_> = pushed.evicted.iter().map(|it| (it.item, it.reason)).collect();
    assert_eq!(evicted, [(3, Reason::QueueFull)]);
    let more = queue.push(request("a", Time(60_000), 5), SLOTS, Time(0));
    assert_eq!(more.outcome.unwrap_err().reason, Reason::QueueFull);
}

#[test]
fn a_request_that_cannot_finish_is_rejected_at_once_with_a_retry_hint() {
    let mut queue = Queue::new(QueueSettings::default());
    let late = queue.push(request("", Time(114), 0), SLOTS, Time(0)).outcome.unwrap_err();
    assert_eq!((late.reason, late.retry_after), (Reason::Deadline, MEAN));
    for item in 0..16 {
        assert!(queue.push(request("", Time(60_000), item), SLOTS, Time(0)).outcome.is_ok());
    }
    let wait = queue.expected_wait(None, SLOTS);
    assert_eq!(wait, Millis(80));
    let tight = queue.push(request("", Time(215), 16), SLOTS, Time(0)).outcome.unwrap_err();
    assert_eq!((tight.reason, tight.retry_after), (Reason::Deadline, Millis(55)));
    assert!(queue.push(request("", Time(435), 17), SLOTS, Time(0)).outcome.is_ok());
    let expired = queue.expire(Time(321));
    assert_eq!(expired.iter().map(|it| it.item).collect::<Vec<_>>(), [17]);
}

#[derive(Debug, Clone)]
enum Step {
    Push(u8, u64, u64),
    Pop(u64),
    Cancel(usize),
    Weights(u8, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u8..4, 0_u64..600, 0_u64..400)
            .prop_map(|(customer, remaining, size)| Step::Push(customer, remaining, size)),
        (0_u64..50).prop_map(Step::Pop),
        (0_usize..20).prop_map(Step::Cancel),
        (0_u8..4, 0_u32..5).prop_map(|(customer, weight)| Step::Weights(customer, weight)),
    ]
}

proptest! {
    /// Each request leaves the queue exactly once, the queue stays within its limits, and no
    /// request starts too late to finish in time.
    #[test]
    fn no_request_is_lost_or_late(steps in prop::collection::vec(step(), 1..120)) {
        let settings = QueueSettings { max_length: 8, max_bytes: Bytes(1_000), ..Default::default() };
        let mut queue = Queue::new(settings.clone());
        let (mut now, mut count) = (Time(0), 0_u64);
        let mut ids = Vec::new();
        let mut ended = Vec::new();
        let mut weights = BTreeMap::new();
        for step in steps {
            match step {
                Step::Push(customer, remaining, size) => {
                    let mut request = request(["", "a", "b", "c"][customer as usize], now.after(Millis(remaining)), count);
                    request.size = Bytes(size);
                    count += 1;
                    let pushed = queue.push(request, SLOTS, now);
                    ended.extend(pushed.evicted.into_iter().map(|it| it.item));
                    match pushed.outcome {
                        Ok(id) => ids.push(id),
                        Err(rejection) => ended.push(rejection.item),
                    }
                }
                Step::Pop(pause) => {
                    now = now.after(Millis(pause));
                    let popped = queue.pop(now);
                    ended.extend(popped.expired.into_iter().map(|it| it.item));
                    if let Some(next) = popped.next {
                        prop_assert!(now.after(next.tail_latency) <= next.deadline);
                        ended.push(next.item);
                    }
                }
                Step::Cancel(at) => {
                    let cancelled = ids.get(at).and_then(|id| queue.cancel(*id));
                    ended.extend(cancelled.map(|it| it.item));
                }
                Step::Weights(customer, weight) => {
                    weights.insert(["d", "a", "b", "c"][customer as usize].parse().unwrap(), weight);
                    queue.set_weights(&weights);
                }
            }
            prop_assert!(queue.len() <= settings.max_length && queue.bytes() <= settings.max_bytes);
        }
        while let Some(next) = queue.pop(now).next {
            ended.push(next.item);
        }
        let rest = queue.expire(Time(u64::MAX));
        ended.extend(rest.into_iter().map(|it| it.item));
        ended.sort_unstable();
        prop_assert_eq!(ended, (0..count).collect::<Vec<_>>());
        prop_assert!(queue.is_empty() && queue.bytes() == Bytes::ZERO);
    }
}
