//! Messages of others with absurd content, sent to a real process: look-ups, requests, questions and reports of other VMs,
//! configurations. It answers them all, and goes on serving and following.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use desk::{config, deployment};
use entry::EntryProcess;
use reqwest::Method;
use rstest::rstest;
use serde::Serialize;
use serde_json::{Value, json};
use stand_in::StandInStore;
use tokio::time::{Instant, timeout};

/// Limit on an answer; far longer than any takes.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Time within which a configuration must be in force, without a limit in the settings.
const LIMIT: Duration = Duration::from_secs(5);
/// Levels of nesting under which a parser that calls itself overflows its stack.
const DEPTH: usize = 80_000;

async fn assert_serves_and_follows(store: &StandInStore, entry: &mut EntryProcess, version: u64) {
    let path = format!("/after-{version}/");
    store.put("op/config", &config(version, &path));
    let written = Instant::now();
    entry.wait_for_status(&format!("{path}x"), 200).await;
    assert!(written.elapsed() <= LIMIT, "in force after {:?}", written.elapsed());
    assert_eq!(entry.exit_status(), None);
}

/// A message with its fields in order, as other VMs send it.
fn packed(message: impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(&message).unwrap()
}

fn report(number: u64, value: u32, asked: f32) -> Vec<u8> {
    let entry =
        json!({"id": "port", "used": value, "tokens": value, "wanted": value, "asked": asked});
    let report = json!({"vm": "vm-2", "start": u64::MAX - number, "number": u64::MAX, "settled": true,
        "young": false, "full": true, "entries": [entry, entry]});
    rmp_serde::to_vec_named(&report).unwrap()
}

/// Guards against a VM that ends at what another one asks or reports.
#[tokio::test]
async fn absurd_messages_of_other_vms_are_answered() {
    let (store, _servers, mut entry) = deployment(1).await;
    // An array in an array, and a map in a map, without an end.
    let mut bodies = vec![vec![0x91; DEPTH], [0x81, 0xa1, b'a'].repeat(DEPTH)];
    for after in [0, u64::MAX] {
        for wait in [0, u64::MAX] {
            bodies.push(packed((after, wait)));
        }
    }
    // Lengths of arrays, texts and bytes that do not follow.
    for mark in [0xdd, 0xdb, 0xc6, 0xdf] {
        bodies.push(vec![mark, 0xff, 0xff, 0xff, 0xff]);
    }
    bodies.push(packed((-1, 1e308)));
    bodies.push(Vec::new());
    bodies.push(report(1, u32::MAX, f32::MAX));
    bodies.push(report(2, 1, -1.0));
    for body in bodies {
        for path in ["/v1/changes", "/v1/usage"] {
            for era in [None, Some("18446744073709551615"), Some("99999999999999999999"), Some("x")]
            {
                let url = format!("http://{}{path}", entry.listen.peers);
                let mut request = entry.client.post(url).body(body.clone());
                if let Some(era) = era {
                    request = request.header("th-era", era).header("th-held-ms", era);
                }
                let answer = timeout(ANSWER_LIMIT, request.send()).await;
                assert!(
                    answer.is_ok_and(|it| it.is_ok()),
                    "{path} {era:?} {:?}",
                    &body[..body.len().min(9)]
                );
            }
        }
    }
    assert_serves_and_follows(&store, &mut entry, 20).await;
}

/// Guards against requests without an answer, whose headers state times that cannot be.
#[rstest]
#[case::deadline("request-deadline", &["1e999", "inf", "-inf", "NaN", "-1", "18446744073709551616", "1e300", "soon", ""])]
#[case::forwarded("th-forwarded", &["1", "18446744073709551615", "NaN", ""])]
#[tokio::test]
async fn absurd_headers_are_answered(#[case] name: &'static str, #[case] values: &[&'static str]) {
    let (store, _servers, mut entry) = deployment(1).await;
    for value in values {
        for address in [entry.listen.callers, entry.listen.peers] {
            let request = entry.client.get(format!("http://{address}/look/x")).header(name, *value);
            let request = request.header("host", "desk.example").header("attempt-id", "absurd");
            let answer = timeout(ANSWER_LIMIT, request.send()).await;
            assert!(answer.is_ok_and(|it| it.is_ok()), "{name}: {value}");
        }
    }
    assert_serves_and_follows(&store, &mut entry, 20).await;
}

#[tokio::test]
async fn absurd_lookups_are_answered() {
    let (store, _servers, mut entry) = deployment(1).await;
    let long = "x".repeat(6_000);
    for query in [
        "",
        "?",
        "?name",
        "?name=",
        "?zone=",
        "?zone=nowhere",
        "?zone=NORTH",
        "?name=%00&zone=%ff",
        "?name=desk.example&zone=north-a&zone=x",
        "?zone=north-a&region=%f0%9f%98%80",
        &format!("?name={long}&zone=north-a"),
        &format!("?name=desk.example&zone={long}"),
        "?&&&===&zone=north-a",
    ] {
        let url = format!("http://{}/-/resolve{query}", entry.listen.lookups);
        let answer = timeout(ANSWER_LIMIT, entry.client.get(url).send()).await;
        assert!(answer.is_ok_and(|it| it.is_ok()), "{}", &query[..query.len().min(80)]);
    }
    let url = format!("http://{}/-/resolve?name=desk.example&zone=north-a", entry.listen.lookups);
    let answer: Value = entry.client.get(url).send().await.unwrap().json().await.unwrap();
    assert_eq!(answer["addresses"][0], json!(entry.listen.callers.to_string()));
    assert_serves_and_follows(&store, &mut entry, 20).await;
}

/// Guards against connections that end, and waits without an end, by limits and times that a configuration states.
#[tokio::test]
async fn a_configuration_with_absurd_numbers_is_served() {
    let (store, _servers, mut entry) = deployment(1).await;
    let (mut odd, number) = (config(10, "/odd/"), json!(1e300));
    odd["limits"] = json!({"header_timeout_ms": number, "idle_timeout_ms": number,
        "header_bytes": u64::MAX, "body_bytes": u64::MAX});
    odd["services"][0]["cold_per_s"] = number.clone();
    for route in odd["routes"].as_array_mut().unwrap() {
        (route["timeout_ms"], route["target_latency_ms"]) = (number.clone(), number.clone());
        (route["priority"], route["max_attempts"]) = (json!(u32::MAX), json!(u32::MAX));
        let part = json!({"service": "desk", "weight": 1e308});
        route["weighted_services"] = json!([part, part]);
    }
    store.put("op/config", &odd);
    entry.wait_for_status("/odd/x", 200).await;
    for number in 0..20 {
        // The limits hold for new connections.
        entry.client = reqwest::Client::builder().no_proxy().build().unwrap();
        let id = format!("odd-{number}");
        let answer = timeout(ANSWER_LIMIT, entry.send(Method::GET, "/odd/x", &id)).await;
        assert_eq!(answer.expect("no answer").status(), 200);
    }
    assert_serves_and_follows(&store, &mut entry, 20).await;
    for id in 0..5 {
        let answer = entry.send(Method::POST, "/book/x", &format!("book-{id}")).await;
        assert_eq!(answer.status(), 200);
    }
}
