//! The ticket model: all states of small configurations, random walks through a larger one, and faults to detect.

use proptest::prelude::*;
use rstest::rstest;
use th_model::{Model, Outcome, TicketFault, TicketModel, explore};

/// Maximum number of states in one search.
const MAX_STATES: usize = 1_000_000;
const NOT_RUN: &str = "only an operation that did not run is reported as not run";

fn model(requests: &[(u8, bool)], processes: usize, fault: TicketFault) -> TicketModel {
    TicketModel { requests: requests.to_vec(), processes, fault }
}

#[rstest]
#[case::one_request(&[(1, false)], 2)]
#[case::repeat_through_another_vm(&[(1, false), (1, true)], 1)]
#[case::repeat_at_another_process(&[(1, false), (1, true)], 2)]
#[case::two_operations(&[(1, false), (2, false)], 1)]
fn every_state_holds(#[case] requests: &[(u8, bool)], #[case] processes: usize) {
    let outcome = explore(&model(requests, processes, TicketFault::None));
    println!("{requests:?}, {processes} processes: {outcome:?}");
    match outcome {
        Outcome::Holds { states } => assert!(states < MAX_STATES, "{states} states"),
        violated => panic!("{violated:?}"),
    }
}

#[rstest]
#[case(TicketFault::NotRunAfterDispatch, &[(1, false)], 1, "a request that was reported as not run does not run")]
#[case(TicketFault::RetryAfterTimeout, &[(1, false)], 1, NOT_RUN)]
#[case(TicketFault::SameIncarnation, &[(1, false), (1, true)], 2, NOT_RUN)]
#[case(TicketFault::ExpiryFromUse, &[(1, false), (1, true)], 1, NOT_RUN)]
#[case(TicketFault::AnyAnswer, &[(1, false), (2, false)], 1, "an answer belongs to its request")]
#[case(TicketFault::EarlyExit, &[(1, false)], 1, "a planned stop cuts no request in flight")]
fn faults_are_detected(
    #[case] fault: TicketFault,
    #[case] requests: &[(u8, bool)],
    #[case] processes: usize,
    #[case] expected: &str,
) {
    match explore(&model(requests, processes, fault)) {
        Outcome::Violated { invariant, trace } => {
            println!("{fault:?}: {invariant}: {trace:?}");
            assert_eq!(invariant, expected);
        }
        holds => panic!("{fault:?} was not detected: {holds:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Walks at random through a configuration that is too large to search completely.
    #[test]
    fn random_walks_hold(choices in prop::collection::vec(any::<prop::sample::Index>(), 60)) {
        let requests = [(1, false), (1, true), (1, false), (2, true)];
        let model = model(&requests, 3, TicketFault::None);
        let mut state = model.start();
        for choice in choices {
            let steps = model.steps(&state);
            if steps.is_empty() {
                break;
            }
            let (action, next) = choice.get(&steps).clone();
            state = next;
            prop_assert_eq!(model.violated_invariant(&state), None, "after {:?}", action);
        }
    }
}
