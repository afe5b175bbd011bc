//! Grants and shards: the production state machines never exceed the cap, and the search detects
//! faulty ones.

use rstest::rstest;
use th_model::{GrantFault, GrantModel, Model, Outcome, ShardFault, ShardModel, explore};
use th_protocol::Millis;

fn model(zones: &[&str]) -> GrantModel {
    let zones = zones.iter().map(|zone| zone.parse().expect("an id")).collect();
    GrantModel {
        zones,
        total: 2,
        last_tick: 2,
        losses: 0,
        ttl: Millis(1),
        drift: Millis(1),
        refresh: Millis(2),
        may_stall: true,
        without_leases: false,
        fault: GrantFault::None,
    }
}

/// The clocks agree, and the VMs start without leases: a reply may arrive long after its request.
fn late_replies() -> GrantModel {
    let (ttl, drift) = (Millis(2), Millis(0));
    GrantModel { ttl, drift, may_stall: false, without_leases: true, ..model(&["a", "b"]) }
}

/// Long leases and frequent reads of the ledger: what one data centre releases, the other takes.
fn lost_writes() -> GrantModel {
    GrantModel { ttl: Millis(6), refresh: Millis(1), last_tick: 1, losses: 1, ..model(&["a", "b"]) }
}

fn assert_violated<M: Model>(name: &str, model: &M) {
    let Outcome::Violated { invariant, trace } = explore(model) else {
        panic!("{name} was not detected");
    };
    println!("{name} violates {invariant:?} in {} steps:", trace.len());
    for action in trace {
        println!("    {action:?}");
    }
}

#[rstest]
#[case::expiry_and_drift(model(&["a", "b"]))]
#[case::two_holders_of_one_zone(GrantModel { losses: 1, ..model(&["a", "a"]) })]
#[case::late_replies(late_replies())]
#[case::lost_writes(lost_writes())]
fn grants_never_exceed_the_cap(#[case] model: GrantModel) {
    let outcome = explore(&model);
    let Outcome::Holds { states } = outcome else { panic!("{outcome:#?}") };
    println!("{states} states of {model:?}");
}

#[rstest]
#[case::expiry_from_reply(GrantModel { fault: GrantFault::ExpiryFromReply, ..late_replies() })]
#[case::unknown_is_failed(GrantModel { fault: GrantFault::UnknownIsFailed, ..lost_writes() })]
#[case::no_drift(GrantModel { drift: Millis(0), ..model(&["a", "b"]) })]
fn faulty_grants_are_detected(#[case] model: GrantModel) {
    assert_violated(&format!("{:?}, drift {}", model.fault, model.drift), &model);
}

#[test]
fn shards_never_exceed_the_slots() {
    let outcome = explore(&ShardModel::default());
    let Outcome::Holds { states } = outcome else { panic!("{outcome:#?}") };
    println!("shard: {states} states");
}

#[rstest]
#[case(ShardFault::IgnoreVmList)]
#[case(ShardFault::ClaimBeforeListed)]
#[case(ShardFault::NoQuarantine)]
#[case(ShardFault::UnknownIsApplied)]
fn faulty_shards_are_detected(#[case] fault: ShardFault) {
    assert_violated(&format!("{fault:?}"), &ShardModel { fault, ..ShardModel::default() });
}
