//! A store that comes back from older copies, answers that arrive crossed, and the changes that VMs pass on.

use rstest::rstest;
use th_model::{EraFault, EraModel, Outcome, explore};

#[test]
fn vms_know_what_the_store_had() {
    let outcome = explore(&EraModel::default());
    let Outcome::Holds { states } = outcome else { panic!("{outcome:?}") };
    println!("era: {states} states");
    assert!(1_000 < states);
}

#[rstest]
#[case(
    EraFault::RevisionOnly,
    "a VM knows what the store had at the moment up to which it knows all"
)]
#[case(EraFault::SlowerConnection, "an earlier era is never put over a later one")]
#[case(EraFault::Partial, "a VM knows what the store had at the moment up to which it knows all")]
fn faults_are_detected(#[case] fault: EraFault, #[case] expected: &str) {
    let outcome = explore(&EraModel { fault, ..EraModel::default() });
    let Outcome::Violated { invariant, trace } = outcome else {
        panic!("{fault:?} was not detected")
    };
    println!("era, {fault:?}: {trace:?}");
    assert_eq!(invariant, expected);
}
