//! Downloads beyond what a VM's network link carries. Each one that is sent makes all others later; those that cannot
//! arrive in time are turned away before they run.

use rstest::rstest;
use th_protocol::{Bytes, Mbit, Millis, Time};
use th_steer::held::{Admission, HeldKind, HeldMemory, HeldSettings, Lack};

const LINK: Mbit = Mbit(10);
const DOWNLOAD: Bytes = Bytes(90_000);
const SMALL: Bytes = Bytes(500);
const TIME_LEFT: Millis = Millis(3_000);

fn memory(link: Option<Mbit>) -> HeldMemory {
    HeldMemory::new(HeldSettings { link, ..HeldSettings::default() })
}

/// Counts of the downloads of a run.
#[derive(Debug, Default)]
struct Counts {
    sent: u32,
    refused: u32,
    late: u32,
    small_refused: u32,
}

/// One download every `interval` and ten small requests between two of them, for a minute, over a link that carries answers
/// one after the other. `told` is the link that the account knows of.
fn run(interval: Millis, told: Option<Mbit>) -> Counts {
    let mut memory = memory(told);
    let mut counts = Counts::default();
    // When the link has carried all answers that were sent.
    let mut carried = 0.0;
    let mut now = Time(1);
    while now < Time(60_000) {
        let deadline = now.after(TIME_LEFT);
        let mut send = |size: Bytes| {
            let Admission::Reserved(reserved) = memory.admit(size, deadline, now) else {
                return None;
            };
            memory.answer(reserved);
            memory.release(HeldKind::Answers, reserved);
            carried = f64::max(carried, now.0 as f64) + size.0 as f64 / LINK.bytes_per_ms() as f64;
            Some(deadline.0 as f64 + 1.0 < carried)
        };
        match send(DOWNLOAD) {
            Some(late) => {
                (counts.sent, counts.late) = (counts.sent + 1, counts.late + u32::from(late))
            }
            None => counts.refused += 1,
        }
        for _ in 0..10 {
            counts.small_refused += u32::from(send(SMALL).is_none());
        }
        now = now.after(interval);
    }
    counts
}

/// Guards against downloads that run and then arrive too late, against a link that is left unused, and against small answers
/// that are turned away with large ones, though connections share the link.
#[rstest]
#[case::twice_the_link(Millis(36))]
#[case::five_times_the_link(Millis(14))]
fn downloads_beyond_the_link_are_turned_away(#[case] interval: Millis) {
    let counts = run(interval, Some(LINK));
    assert_eq!(counts.late, 0, "{counts:?}");
    assert!(0 < counts.refused, "{counts:?}");
    assert_eq!(counts.small_refused, 0, "{counts:?}");
    let small = 10 * 60_000 / interval.0 * SMALL.0;
    let capacity = (60_000 * LINK.bytes_per_ms() - small) / DOWNLOAD.0;
    assert!(capacity * 9 / 10 <= u64::from(counts.sent), "{counts:?} of {capacity}");
    // The check fails for a VM that does not know its link.
    assert!(0 < run(interval, None).late);
}

/// Guards against refusals while the link has room, and at a VM whose link is not known.
#[rstest]
#[case::three_quarters_of_the_link(Millis(100), Some(LINK))]
#[case::unknown_link(Millis(14), None)]
fn no_download_is_turned_away_without_reason(#[case] interval: Millis, #[case] told: Option<Mbit>) {
    let counts = run(interval, told);
    assert_eq!((counts.refused, counts.small_refused), (0, 0), "{counts:?}");
}

/// Guards against callers that read slowly and are taken for a busy link.
#[test]
fn slow_callers_do_not_keep_the_link_busy() {
    let mut memory = memory(Some(LINK));
    let mut now = Time(1);
    for _ in 0..100 {
        let admission = memory.admit(DOWNLOAD, now.after(TIME_LEFT), now);
        assert_eq!(admission, Admission::Reserved(DOWNLOAD), "at {now}");
        // The answer is held until the end.
        memory.answer(DOWNLOAD);
        now = now.after(Millis(100));
    }
    assert_eq!(memory.used(HeldKind::Answers), Bytes(100 * DOWNLOAD.0));
}

/// Guards against room that is lost with requests that get no answer, and against a return before there is room.
#[test]
fn room_of_a_request_without_an_answer_is_free_again() {
    let mut memory = memory(Some(LINK));
    let (now, deadline) = (Time(1), Time(1).after(TIME_LEFT));
    let mut sent = 0;
    let after = loop {
        match memory.admit(DOWNLOAD, deadline, now) {
            Admission::Reserved(_) => sent += 1,
            Admission::Refused(lack, after) => {
                assert_eq!(lack, Lack::Link);
                break after;
            }
        }
    };
    assert_eq!(sent, TIME_LEFT.0 * LINK.bytes_per_ms() / DOWNLOAD.0);
    let back = now.after(after);
    let admission = memory.admit(DOWNLOAD, back.after(TIME_LEFT), back);
    assert_eq!(admission, Admission::Reserved(DOWNLOAD));
    memory.release(HeldKind::Expected, DOWNLOAD);
    memory.release(HeldKind::Expected, DOWNLOAD);
    let admission = memory.admit(DOWNLOAD, back.after(TIME_LEFT), back);
    assert_eq!(admission, Admission::Reserved(DOWNLOAD));
}
