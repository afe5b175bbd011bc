//! The drain's invariants hold in every state, and the search detects faults.

use rstest::rstest;
use th_model::{DrainAction, DrainFault, DrainModel, Outcome, explore};

#[test]
fn production_rules_hold() {
    let outcome = explore(&DrainModel::default());
    let Outcome::Holds { states } = outcome else { panic!("{outcome:?}") };
    println!("drain: {states} states");
    assert!(1_000 < states);
}

#[rstest]
#[case(DrainFault::ListRevives, "a stale update does not mark a leaving server as live")]
#[case(DrainFault::ReportRevives, "a stale update does not mark a leaving server as live")]
#[case(DrainFault::NoGossip, "a leaving server gets no new work after the time limit")]
fn faults_are_detected(#[case] fault: DrainFault, #[case] expected: &str) {
    let outcome = explore(&DrainModel { fault, ..DrainModel::default() });
    let Outcome::Violated { invariant, trace } = outcome else {
        panic!("{fault:?} was not detected")
    };
    println!("drain, {fault:?}: {trace:?}");
    assert_eq!(invariant, expected);
    assert_eq!(trace.len(), 2, "{trace:?}");
    assert_ne!(trace[0], DrainAction::Tick);
}
