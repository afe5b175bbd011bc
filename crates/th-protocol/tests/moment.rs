//! The order of what is known of the platform's service.

use rstest::rstest;
use th_protocol::{Era, MomentError, Revision, StoreMoment};

fn at(era: u64, revision: u64) -> StoreMoment {
    StoreMoment::new(Era(era), Revision(revision))
}

#[test]
fn a_later_era_is_newer_whatever_the_revisions() {
    assert!(at(1, 900) < at(2, 3));
    assert!(at(2, 3) < at(2, 4));
    assert!(StoreMoment::default() < at(0, 1));
}

#[test]
fn a_moment_is_written_and_read() {
    assert_eq!(at(3, 41).to_string(), "3:41");
    assert_eq!("3:41".parse(), Ok(at(3, 41)));
}

#[rstest]
#[case("41")]
#[case("")]
fn a_text_without_two_parts_is_rejected(#[case] text: &str) {
    assert_eq!(text.parse::<StoreMoment>(), Err(MomentError::Parts(text.to_owned())));
}

#[rstest]
#[case("x:1")]
#[case("1:-1")]
#[case("1:2:3")]
fn parts_that_are_no_numbers_are_named(#[case] text: &str) {
    let error = text.parse::<StoreMoment>().unwrap_err();
    assert!(matches!(&error, MomentError::Number(it, _) if it == text), "{error}");
}
