//! The scenario language: what it reads and refuses, that a seed decides a run, and that its invariants can fail.

use rstest::rstest;
use th_testing::scenario::{Scenario, parse, run, run_with_unsafe_retries};

const SMALL: &str = r#"
scenario "small"
region north { zone n1 { entries 2 } zone n2 { entries 1 } }
region south { zone s1 { entries 1 } }
service roster { backends 6 slots 3 service 40ms tail 120ms }
link north south 20ms 4000mbit
load roster check rate 60/s idempotent for 20s
load roster book rate 40/s deadline 1s for 20s
"#;

fn small(more: &str) -> Scenario {
    parse("small", &format!("{SMALL}{more}")).expect("it is well formed")
}

#[rstest]
#[case("at 5s kill n1-entry-0\nat 8s store down for 5s\nat 9s roll good")]
#[case("at 3s pause n1-entry-0 for 6s\nat 4s cut n2 s1 for 8s\nat 5s silence n1 n1")]
fn a_seed_decides_a_run(#[case] events: &str) {
    let scenario = small(events);
    let (first, again) = (run(&scenario, 7), run(&scenario, 7));
    assert_eq!(first, again);
    assert_ne!(first, run(&scenario, 8));
}

/// Repeats of what may have run are what "at most once" forbids; the runner must see them.
#[test]
fn repeats_of_what_may_have_run_are_caught() {
    let mut events = String::new();
    for (at, server) in
        ["n1-roster-0", "n2-roster-0", "s1-roster-0", "n1-roster-1"].iter().enumerate()
    {
        events += &format!("at {}s restart {server}\n", at * 2 + 4);
    }
    let scenario = small(&events);
    let caught = (1..=5).any(|seed| {
        let broken = run_with_unsafe_retries(&scenario, seed).expect("its names are known").broken;
        broken.iter().any(|it| it.starts_with("doubled is"))
    });
    assert!(caught, "seeds 1 to 5");
    for seed in 1..=5 {
        let broken = run(&scenario, seed).expect("its names are known").broken;
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// An expectation that no run can meet is broken, and one that every run meets is not.
#[rstest]
#[case("expect p99 roster check < 1ms", true)]
#[case("expect p99 roster check < 2s", false)]
#[case("expect refused >= 100%", true)]
#[case("expect goodput > 10", false)]
fn expectations_can_fail(#[case] expect: &str, #[case] broken: bool) {
    let summary = run(&small(expect), 1).expect("its names are known");
    assert_eq!(!summary.broken.is_empty(), broken, "seed 1: {:?}", summary.broken);
}

#[rstest]
#[case("region north { zone n1 { entries 2 }", 1, 37, "}")]
#[case("service roster { backends x }", 1, 27, "a whole number")]
#[case("\nlink north south 20 4000mbit", 2, 20, "a time such as 20ms or 3s")]
#[case("load roster check rate 300/h", 1, 27, "a rate such as 300/s or 0.9x")]
#[case("at 3s explode n1", 1, 7, "an event")]
#[case("expect speed < 3s", 1, 8, "p50, p99")]
#[case("expect p99 = 3s", 1, 12, "<, <=, > or >=")]
#[case("# fine\nat 3s kill n1 now", 2, 15, "the end of the line")]
#[case("launch", 1, 1, "scenario, region, service")]
fn errors_name_the_place(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] expected: &str,
) {
    let error = parse("file.scn", text).expect_err("it is malformed");
    assert_eq!((error.line, error.column), (line, column), "{error}");
    assert!(error.expected.contains(expected), "{error}");
    assert!(error.to_string().starts_with("file.scn:"), "{error}");
}

#[test]
fn unknown_names_are_refused() {
    let error = run(&small("at 1s kill n9-entry-0"), 1).expect_err("there is no such VM");
    assert_eq!(error.name, "n9-entry-0");
}

/// Callers of a region that failed all moved at once, over the cap on shifts, before the mend.
#[rstest]
fn a_failed_region_moves_under_the_cap(#[values(1, 2, 3)] seed: u64) {
    let broken = run(&small("at 10s kill south"), seed).expect("its names are known").broken;
    assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
}

/// A request whose slots are all taken here waits, though the cap on shifts bars the way elsewhere.
#[rstest]
fn a_barred_way_elsewhere_refuses_nothing(#[values(1, 2, 3)] seed: u64) {
    let scenario =
        small("load roster check rate 60/s idempotent from south for 8s\nexpect refused <= 0%");
    let broken = run(&scenario, seed).expect("its names are known").broken;
    assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
}
