//! The invariants of rolls and of the spread of bundles hold in every state, the search detects
//! faults, and the production state machine follows the model's rule.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_model::{Outcome, SpreadFault, SpreadModel, explore};
use th_protocol::{BundleHead, Digest, Millis, Time, Version};
use th_steer::member::{
    FetchResult, HeadOrder, ManifestInfo, Source, Spread, SpreadAction, SpreadSettings,
    compare_heads,
};

#[test]
fn production_rules_hold() {
    let outcome = explore(&SpreadModel::default());
    let Outcome::Holds { states } = outcome else { panic!("{outcome:?}") };
    println!("spread: {states} states");
    assert!(1_000 < states);
}

#[rstest]
#[case(SpreadFault::NoCas, "each version has a single content")]
#[case(SpreadFault::LostIsFailed, "a roll that took effect is not reported as failed")]
#[case(SpreadFault::ReadIsFinal, "a roll that took effect is not reported as failed")]
#[case(SpreadFault::AcceptsAny, "a running entry VM accepts only newer bundles")]
#[case(SpreadFault::NoGossip, "after healing all entry VMs reach the highest version")]
fn faults_are_detected(#[case] fault: SpreadFault, #[case] expected: &str) {
    let outcome = explore(&SpreadModel { fault, ..SpreadModel::default() });
    let Outcome::Violated { invariant, trace } = outcome else {
        panic!("{fault:?} was not detected")
    };
    println!("spread, {fault:?}: {trace:?}");
    assert_eq!(invariant, expected);
}

fn head(version: u64, content: u8) -> BundleHead {
    BundleHead { version: Version(version), digest: Digest::from_bytes([content; 32]) }
}

proptest! {
    /// With heads that arrive one at a time and fetches that succeed at once, the state machine holds
    /// the head that `compare_heads` accepts, and its version never decreases.
    #[test]
    fn state_machine_follows_the_model(
        seed: u64,
        heads in prop::collection::vec((0u64..6, 0u8..3), 1..40),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = SpreadSettings { jitter: Millis(0), ..SpreadSettings::default() };
        let mut spread = Spread::new(settings, Time(0), &mut rng);
        let (mut model, mut now) = (None, Time(0));
        let peer = Source::Peer("entry-1".parse().unwrap());
        for (version, content) in heads {
            let seen = head(version, content);
            spread.on_head(peer.clone(), seen);
            if compare_heads(model, seen) == HeadOrder::Newer {
                model = Some(seen);
            }
            for _ in 0..4 {
                now = now.after(Millis(10));
                for action in spread.tick(false, now, &mut rng) {
                    match action {
                        SpreadAction::FetchManifest { head, from } => {
                            let info = ManifestInfo { head, parts: vec![head.digest] };
                            spread.on_manifest(head, &from, FetchResult::Good(info), now, &mut rng);
                        }
                        SpreadAction::FetchPart { digest, from } => {
                            spread.on_part(digest, &from, FetchResult::Good(()), now, &mut rng);
                        }
                        _ => {}
                    }
                }
            }
            prop_assert_eq!(spread.head(), model);
        }
    }
}
