//! Shares: floors, leased parts, slots and shards never add up to more than the cap.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use rstest::rstest;
use th_protocol::{
    AttemptId, BackendId, Bundle, Connections, Incarnation, Link, LinkId, Mbit, Millis, Permille,
    Reason, Region, RegionId, Revision, Service, ServiceId, Slots as Count, Target, Time, VmId,
    Zone, ZoneId,
};
use th_steer::limit::{
    Answer, Cap, CapId, CapTable, Floor, Lease, LeaseHolder, LeaseHolderSettings, LedgerEntry,
    Need, Part, PartRequest, Revisioned, ShardClaim, ShardSlot, Share, SlotError, SlotLimit, Slots,
    Splitter, StoreAction, fair_share, may_claim, split_evenly,
};

fn zone(i: usize) -> ZoneId {
    format!("z{i}").parse().expect("valid id")
}

fn vm(name: &str) -> VmId {
    name.parse().expect("valid id")
}

fn region_cap() -> CapId {
    CapId::Region("r".parse().expect("valid id"))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]

    #[test]
    fn floors_and_leasable_part_sum_up_to_the_cap(
        total: u64,
        stated in prop::collection::vec(any::<u32>(), 0..6),
        zones in 0usize..6,
    ) {
        let floors: BTreeMap<_, _> =
            stated.iter().enumerate().map(|(i, share)| (zone(i), Permille(*share))).collect();
        let ids: Vec<_> = (0..zones).map(zone).collect();
        let cap = Cap::new(total, &floors, &ids.iter().collect::<Vec<_>>());
        let sum: u128 = cap.floors.values().map(|floor| u128::from(*floor)).sum();
        prop_assert_eq!(sum + u128::from(cap.leasable), u128::from(total));
    }

    #[test]
    fn even_parts_sum_up_to_the_total(total: u64, count in 1u32..50) {
        let sum: u128 = (0..count).map(|i| u128::from(split_evenly(total, count, i))).sum();
        prop_assert_eq!(sum, u128::from(total));
        prop_assert_eq!(split_evenly(total, count, count), 0);
    }

    #[test]
    fn fair_shares_use_all_demand_or_the_whole_total(
        total: u64,
        wants in prop::collection::vec(any::<u64>(), 1..8),
    ) {
        let map: BTreeMap<_, _> =
            wants.iter().enumerate().map(|(i, want)| (zone(i), *want)).collect();
        let mut sum = 0u128;
        for (id, want) in &map {
            let share = fair_share(total, &map, id);
            prop_assert!(share <= *want);
            sum += u128::from(share);
        }
        let wanted: u128 = wants.iter().map(|want| u128::from(*want)).sum();
        prop_assert_eq!(sum, wanted.min(u128::from(total)));
    }

    /// Requests, lost answers and expiry in any order: the VMs' usable parts stay within the grant.
    #[test]
    fn split_parts_stay_within_the_grant(
        asks in prop::collection::vec((0usize..4, 0u64..20, 0u64..30, any::<bool>()), 1..100),
    ) {
        const TOTAL: u64 = 16;
        let mut splitter = Splitter::default();
        let mut shares = [Share::default(); 4];
        let mut now = Time::ZERO;
        for (i, want, gap, lost) in asks {
            now = now.after(Millis(gap));
            let request = PartRequest { vm: vm(&format!("v{i}")), cap: region_cap(), want };
            let answer = splitter.on_request(&request, TOTAL, now.after(Millis(50)), now, Millis(5));
            if !lost {
                shares[i].on_part(answer.part(now));
            }
            let sum: u64 = shares.iter().map(|share| share.spendable(now, Millis::ZERO)).sum();
            prop_assert!(sum <= TOTAL);
            prop_assert!(sum <= splitter.outstanding(now));
        }
    }

    /// Random attempts on a share whose leased part is granted and expires repeatedly: the work that
    /// still runs after the expiry fits the floor.
    #[test]
    fn work_ends_with_the_part_it_was_admitted_on(
        attempts in prop::collection::vec((0u64..20, 1u64..60), 1..100),
    ) {
        let mut running: Vec<u64> = Vec::new();
        for (i, (gap, span)) in attempts.iter().enumerate() {
            let now = Time(i as u64 * 5 + gap);
            running.retain(|until| now.0 < *until);
            let round = now.0 / 100 * 100;
            let part = Part { amount: 3, requested: Time(round), expiry: Time(round + 70) };
            let share = Share { floor: 2, part };
            if (running.len() as u64) < share.spendable(now, Millis(*span)) {
                running.push(now.0 + span);
            }
            let expiry = round + 70;
            let after = running.iter().filter(|until| expiry < **until).count();
            prop_assert!(expiry <= now.0 || after <= 2, "{} attempts run past the expiry", after);
        }
    }

    #[test]
    fn floors_never_exceed_the_cap_while_bundles_roll(rolls in rolls()) {
        prop_assert!(max_spent(&rolls, MAX_DELAY) <= 10);
    }

    #[test]
    fn slots_stay_under_each_limit(
        steps in prop::collection::vec((0u64..12, 0usize..3, any::<bool>()), 1..200),
    ) {
        const LIMIT: SlotLimit = SlotLimit { region: 5, service: 4, backend: 2 };
        let (service, region) = ids();
        let mut slots = Slots::default();
        let mut held = BTreeSet::new();
        for (attempt, i, take) in steps {
            let backend: BackendId = format!("b{i}").parse().expect("valid id");
            let id = AttemptId(attempt);
            if take {
                let answer = slots.acquire(id, &service, &region, &backend, LIMIT);
                prop_assert!(answer.is_err() || held.insert(attempt));
            } else {
                prop_assert_eq!(slots.release(id).is_ok(), held.remove(&attempt));
            }
            prop_assert_eq!(slots.held(), Count(held.len() as u32));
            prop_assert_eq!(slots.used(&region_cap()), held.len() as u64);
            prop_assert!(held.len() <= 4 && slots.backend(&backend) <= 2);
        }
    }

    #[test]
    fn extreme_times_never_add_an_expired_part(floor: u64, amount: u64, times: [u64; 4]) {
        let [requested, expiry, now, span] = times;
        let part = Part { amount, requested: Time(requested), expiry: Time(expiry) };
        let got = Share { floor, part }.spendable(Time(now), Millis(span));
        let ends = now.checked_add(span).is_some_and(|end| end < expiry);
        let full = floor.saturating_add(amount);
        prop_assert_eq!(got, if ends && requested <= now { full } else { floor });
    }
}

