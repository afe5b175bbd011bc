//! Tests of the distribution of bundles: versions only rise, only changed parts are fetched, from
//! any source that has them, within a budget.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{BundleHead, Bytes, Digest, Millis, Time, Version};
use th_steer::member::{
    FetchResult, ManifestInfo, NotReady, RejectedHead, ServeBudget, Source, Spread, SpreadAction,
    SpreadSettings,
};

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(11)
}

fn head(version: u64, content: u8) -> BundleHead {
    BundleHead { version: Version(version), digest: Digest::from_bytes([content; 32]) }
}

fn peer(i: usize) -> Source {
    Source::Peer(format!("entry-{i}").parse().unwrap())
}

fn part(i: u8) -> Digest {
    Digest::from_bytes([i; 32])
}

fn start(rng: &mut ChaCha8Rng) -> Spread {
    let settings = SpreadSettings { jitter: Millis(0), ..SpreadSettings::default() };
    Spread::new(settings, Time(0), rng)
}

/// Answers all fetches and returns the parts that were fetched.
fn serve(spread: &mut Spread, parts: &[u8], now: Time, rng: &mut ChaCha8Rng) -> Vec<Digest> {
    let mut fetched = Vec::new();
    for _ in 0..8 {
        for action in spread.tick(false, now, rng) {
            match action {
                SpreadAction::FetchManifest { head, from } => {
                    let parts = parts.iter().map(|i| part(*i)).collect();
                    let valid = FetchResult::Good(ManifestInfo { head, parts });
                    spread.on_manifest(head, &from, valid, now, rng);
                }
                SpreadAction::FetchPart { digest, from } => {
                    fetched.push(digest);
                    spread.on_part(digest, &from, FetchResult::Good(()), now, rng);
                }
                _ => {}
            }
        }
    }
    fetched
}

fn spread_with_bundle(version: u64, rng: &mut ChaCha8Rng) -> Spread {
    let mut spread = start(rng);
    spread.on_head(peer(1), head(version, version as u8));
    serve(&mut spread, &[1, 2, 3], Time(0), rng);
    assert_eq!(spread.ready(), Ok(head(version, version as u8)));
    spread
}

#[test]
fn only_changed_parts_are_fetched() {
    let mut rng = rng();
    let mut spread = spread_with_bundle(4, &mut rng);
    spread.on_head(peer(1), head(5, 5));
    assert_eq!(serve(&mut spread, &[1, 2, 9], Time(10), &mut rng), [part(9)]);
    assert_eq!(spread.head(), Some(head(5, 5)));
}

#[rstest]
#[case::older(head(3, 3), None)]
#[case::same(head(4, 4), None)]
#[case::conflict(head(4, 7), Some(RejectedHead::Conflict(head(4, 7))))]
fn what_is_not_newer_is_not_fetched(
    #[case] seen: BundleHead,
    #[case] rejected: Option<RejectedHead>,
) {
    let mut rng = rng();
    let mut spread = spread_with_bundle(4, &mut rng);
    spread.on_head(Source::Store, seen);
    assert!(spread.tick(false, Time(10), &mut rng).is_empty());
    assert_eq!(spread.head(), Some(head(4, 4)));
    assert_eq!(spread.rejected().last().copied(), rejected);
}

#[test]
fn an_unsigned_bundle_is_rejected_once_and_a_lower_valid_one_applied() {
    let mut rng = rng();
    let mut spread = spread_with_bundle(4, &mut rng);
    spread.on_head(peer(1), head(5, 5));
    spread.on_head(peer(2), head(9, 9));
    let actions = spread.tick(false, Time(10), &mut rng);
    assert_eq!(actions, [SpreadAction::FetchManifest { head: head(9, 9), from: peer(2) }]);
    spread.on_manifest(head(9, 9), &peer(2), FetchResult::Unsigned, Time(10), &mut rng);
    spread.on_head(peer(3), head(9, 9));
    serve(&mut spread, &[1, 2, 4], Time(20), &mut rng);
    assert_eq!(spread.head(), Some(head(5, 5)));
    assert_eq!(spread.rejected(), [RejectedHead::Unsigned(head(9, 9))]);
}

#[rstest]
#[case::missing(FetchResult::Missing, 10)]
#[case::corrupt(FetchResult::Corrupt, 10)]
#[case::busy(FetchResult::Busy, 600)]
fn a_source_that_does_not_serve_is_replaced(
    #[case] end: FetchResult<ManifestInfo>,
    #[case] wait: u64,
) {
    let mut rng = rng();
    let mut spread = spread_with_bundle(4, &mut rng);
    spread.on_head(peer(1), head(5, 5));
    spread.on_head(peer(2), head(5, 5));
    let first = spread.tick(false, Time(10), &mut rng);
    let [SpreadAction::FetchManifest { from, .. }] = &first[..] else { panic!("{first:?}") };
    spread.on_manifest(head(5, 5), from, end, Time(10), &mut rng);
    let second = spread.tick(false, Time(10 + wait), &mut rng);
    let [SpreadAction::FetchManifest { from: other, .. }] = &second[..] else {
        panic!("{second:?}")
    };
    assert_ne!(from, other);
}

#[test]
fn a_fetch_without_an_answer_goes_to_another_source() {
    let mut rng = rng();
    let mut spread = spread_with_bundle(4, &mut rng);
    spread.on_head(peer(1), head(5, 5));
    spread.on_head(peer(2), head(5, 5));
    assert_eq!(spread.tick(false, Time(10), &mut rng).len(), 1);
    assert!(spread.tick(false, Time(1_009), &mut rng).is_empty());
    assert_eq!(spread.tick(false, Time(1_010), &mut rng).len(), 1);
}

