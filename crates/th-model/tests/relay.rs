//! Changes that VMs pass on are known in time in every state, and the search detects faults.

use rstest::rstest;
use th_model::{Outcome, RelayFault, RelayModel, explore};

#[test]
fn an_undisturbed_vm_knows_each_change_in_time() {
    let outcome = explore(&RelayModel::default());
    let Outcome::Holds { states } = outcome else { panic!("{outcome:?}") };
    println!("relay: {states} states");
    assert!(1_000 < states);
}

#[rstest]
#[case(RelayFault::NoTimeout)]
#[case(RelayFault::AnyAge)]
#[case(RelayFault::WaitAnew)]
#[case(RelayFault::AgeLost)]
#[case(RelayFault::LongCall)]
#[case(RelayFault::KeptConnections)]
fn faults_are_detected(#[case] fault: RelayFault) {
    let outcome = explore(&RelayModel { fault, ..RelayModel::default() });
    let Outcome::Violated { invariant, trace } = outcome else {
        panic!("{fault:?} was not detected")
    };
    println!("relay, {fault:?}: {trace:?}");
    assert_eq!(invariant, "an undisturbed VM knows a configuration within its limit");
}