fn ids() -> (ServiceId, RegionId) {
    ("s".parse().expect("valid id"), "r".parse().expect("valid id"))
}

/// Upper bound of the delay with which a VM applies a bundle, in ticks.
const MAX_DELAY: u64 = 7;

/// Time since the previous roll, the floor of the first of two VMs, and each VM's delay.
type Roll = (u64, u64, [u64; 2]);

fn rolls() -> impl Strategy<Value = Vec<Roll>> {
    prop::collection::vec((0u64..20, 0u64..=10, [0..MAX_DELAY, 0..MAX_DELAY]), 1..40)
}

/// Rolls bundles that move a cap of ten between two VMs; returns the largest amount that both may
/// use at the same time.
fn max_spent(rolls: &[Roll], wait: u64) -> u64 {
    let mut floors = [Floor::new(5), Floor::new(5)];
    let mut due: [Vec<(u64, u64)>; 2] = Default::default();
    let mut at = 0;
    for (gap, first, delays) in rolls {
        at += gap;
        for (i, amount) in [*first, 10 - first].into_iter().enumerate() {
            // A VM never returns to an earlier bundle.
            let last = due[i].last().map_or(0, |(when, _)| *when);
            due[i].push((last.max(at + delays[i]), amount));
        }
    }
    let mut most = 0;
    for now in 0..at + 50 {
        for (floor, due) in floors.iter_mut().zip(&due) {
            for (_, amount) in due.iter().filter(|(when, _)| *when == now) {
                floor.set(*amount, Millis(wait), Time(now));
            }
        }
        most = most.max(floors.iter().map(|floor| floor.get(Time(now))).sum());
    }
    most
}

