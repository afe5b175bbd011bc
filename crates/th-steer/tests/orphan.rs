//! Backend servers whose entry VM is gone while the store is away: neighbours use them within their slots.

use rstest::rstest;
use th_protocol::{LoadReport, Millis, Slots as Count, Time};
use th_steer::limit::{Evidence, OrphanSettings, OwnerSpare, neighbour_may};

#[rstest]
#[case::fresh_and_free(6_000, 1, 5_900, 0, true)]
#[case::owner_heard(4_000, 1, 3_900, 0, false)]
#[case::full(6_000, 4, 5_900, 0, false)]
#[case::old_report(9_000, 1, 5_900, 0, false)]
#[case::one_runs(6_000, 1, 5_900, 1, false)]
fn neighbours(
    #[case] now: u64,
    #[case] busy: u32,
    #[case] taken: u64,
    #[case] running: u64,
    #[case] expected: bool,
) {
    let report = LoadReport { busy: Count(busy), slots: Count(4), leaving: false };
    let evidence = Evidence { heard: Time(0), report, taken: Time(taken), ended: Time(0), running };
    let answer = neighbour_may(&evidence, &OrphanSettings::default(), Time(now));
    assert_eq!(answer.is_ok(), expected);
}

/// How neighbours use an orphaned backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// So many slots are kept free of the owner and are the neighbour's.
    Reserve(u64),
    /// One request at a time, on the backend server's load report.
    OneAtATime,
    /// The same, and an owner that is not heard leaves one slot free.
    OneAndSpare,
}

/// What an outage showed.
#[derive(Debug, Default)]
struct Outage {
    /// Slot time that the neighbour used while the owner was paused, in milliseconds.
    used: u64,
    /// Most requests at once.
    most: u64,
}

const SLOTS: u64 = 4;
const WAKE: u64 = 300_000;
const DEADLINE: Millis = Millis(2_000);

/// One backend server under more load than it takes. The owner pauses at 0 and wakes at [`WAKE`],
/// the store being down; load reports come `lag` after they were asked for, each request lasts
/// `service`.
fn outage(policy: Policy, service: u64, lag: u64) -> Outage {
    let settings = OrphanSettings::default();
    let report = LoadReport { busy: Count(0), slots: Count(SLOTS as u32), leaving: false };
    let zero = Time::ZERO;
    let mut evidence = Evidence { heard: zero, report, taken: zero, ended: zero, running: 0 };
    let mut asked = None;
    let mut seen = Outage::default();
    let mut spare = OwnerSpare::new(zero, DEADLINE);
    let (mut neighbour, mut owner): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for now in (0..WAKE + 10_000).step_by(10) {
        let before = neighbour.len();
        neighbour.retain(|until| now < *until);
        owner.retain(|until| now < *until);
        if neighbour.len() < before {
            evidence.ended = Time(now);
        }
        evidence.running = neighbour.len() as u64;
        let (at, busy) = *asked.get_or_insert((now, neighbour.len() + owner.len()));
        if at + lag <= now {
            evidence.taken = Time(at);
            evidence.report.busy = Count(busy as u32);
            asked = None;
        }
        // The owner's heartbeats reach the neighbour again a second after it wakes.
        if WAKE + 1000 <= now {
            evidence.heard = Time(now);
            spare.on_ack(Time(now), &settings, DEADLINE, Time(now));
        }
        let may = match policy {
            Policy::Reserve(kept) => (neighbour.len() as u64) < kept,
            _ => neighbour_may(&evidence, &settings, Time(now)).is_ok(),
        };
        if may {
            neighbour.push(now + service);
            seen.used += if now < WAKE { service } else { 0 };
        }
        let left = match policy {
            Policy::Reserve(kept) => kept,
            Policy::OneAtATime => 0,
            Policy::OneAndSpare => spare.slots(&settings, DEADLINE, Time(now)),
        };
        while WAKE <= now && (owner.len() as u64) < SLOTS - left {
            owner.push(now + service);
        }
        seen.most = seen.most.max((neighbour.len() + owner.len()) as u64);
    }
    seen
}

#[test]
fn an_orphaned_backend_is_used_by_neighbours() {
    for (service, lag) in [(50, 0), (50, 100), (200, 0), (200, 100), (200, 500), (1000, 100)] {
        for policy in [Policy::Reserve(1), Policy::OneAtATime, Policy::OneAndSpare] {
            let seen = outage(policy, service, lag);
            let unused = 1000 - (seen.used * 1000 / (WAKE * SLOTS)).min(1000);
            println!(
                "service {service} ms, lag {lag} ms, {policy:?}: {unused} permille unused in the \
                 pause, at most {} of {SLOTS} slots taken",
                seen.most
            );
            // The reserve is never over; without it a paused owner that wakes is over by one.
            let over = u64::from(policy == Policy::OneAtATime);
            assert!(seen.most <= SLOTS + over);
            assert!(0 < seen.used);
        }
    }
}
