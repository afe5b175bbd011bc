//! The time that an answer proves: never later than what the store had, whatever became of the process or the answer.

use rstest::rstest;
use th_protocol::{Millis, Time};
use th_steer::relay::{relayed_time, watch_time};

const STARTED: Time = Time(100_000);
const WAIT: Millis = Millis(150);

#[rstest]
#[case::no_changes_until_the_end(160, false, 150)]
#[case::changes_at_once(10, true, 0)]
#[case::changes_at_the_end(160, true, 0)]
#[case::no_changes_before_the_end(100, false, 0)]
#[case::frozen_after_the_call_was_sent(60_000, false, 150)]
#[case::frozen_before_the_changes_were_read(60_000, true, 0)]
fn an_answer_to_a_watch_proves_no_more_than_the_store_had_when_it_answered(
    #[case] took: u64,
    #[case] has_changes: bool,
    #[case] proven: u64,
) {
    let answered = STARTED.after(Millis(took));
    let proven = STARTED.after(Millis(proven));
    assert_eq!(watch_time(STARTED, WAIT, answered, has_changes), proven);
}

/// A call that is repeated beside one without an answer: the late answer of the first proves no more than before.
#[test]
fn a_late_answer_counts_from_its_own_call() {
    let repeated = STARTED.after(Millis(550));
    let answered = STARTED.after(Millis(900));
    let late = watch_time(STARTED, WAIT, answered, false);
    let second = watch_time(repeated, WAIT, answered, false);
    assert_eq!(late, STARTED.after(WAIT));
    assert_eq!(second, repeated.after(WAIT));
    assert!(late < repeated, "it was answered before the second call began, for all that is known");
}

/// Runs all times of a question to another VM: the ways there and back, the time held, and a freeze before the answer is read.
#[test]
fn what_another_vm_passes_on_never_seems_newer_than_it_is() {
    for (there, held, back, frozen) in
        [(0, 0, 0, 0), (5, 0, 5, 0), (80, 900, 200, 0), (1, 1_300, 1, 8_000), (250, 10, 0, 3_000)]
    {
        let answers = STARTED.after(Millis(there + held));
        for age in [0, 20, 1_000, 1_300] {
            let known = answers.before(Millis(age));
            let read = answers.after(Millis(back + frozen));
            let (held, age) = (Millis(held), Millis(age));
            let proven = relayed_time(STARTED, held, age, read);
            assert!(proven <= known, "{there} {held} {back} {frozen} {age}");
            // Of all times, the way there alone is lost, so that chains of VMs do not age needlessly.
            assert_eq!(known.since(proven), Millis(there));
            // An earlier build does not say for how long it held the question.
            assert!(relayed_time(STARTED, Millis::ZERO, age, read) <= known);
        }
    }
}

/// A VM whose clock jumped, or that states nonsense, must not make old knowledge look new.
#[test]
fn a_vm_cannot_have_held_a_question_for_longer_than_the_answer_took() {
    let read = STARTED.after(Millis(100));
    let proven = relayed_time(STARTED, Millis(u64::MAX), Millis(40), read);
    assert_eq!(proven, read.before(Millis(40)));
}