#[test]
fn floors_that_rise_too_soon_exceed_the_cap() {
    let violation = TestRunner::deterministic().run(&rolls(), |rolls| {
        prop_assert!(max_spent(&rolls, MAX_DELAY / 2) <= 10);
        Ok(())
    });
    println!("{}", violation.expect_err("one VM raises its floor before the other has lowered it"));
}

#[test]
fn a_cap_table_lists_floors_of_the_data_centres_that_use_each_cap() {
    let (service, region) = ids();
    let mut bundle = Bundle::default();
    let floors = BTreeMap::from([(zone(0), Permille(333))]);
    bundle.regions.insert(region.clone(), Region { cap: Count(10), floors });
    bundle.regions.insert("q".parse().expect("valid id"), Region::default());
    for (i, place) in ["r", "r", "q"].into_iter().enumerate() {
        let place = place.parse().expect("valid id");
        bundle.zones.insert(zone(i), Zone { region: place, shards: 1 });
    }
    let target = Target { weight: 1, cap: Count(7) };
    let regions = BTreeMap::from([(region.clone(), target)]);
    bundle.services.insert(service.clone(), Service { regions, ..Service::default() });
    let link: LinkId = "l".parse().expect("valid id");
    let (cap, to) = (Mbit(280), "q".parse().expect("valid id"));
    let floors = BTreeMap::new();
    let stated = Link { from: region.clone(), to, cap, delay: Millis(20), floors };
    bundle.links.insert(link.clone(), stated);

    let table = CapTable::new(&bundle);
    let get = |id| table.get(&id).expect("cap is configured").clone();
    let stated = get(CapId::Region(region.clone()));
    assert_eq!((stated.total, stated.floor(&zone(0), 1, 0), stated.leasable), (10, 3, 7));
    let stated = get(CapId::Service(service, region));
    assert_eq!((stated.total, stated.floor(&zone(0), 1, 0), stated.leasable), (7, 2, 5));
    // 280 Mbit/s are 3.5 MB per 100 ms, split between the sending region's data centres.
    let stated = get(CapId::Link(link));
    assert_eq!(stated.floors, BTreeMap::from([(zone(0), 1_750_000), (zone(1), 1_750_000)]));
    assert_eq!(stated.leasable, 0);
}

#[test]
fn a_double_release_is_an_error() {
    let (service, region) = ids();
    let backend: BackendId = "b".parse().expect("valid id");
    let limit = SlotLimit { region: 1, service: 1, backend: 1 };
    let mut slots = Slots::default();
    slots.acquire(AttemptId(1), &service, &region, &backend, limit).expect("a slot is free");
    let rejection = slots.acquire(AttemptId(2), &service, &region, &backend, limit);
    assert_eq!(rejection.expect_err("cap is used up").reason, Reason::RegionCap);
    assert_eq!(slots.release(AttemptId(1)), Ok(()));
    assert_eq!(slots.release(AttemptId(1)), Err(SlotError::NotHeld(AttemptId(1))));
    slots.connect(&backend, Connections(1)).expect("one connection is allowed");
    assert!(slots.connect(&backend, Connections(1)).is_err());
    assert_eq!(slots.disconnect(&backend), Ok(()));
    assert_eq!(slots.disconnect(&backend), Err(SlotError::NotOpen(backend)));
}

#[rstest]
#[case::ends_before(49, 5)]
#[case::ends_with_it(50, 2)]
#[case::endless(u64::MAX, 2)]
fn a_part_admits_only_work_that_ends_before_it_expires(#[case] span: u64, #[case] expected: u64) {
    let part = Part { amount: 3, requested: Time(0), expiry: Time(50) };
    assert_eq!(Share { floor: 2, part }.spendable(Time(0), Millis(span)), expected);
}