/// Guards against parts that never arrive over a narrow link, because the same bytes are fetched again beside themselves
/// while they arrive.
#[test]
fn a_part_has_the_time_of_its_transfer_before_it_is_fetched_elsewhere_too() {
    let mut rng = rng();
    let mut spread = spread_with_bundle(4, &mut rng);
    spread.on_head(peer(1), head(5, 5));
    spread.on_head(peer(2), head(5, 5));
    spread.tick(false, Time(0), &mut rng);
    let parts = (5..=8).map(part).collect();
    let manifest = FetchResult::Good(ManifestInfo { head: head(5, 5), parts });
    spread.on_manifest(head(5, 5), &peer(1), manifest, Time(0), &mut rng);
    let first = spread.tick(false, Time(0), &mut rng);
    // Four parts of the largest size take a link of 10 Mbit/s 4.5 s.
    assert!(spread.tick(false, Time(4_500), &mut rng).is_empty());
    let second = spread.tick(false, Time(5_000), &mut rng);
    assert_eq!((first.len(), second.len()), (4, 4));
}

/// Guards against parts that stay with a slow source, because the sources take turns in step with the parts.
#[test]
fn a_part_that_is_overdue_is_fetched_from_another_source() {
    let mut rng = rng();
    let mut spread = spread_with_bundle(4, &mut rng);
    spread.on_head(peer(1), head(5, 5));
    spread.on_head(peer(2), head(5, 5));
    spread.tick(false, Time(0), &mut rng);
    let parts = (5..=8).map(part).collect();
    let manifest = FetchResult::Good(ManifestInfo { head: head(5, 5), parts });
    spread.on_manifest(head(5, 5), &peer(1), manifest, Time(0), &mut rng);
    let first = spread.tick(false, Time(0), &mut rng);
    let second = spread.tick(false, Time(5_000), &mut rng);
    for fetch in &second {
        assert!(!first.contains(fetch), "the same source again: {fetch:?}");
    }
}

#[test]
fn a_vm_without_a_bundle_reports_why_and_fetches_the_highest() {
    let mut rng = rng();
    let mut spread = start(&mut rng);
    assert_eq!(spread.ready(), Err(NotReady::NoHead));
    assert_eq!(spread.tick(false, Time(0), &mut rng), [SpreadAction::ReadHead]);
    spread.on_head(peer(1), head(7, 7));
    spread.on_head(Source::Store, head(6, 6));
    assert_eq!(spread.ready(), Err(NotReady::NoManifest(head(7, 7))));
    let actions = spread.tick(false, Time(10), &mut rng);
    assert_eq!(actions, [SpreadAction::FetchManifest { head: head(7, 7), from: peer(1) }]);
    let valid = FetchResult::Good(ManifestInfo { head: head(7, 7), parts: vec![part(1)] });
    spread.on_manifest(head(7, 7), &peer(1), valid, Time(10), &mut rng);
    assert_eq!(spread.ready(), Err(NotReady::NoParts { head: head(7, 7), missing: 1 }));
    serve(&mut spread, &[1], Time(20), &mut rng);
    assert_eq!(spread.ready(), Ok(head(7, 7)));
}

#[test]
fn vms_that_start_together_do_not_read_together() {
    let mut rng = rng();
    let mut most = 0;
    let mut fleet = Vec::new();
    for _ in 0..2_500 {
        fleet.push(Spread::new(SpreadSettings::default(), Time(0), &mut rng));
    }
    for now in (0..2_000).step_by(50) {
        let mut reads = 0;
        for spread in &mut fleet {
            reads += spread.tick(false, Time(now), &mut rng).len();
        }
        most = most.max(reads);
    }
    // The store allows 2,000 reads per second: 100 in 50 ms, and twice that in bursts.
    assert!(most <= 200, "{most} reads in 50 ms");
}

#[test]
fn a_budget_serves_its_rate_and_no_more() {
    let mut rng = rng();
    let mut budget = ServeBudget::new(Bytes(10_000), Bytes(5_000), Time(0), &mut rng);
    let mut served = 0;
    for now in (0..60_000).step_by(10) {
        if budget.take(Bytes(1_000), Time(now)) {
            served += 1_000;
        }
    }
    assert!(served <= 60 * 10_000 + 5_000, "{served}");
    assert!(60 * 9_000 <= served, "{served}");
}

#[rstest]
#[case::peers_serve(FetchResult::Good(()), false)]
#[case::the_peer_is_busy(FetchResult::Busy, true)]
#[case::the_peer_lacks_it(FetchResult::Missing, true)]
fn the_store_is_read_only_where_peers_do_not_serve(
    #[case] end: FetchResult<()>,
    #[case] read: bool,
) {
    let mut rng = rng();
    let mut spread = start(&mut rng);
    let wanted = head(1, 1);
    spread.on_head(Source::Store, wanted);
    spread.on_head(peer(1), wanted);
    let parts = (1..=9).map(part).collect();
    spread.tick(false, Time(0), &mut rng);
    let manifest = FetchResult::Good(ManifestInfo { head: wanted, parts });
    spread.on_manifest(wanted, &peer(1), manifest, Time(0), &mut rng);
    let mut reads_store = false;
    for round in 0..12 {
        let now = Time(round * 1_000);
        for action in spread.tick(false, now, &mut rng) {
            let SpreadAction::FetchPart { digest, from } = action else { continue };
            reads_store |= from == Source::Store;
            let result = if from == Source::Store { FetchResult::Good(()) } else { end.clone() };
            spread.on_part(digest, &from, result, now, &mut rng);
        }
    }
    assert_eq!(reads_store, read);
    assert_eq!(spread.ready(), Ok(wanted));
}
