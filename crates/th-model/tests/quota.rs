//! Tokens of a quota: no window has more requests than the quota allows, and the search detects faulty exchanges.

use rstest::rstest;
use th_model::{Outcome, QuotaFault, QuotaModel, explore};

#[rstest]
#[case::late_messages(QuotaModel { kills: 0, ..QuotaModel::default() })]
#[case::a_kill(QuotaModel::default())]
fn no_window_is_over_the_limit(#[case] model: QuotaModel) {
    let outcome = explore(&model);
    let Outcome::Holds { states } = outcome else { panic!("{outcome:#?}") };
    println!("{states} states of {model:?}");
}

#[rstest]
#[case(QuotaFault::ShortMemory)]
#[case(QuotaFault::NoLease)]
#[case(QuotaFault::LeaseFromAnswer)]
#[case(QuotaFault::LateAnswer)]
#[case(QuotaFault::LateReport)]
#[case(QuotaFault::UseHidden)]
#[case(QuotaFault::ProcessForgotten)]
#[case(QuotaFault::TakenAtOnce)]
fn faulty_exchanges_are_detected(#[case] fault: QuotaFault) {
    let model = QuotaModel { fault, ..QuotaModel::default() };
    let Outcome::Violated { invariant, trace } = explore(&model) else {
        panic!("{fault:?} was not detected");
    };
    println!("{fault:?} violates {invariant:?} in {} steps: {trace:?}", trace.len());
}
