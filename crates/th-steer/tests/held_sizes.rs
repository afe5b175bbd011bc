//! Expected sizes of answers: routes whose answers are large, small, mixed, or change.

use rstest::rstest;
use th_protocol::Bytes;
use th_steer::held::AnswerSizes;

/// Guards against room for less than most answers need, or for many times what they need.
#[rstest]
#[case::equal(&[90_000])]
#[case::spread(&[60_000, 80_000, 100_000, 120_000])]
#[case::mixed(&[2_000, 2_000, 2_000, 90_000])]
fn most_answers_fit(#[case] sizes: &[u64]) {
    let mut known = AnswerSizes::default();
    let mut fitting = 0;
    for number in 0..200 {
        let size = Bytes(sizes[number * 7 % sizes.len()]);
        if 100 <= number {
            fitting += u32::from(size <= known.expected("r"));
            let largest = *sizes.iter().max().unwrap();
            assert!(known.expected("r").0 <= 2 * largest, "{}", known.expected("r"));
        }
        known.add("r", size);
    }
    assert!(75 <= fitting, "{fitting} of 100 fit");
}

/// Guards against a route that is taken for one with large answers long after they became small, or the reverse.
#[rstest]
#[case::grows(1_000, 90_000)]
#[case::shrinks(90_000, 1_000)]
fn a_change_is_followed_within_fifty_answers(#[case] before: u64, #[case] after: u64) {
    let mut known = AnswerSizes::default();
    (0..50).for_each(|_| known.add("r", Bytes(before)));
    (0..50).for_each(|_| known.add("r", Bytes(after)));
    let expected = known.expected("r").0;
    assert!(
        after / 2 <= expected && expected <= 2 * after,
        "{expected} B for answers of {after} B"
    );
}

#[test]
fn each_route_has_its_own_size() {
    let mut known = AnswerSizes::default();
    known.add("large", Bytes(90_000));
    known.add("small", Bytes(10));
    assert_eq!(known.expected("large"), Bytes(90_000));
    assert_eq!(known.expected("small"), Bytes(10));
    assert_eq!(known.expected("new"), Bytes::ZERO);
    known.retain(|it| it == "small");
    assert_eq!(known.expected("large"), Bytes::ZERO);
}