#[rstest]
#[case::equal(&[10, 10], &[5, 5])]
#[case::small_request_is_met(&[2, 10], &[2, 8])]
#[case::large_ones_share(&[9, 1, 9], &[4, 1, 5])]
fn demand_is_shared_max_min_fairly(#[case] wants: &[u64], #[case] expected: &[u64]) {
    let map: BTreeMap<_, _> = wants.iter().enumerate().map(|(i, it)| (zone(i), *it)).collect();
    let got: Vec<_> = map.keys().map(|id| fair_share(10, &map, id)).collect();
    assert_eq!(got, expected);
}

#[test]
fn an_older_part_does_not_replace_a_newer_one() {
    let newer = Part { amount: 1, requested: Time(20), expiry: Time(50) };
    let mut share = Share { floor: 0, part: newer };
    share.on_part(Part { amount: 9, requested: Time(10), expiry: Time(90) });
    assert_eq!(share.part, newer);
}

#[rstest]
#[case::unowned(None, &["me"], true)]
#[case::not_listed_yet(None, &[], false)]
#[case::owner_is_listed(Some(("other", 1)), &["me", "other"], false)]
#[case::owner_not_listed(Some(("other", 1)), &["me"], true)]
#[case::earlier_start(Some(("me", 1)), &["me"], true)]
#[case::later_start(Some(("me", 3)), &["me"], false)]
fn a_shard_is_claimed_only_from_a_stopped_owner(
    #[case] found: Option<(&str, u64)>,
    #[case] listed: &[&str],
    #[case] expected: bool,
) {
    let claim = |name, start| ShardClaim { vm: vm(name), incarnation: Incarnation(start) };
    let found = found.map(|(name, start)| claim(name, start));
    let listed: BTreeSet<_> = listed.iter().map(|name| vm(name)).collect();
    assert_eq!(may_claim(found.as_ref(), &claim("me", 2), &listed), expected);
}

#[test]
fn a_claim_with_a_lost_answer_is_owned_once_read_back() {
    let me = ShardClaim { vm: vm("me"), incarnation: Incarnation(1) };
    let listed = BTreeSet::from([vm("me")]);
    let mut slot = ShardSlot::default();
    let write = slot.on_read(None, &me, &listed, Millis(10), Time(0));
    assert_eq!(write, Some(None));
    slot.on_write(&Answer::Unknown, Millis(10), Time(1));
    assert!(!slot.usable(Time(1000)));
    slot.on_read(Some((&me, Revision(4))), &me, &listed, Millis(10), Time(2));
    assert!(slot.usable(Time(2)));
}

/// The only valid lease of another holder.
const LIVE: Lease = Lease(5);

/// Answers the holder's store calls immediately, from one ledger.
fn answer_actions(
    holder: &mut LeaseHolder,
    ledger: &mut Revisioned,
    actions: Vec<StoreAction>,
    now: Time,
) {
    for action in actions {
        match action {
            StoreAction::TakeLease(_) => holder.on_lease(Answer::Applied(Lease(1))),
            StoreAction::Claim(..) => holder.on_claim(Answer::Applied(Revision(1))),
            StoreAction::KeepAlive(_) => holder.on_keep_alive(Answer::Applied(())),
            StoreAction::ReadLead(_, lease) => {
                holder.on_lead(Some((lease == LIVE).then_some(lease)), now);
            }
            StoreAction::ReadLedger(cap) => holder.on_read(&cap, Some(ledger.clone())),
            StoreAction::WriteLedger(cap, write) => {
                let revision = Revision(ledger.revision.map_or(1, |it| it.0 + 1));
                *ledger = Revisioned { revision: Some(revision), ledger: write.ledger };
                holder.on_write(&cap, Answer::Applied(revision));
            }
        }
    }
}

