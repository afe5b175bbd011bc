//! The drain's invariants hold in every state, and the search detects faulty variants.

use rstest::rstest;
use th_model::{DrainAction, DrainModel, DrainVariant, Outcome, explore};

#[test]
fn production_rules_hold() {
    let outcome = explore(&DrainModel::default());
    let Outcome::Holds { states } = outcome else { panic!("{outcome:?}") };
    println!("drain: {states} states");
    assert!(1_000 < states);
}

#[rstest]
#[case(DrainVariant::ListRevives, "a stale update does not mark a leaving server as live")]
#[case(DrainVariant::ReportRevives, "a stale update does not mark a leaving server as live")]
#[case(DrainVariant::NoGossip, "a leaving server gets no new work after the time limit")]
fn faulty_variants_are_detected(#[case] variant: DrainVariant, #[case] expected: &str) {
    let outcome = explore(&DrainModel { variant, ..DrainModel::default() });
    let Outcome::Violated { invariant, trace } = outcome else {
        panic!("{variant:?} was not detected")
    };
    println!("drain, {variant:?}: {trace:?}");
    assert_eq!(invariant, expected);
    assert_eq!(trace.len(), 2, "{trace:?}");
    assert_ne!(trace[0], DrainAction::Tick);
}
