//! Ids, units and blocks: values survive formatting and parsing, and malformed texts are rejected.

use rstest::rstest;
use th_protocol::{Block, IdError, Mbit, Millis, Permille, RateError, RequestRate, Time, ZoneId};

#[rstest]
#[case("pl-1", true)]
#[case("", false)]
#[case("Port Louis", false)]
fn ids_allow_lower_case_names_only(#[case] text: &str, #[case] is_valid: bool) {
    assert_eq!(text.parse::<ZoneId>().is_ok(), is_valid);
}

#[test]
fn too_long_id_reports_its_length() {
    assert_eq!("a".repeat(64).parse::<ZoneId>(), Err(IdError::TooLong(64)));
}

#[rstest]
#[case("250ms", Millis(250))]
#[case("250", Millis(250))]
fn units_are_read_with_or_without_their_suffix(#[case] text: &str, #[case] expected: Millis) {
    assert_eq!(text.parse(), Ok(expected));
    assert_eq!(expected.to_string().parse(), Ok(expected));
}

#[rstest]
#[case("4.4", 4.4)]
#[case("0.25/s", 0.25)]
fn rates_are_read_with_or_without_their_unit(#[case] text: &str, #[case] expected: f64) {
    let rate: RequestRate = text.parse().unwrap();
    assert_eq!(rate.requests(), expected);
    assert_eq!(rate.to_string().parse(), Ok(rate));
}

#[rstest]
#[case("-0.5")]
#[case("inf")]
#[case("1e300")]
fn rates_out_of_range_are_rejected(#[case] text: &str) {
    assert!(matches!(text.parse::<RequestRate>(), Err(RateError::OutOfRange(_))));
}

#[rstest]
#[case("10.1.2.3/24", "10.1.2.0/24")]
#[case("10.1.2.3", "10.1.2.3/32")]
#[case("10.1.2.3/0", "0.0.0.0/0")]
fn blocks_clear_the_host_bits(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(text.parse::<Block>().unwrap().to_string(), expected);
}

#[rstest]
#[case("10.1.2.3/33")]
#[case("10.1.2/24")]
#[case("10.1.2.3/x")]
fn malformed_blocks_are_rejected(#[case] text: &str) {
    assert!(text.parse::<Block>().is_err());
}

#[test]
fn arithmetic_saturates() {
    assert_eq!(Millis(1) - Millis(2), Millis::ZERO);
    assert_eq!(Time(u64::MAX).after(Millis(1)), Time(u64::MAX));
    assert_eq!(Permille(500).of(u64::MAX), u64::MAX / 2);
    assert_eq!(Mbit(280).bytes_per_ms(), 35_000);
}