/// Ten minutes of one data centre whose demand for 23 caps changes at every tick.
#[test]
fn ledger_writes_stay_under_the_rate_limit() {
    let settings = LeaseHolderSettings::default();
    let mut holder = LeaseHolder::new(zone(0), settings);
    let mut ledgers: BTreeMap<CapId, Revisioned> = BTreeMap::new();
    let mut writes = 0u64;
    let span = 600_000;
    for now in (0..span).step_by(100) {
        let mut needs = BTreeMap::new();
        for i in 0..23u64 {
            let cap = CapId::Link(format!("l{i}").parse().expect("valid id"));
            needs.insert(cap, Need { total: 100, want: (now / 100 + i) % 100, outstanding: 0 });
        }
        for action in holder.on_tick(&needs, Time(now)) {
            let reads = matches!(action, StoreAction::ReadLedger(_) | StoreAction::ReadLead(..));
            writes += u64::from(!reads);
            let mut other = Revisioned::default();
            let ledger = match &action {
                StoreAction::ReadLedger(cap) | StoreAction::WriteLedger(cap, _) => {
                    ledgers.entry(cap.clone()).or_default()
                }
                _ => &mut other,
            };
            answer_actions(&mut holder, ledger, vec![action], Time(now));
        }
    }
    let rate = writes as f64 * 1000.0 / span as f64;
    println!("{rate:.2} writes per second and data centre");
    // Six data centres together stay under 100 writes per second.
    assert!(rate * 6.0 < 100.0);
}

#[test]
fn a_lease_expires_a_ttl_after_its_request_was_sent() {
    let settings = LeaseHolderSettings::default();
    let mut holder = LeaseHolder::new(zone(0), settings);
    let needs = BTreeMap::new();
    let sent = Time(1_000);
    assert_eq!(holder.on_tick(&needs, sent), [StoreAction::TakeLease(settings.ttl)]);
    holder.on_lease(Answer::Applied(Lease(1)));
    assert_eq!(holder.on_tick(&needs, Time(9_000)), [StoreAction::Claim(zone(0), Lease(1))]);
    holder.on_claim(Answer::Applied(Revision(1)));
    let expiry = sent.after(settings.ttl);
    assert_eq!(holder.lease(Time(9_000)), Some((Lease(1), expiry)));

    let sent = Time(15_000);
    assert_eq!(holder.on_tick(&needs, sent), [StoreAction::KeepAlive(Lease(1))]);
    assert_eq!(holder.on_tick(&needs, Time(25_000)), []);
    holder.on_keep_alive(Answer::Applied(()));
    let expiry = sent.after(settings.ttl);
    assert_eq!(holder.lease(Time(25_000)), Some((Lease(1), expiry)));
    assert_eq!(holder.lease(expiry), None);
}

#[test]
fn an_expired_grant_is_reclaimed_only_after_the_drift() {
    let settings = LeaseHolderSettings::default();
    let entry = LedgerEntry { amount: 6, want: 6, lease: Lease(7) };
    let mut ledger = Revisioned { revision: Some(Revision(1)), ..Revisioned::default() };
    ledger.ledger.entries.insert(zone(9), entry);
    // An entry with a valid lease comes first and must not stop the holder from checking the next.
    ledger.ledger.entries.insert(zone(1), LedgerEntry { amount: 4, want: 4, lease: LIVE });
    let mut holder = LeaseHolder::new(zone(0), settings);
    let needs = BTreeMap::from([(region_cap(), Need { total: 10, want: 6, outstanding: 0 })]);
    let mut first = None;
    for now in (0..10_000).step_by(100) {
        let actions = holder.on_tick(&needs, Time(now));
        answer_actions(&mut holder, &mut ledger, actions, Time(now));
        let (amount, _) = holder.spendable(&region_cap(), Time(now));
        if amount == 6 && first.is_none() {
            first = Some(Time(now));
        }
    }
    assert!(Time::ZERO.after(settings.drift) <= first.expect("the expired grant is reclaimed"));
}
