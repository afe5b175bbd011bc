//! Evidence that a backend server is leaving, in any order, and stale updates that report it as
//! live.

use proptest::prelude::*;
use rstest::rstest;
use th_protocol::{LeavingSource, Millis, Time, Version};
use th_steer::backend::{Drain, MAX_NOTICE_AGE, RETURN_DELAY};

const NOW: Time = Time(1_000_000);

fn later(span: Millis) -> Time {
    NOW.after(span)
}

#[derive(Debug, Clone, Copy)]
enum Evidence {
    Bundle,
    List,
    Own,
    Peer,
}

#[rstest]
#[case(Evidence::Bundle)]
#[case(Evidence::List)]
#[case(Evidence::Own)]
#[case(Evidence::Peer)]
fn one_kind_of_evidence_is_enough(#[case] first: Evidence) {
    let mut drain = Drain::default();
    drain.on_bundle(Version(1), false, NOW);
    drain.on_vm_list(true, NOW);
    assert!(!drain.leaving());
    match first {
        Evidence::Bundle => drain.on_bundle(Version(2), true, NOW),
        Evidence::List => drain.on_vm_list(false, NOW),
        Evidence::Own => drain.on_server_report(true, NOW, NOW),
        Evidence::Peer => drain.on_notice(LeavingSource::Own, Millis(0), NOW),
    }
    assert!(drain.leaving());
    drain.on_idle(later(Millis(700)));
    drain.on_idle(later(Millis(900)));
    assert_eq!(drain.time_to_idle(), Some(Millis(700)));
}

#[test]
fn only_a_higher_version_clears_the_mark_of_a_bundle() {
    let mut drain = Drain::default();
    drain.on_bundle(Version(5), true, NOW);
    drain.on_bundle(Version(4), false, NOW);
    drain.on_bundle(Version(5), false, NOW);
    drain.on_vm_list(true, NOW);
    drain.on_server_report(false, later(RETURN_DELAY), later(RETURN_DELAY));
    assert!(drain.leaving());
    drain.on_bundle(Version(6), false, NOW);
    assert!(!drain.leaving());
}

#[test]
fn a_higher_version_does_not_clear_other_evidence() {
    let mut drain = Drain::default();
    drain.on_server_report(true, NOW, NOW);
    drain.on_vm_list(false, NOW);
    drain.on_bundle(Version(9), false, later(RETURN_DELAY));
    assert!(drain.leaving());
}

#[test]
fn a_vm_list_alone_never_makes_a_server_live() {
    let mut drain = Drain::default();
    drain.on_vm_list(false, NOW);
    drain.on_vm_list(true, later(Millis(3_600_000)));
    assert!(drain.leaving());
    let requested = later(Millis(3_600_000));
    drain.on_server_report(false, requested, requested);
    assert!(!drain.leaving());
}

#[test]
fn a_report_does_not_make_a_server_live_that_the_vm_list_has_as_removed() {
    let mut drain = Drain::default();
    drain.on_vm_list(true, NOW);
    drain.on_vm_list(false, NOW);
    let requested = later(Millis(3_600_000));
    drain.on_server_report(false, requested, requested);
    assert!(drain.leaving());
}

#[rstest]
#[case::too_soon(RETURN_DELAY.0 - 1, true)]
#[case::later(RETURN_DELAY.0, false)]
fn the_servers_own_report_is_cleared_by_a_later_one(#[case] requested: u64, #[case] leaving: bool) {
    let mut drain = Drain::default();
    drain.on_server_report(true, NOW, NOW);
    drain.on_server_report(false, later(Millis(requested)), later(Millis(requested + 10_000)));
    assert_eq!(drain.leaving(), leaving);
}

#[test]
fn old_evidence_of_peers_is_ignored() {
    let mut drain = Drain::default();
    drain.on_notice(LeavingSource::Own, MAX_NOTICE_AGE.plus(Millis(1)), NOW);
    assert!(!drain.leaving());
    drain.on_notice(LeavingSource::Own, Millis(0), NOW);
    assert_eq!(drain.notices(NOW).len(), 1);
    assert!(drain.notices(later(MAX_NOTICE_AGE.plus(Millis(1)))).is_empty());
}

proptest! {
    /// Under any sequence of updates, a server that the bundle marks is leaving until a higher
    /// version clears the mark, and one with evidence from the VM list or its own report is leaving
    /// for at least the return delay.
    #[test]
    fn stale_updates_never_make_a_server_live(steps in prop::collection::vec((0u8..6, 0u64..8, 0u64..9_000), 1..60)) {
        let mut drain = Drain::default();
        let (mut now, mut reported, mut highest, mut marked) = (NOW, None, 0, false);
        for (step, value, span) in steps {
            now = now.after(Millis(span));
            match step {
                0 => {
                    drain.on_bundle(Version(value), false, now);
                    if highest < value {
                        (highest, marked) = (value, false);
                    }
                }
                1 => {
                    drain.on_bundle(Version(value), true, now);
                    if highest <= value {
                        (highest, marked) = (value, true);
                    }
                }
                2 => drain.on_vm_list(true, now),
                3 => {
                    drain.on_vm_list(false, now);
                    reported = Some(now);
                }
                4 => {
                    drain.on_server_report(true, now, now);
                    reported = Some(now);
                }
                _ => drain.on_server_report(false, now.before(Millis(value * 1_000)), now),
            }
            if marked || reported.is_some_and(|at| now.since(at) < RETURN_DELAY) {
                prop_assert!(drain.leaving());
            }
        }
    }
}
