//! The operators' pages list exactly the verdicts, reasons and metrics that the code has.

use std::collections::BTreeSet;

use th_protocol::{Reason, Verdict};

const REFUSALS: &str = include_str!("../docs/operate/explain-a-refusal.md");
const METRICS: &str = include_str!("../docs/operate/metrics.md");
const ALERTS: &str = include_str!("../docs/operate/alerts.md");
/// The sources that define the metrics and the `name` labels of `th_state`.
const METRICS_CODE: &str = include_str!("../crates/th-entry/src/metrics.rs");
const STATE_CODE: &str = include_str!("../crates/th-entry/src/task/sample.rs");

/// Returns the first column of the table whose heading row begins with `title`.
fn column(page: &str, title: &str) -> BTreeSet<String> {
    let heading = format!("| {title} |");
    let rows = page.lines().skip_while(|it| !it.starts_with(&heading)).skip(2);
    let mut names = BTreeSet::new();
    for row in rows.take_while(|it| it.starts_with("| `")) {
        let name = row.split('`').nth(1).unwrap();
        assert!(names.insert(name.to_owned()), "{name} is listed twice");
    }
    names
}

/// Returns the text between each occurrence of `before` and the next quote.
fn quoted_after(code: &str, before: &str) -> BTreeSet<String> {
    let parts = code.split(before).skip(1);
    parts.map(|it| it.split('"').next().unwrap().to_owned()).collect()
}

fn codes<T: ToString>(all: &[T]) -> BTreeSet<String> {
    all.iter().map(T::to_string).collect()
}

fn metrics_of_code() -> BTreeSet<String> {
    quoted_after(METRICS_CODE, "\"th_").into_iter().map(|it| format!("th_{it}")).collect()
}

fn state_of_code() -> BTreeSet<String> {
    let (_, rest) = STATE_CODE.split_once("let numbers = [").unwrap();
    quoted_after(rest.split_once("];").unwrap().0, "(\"")
}

#[test]
fn each_code_is_explained() {
    assert_eq!(column(REFUSALS, "verdict"), codes(Verdict::ALL));
    assert_eq!(column(REFUSALS, "reason"), codes(Reason::ALL));
}

#[test]
fn each_metric_is_listed() {
    let (metrics, state) = (metrics_of_code(), state_of_code());
    assert_eq!((metrics.len(), state.len()), (11, 10), "{metrics:?} {state:?}");
    assert_eq!(column(METRICS, "metric"), metrics);
    assert_eq!(column(METRICS, "name"), state);
}

/// Guards against a comparison that misses a row removed from a page or added to it.
#[test]
fn a_difference_is_detected() {
    let page = REFUSALS.replace("| `no-slot` |", "| `no-slots` |");
    assert_ne!(column(&page, "reason"), codes(Reason::ALL));
    let page = METRICS.replace("| `th_state` |", "| `th_states` |");
    assert_ne!(column(&page, "metric"), metrics_of_code());
    let page = METRICS.replace("| `waiting` |", "| `waits` |");
    assert_ne!(column(&page, "name"), state_of_code());
}

/// Alerts refer only to metrics that exist.
#[test]
fn alerts_name_known_metrics() {
    let (metrics, state) = (metrics_of_code(), state_of_code());
    for part in ALERTS.split("`th_").skip(1) {
        let name: String =
            part.chars().take_while(|it| it.is_ascii_lowercase() || *it == '_').collect();
        let name = format!("th_{}", name.trim_end_matches("_count"));
        assert!(metrics.contains(&name), "{name}");
        let Some(rest) = part.split('`').next().unwrap().strip_prefix("state{name=\"") else {
            continue;
        };
        let name = rest.split('"').next().unwrap();
        assert!(state.contains(name), "{name}");
    }
}

/// Each source file that the page names as the origin of a reason exists.
#[test]
fn files_on_the_pages_exist() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/crates");
    let rows = REFUSALS.lines().filter(|it| it.starts_with("| `") && it.matches(" |").count() == 7);
    let mut checked = 0;
    for row in rows {
        let last = row.trim_end_matches(" |").rsplit(" | ").next().unwrap();
        for path in last.split('`').skip(1).step_by(2) {
            let found = ["", "th-steer/src/engine/", "th-entry/src/call/"]
                .iter()
                .any(|it| std::path::Path::new(&format!("{root}/{it}{path}")).is_file());
            assert!(found, "{path}");
            checked += 1;
        }
    }
    assert!(Reason::ALL.len() <= checked, "{checked}");
}
