//! Random input to everything that parses external data. Seeds are fixed, so that each run is the same.

mod common;

use common::*;
use proptest::{
    collection::{btree_map, vec},
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{Value, json};
use th_entry::Settings;
use th_protocol::{Reason, Signer, Verdict, assemble_bundle, header, parse_bundle};

const SEED: u8 = 17;

fn runner(cases: u32) -> TestRunner {
    println!("seed {:?}", [SEED; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[SEED; 32]))
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[ -~]{0,20}".prop_map(Value::from),
        "[0-9.:/]{0,12}".prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            btree_map("[a-z0-9-]{0,8}", inner, 0..4)
                .prop_map(|it| Value::Object(it.into_iter().collect())),
        ]
    })
}

/// Collects the JSON pointers of all values in a JSON value.
fn collect_pointers(value: &Value, path: &str, found: &mut Vec<String>) {
    found.push(path.to_owned());
    let escape = |it: &str| it.replace('~', "~0").replace('/', "~1");
    match value {
        Value::Object(map) => {
            map.iter()
                .for_each(|(k, v)| collect_pointers(v, &format!("{path}/{}", escape(k)), found));
        }
        Value::Array(list) => {
            list.iter()
                .enumerate()
                .for_each(|(i, v)| collect_pointers(v, &format!("{path}/{i}"), found));
        }
        _ => {}
    }
}

/// A random change to a JSON value: replaces a value in it, removes a field, or adds one.
fn random_change() -> impl Strategy<Value = (prop::sample::Index, u8, Value)> {
    (any::<prop::sample::Index>(), 0..4u8, any_json())
}

fn apply_changes(valid: &Value, changes: &[(prop::sample::Index, u8, Value)]) -> Value {
    let mut value = valid.clone();
    for (index, kind, replacement) in changes {
        let mut found = Vec::new();
        collect_pointers(&value, "", &mut found);
        let path = &found[index.index(found.len())];
        let Some(target) = value.pointer_mut(path) else { continue };
        match (kind, target) {
            (0, target) => *target = replacement.clone(),
            (1, Value::Object(map)) => {
                map.insert("extra".to_owned(), replacement.clone());
            }
            (2, Value::Object(map)) => {
                let first = map.keys().next().cloned();
                first.map(|it| map.remove(&it));
            }
            (_, Value::Number(number)) => {
                *number = (number.as_u64().unwrap_or(7).wrapping_mul(u64::MAX / 3)).into();
            }
            (_, target) => *target = replacement.clone(),
        }
    }
    value
}

fn settings_json() -> Value {
    json!({
        "vm": "e1", "zone": "n1",
        "listen": { "callers": "127.0.0.1:1", "peers": "127.0.0.1:2" },
        "peers": ["127.0.0.1:3"],
        "store": "http://127.0.0.1:4",
        "keys": { "peer": "sixteen bytes or more", "tickets": [hex::encode([9; 32])], "operators": {} },
        "limits": { "head": 16384, "body": 1000, "answer": 1000, "requests": 10, "slow": 1000 },
        "stop": { "linger": 100, "limit": 1000 },
        "pace": { "tick": 100, "list": 100, "watch": 100, "call": 100 },
        "logs": { "form": "json", "level": "info", "parts": { "peer": "debug" } },
    })
}

#[test]
fn settings_are_read_or_rejected_with_paths() {
    let valid = settings_json();
    assert!(Settings::read(&valid.to_string()).is_ok());
    let input = (vec(random_change(), 0..4), any_json(), ".{0,60}");
    let result = runner(3_000).run(&input, |(changes, random, text)| {
        for text in [apply_changes(&valid, &changes).to_string(), random.to_string(), text] {
            let Err(faults) = Settings::read(&text) else { continue };
            prop_assert!(!faults.is_empty());
            for fault in faults {
                prop_assert!(!fault.path.is_empty() && !fault.cause.is_empty(), "{text}: {fault}");
            }
        }
        Ok(())
    });
    result.unwrap();
}

fn bundle_json() -> Value {
    let ana = Signer::new("ana".parse().unwrap(), [7; 32]);
    json!({
        "version": 3,
        "regions": { "north": { "cap": 40 }, "south": { "cap": 40 } },
        "zones": { "n1": { "region": "north" }, "s1": { "region": "south", "shards": 2 } },
        "links": { "n-s": { "from": "north", "to": "south", "cap": 100, "delay": 20, "floors": {} } },
        "services": { "roster": {
            "regions": { "north": { "weight": 1, "cap": 20 }, "south": { "weight": 1, "cap": 20 } },
            "operations": { "book": { "idempotent": false, "deadline": 2000, "size": 4000 } },
            "backends": {
                "b1": { "zone": "n1", "address": "10.0.0.1:80", "slots": 4, "connections": 330 },
                "b2": { "zone": "s1", "address": "10.0.0.2:80", "slots": 4, "connections": 330 },
            },
            "shift": { "cap": 200, "window": 10000 },
            "slo": { "latency": 250, "objective": 990, "headroom": 100, "drain": 30000 },
        }},
        "classes": { "c1": { "delays": { "north": 5, "south": 30 } } },
        "blocks": { "10.1.0.0/16": "c1" },
        "operators": { "ana": ana.public_key_hex() },
    })
}

#[test]
fn bundles_are_accepted_or_rejected_with_causes() {
    let valid = bundle_json();
    parse_bundle(&valid.to_string()).unwrap();
    let mut accepted = 0;
    let ana = Signer::new("ana".parse().unwrap(), [7; 32]);
    let input = (vec(random_change(), 0..4), any_json(), ".{0,60}");
    let mut runner = runner(1_500);
    for _ in 0..1_500 {
        let (changes, random, text) = input.new_tree(&mut runner).unwrap().current();
        for text in [apply_changes(&valid, &changes).to_string(), random.to_string(), text] {
            match parse_bundle(&text) {
                Err(faults) => {
                    assert!(!faults.is_empty() && faults.iter().all(|it| !it.cause.is_empty()));
                }
                Ok(bundle) => {
                    accepted += 1;
                    let signed = ana.sign_bundle(&bundle, None);
                    let manifest = signed.head.unverified().unwrap();
                    assert_eq!(assemble_bundle(&manifest, &signed.parts).unwrap(), bundle);
                }
            }
        }
    }
    assert!(0 < accepted, "no changed bundle was accepted");
}

#[tokio::test(flavor = "multi_thread")]
async fn random_headers_are_answered_and_run_at_most_once() {
    const CASES: usize = 150;
    let (deployment, address) = start_single_entry(one_zone(0, 1), |_| {}).await;
    let names = [
        header::DEADLINE,
        header::IDEMPOTENCY_KEY,
        header::CUSTOMER,
        header::BLOCK,
        header::TICKET,
        header::ATTEMPT_NUMBER,
    ];
    // All bytes, allowed in a header value or not, but for those that end a line.
    let byte = any::<u8>().prop_filter("the end of a line", |it| *it != b'\n' && *it != b'\r');
    let value = prop_oneof![vec(byte, 0..40), "[0-9]{1,25}".prop_map(String::into_bytes)];
    let query = "[!-~]{0,30}".prop_map(|it| it.replace(['#', '?'], ""));
    let operation = prop::sample::select(vec!["check", "book", "none"]);
    let input = (operation, prop::sample::subsequence(names.to_vec(), 1..=6), vec(value, 6), query);
    let mut runner = runner(1);
    for i in 0..CASES {
        let (operation, names, values, query) = input.new_tree(&mut runner).unwrap().current();
        let path = format!("/v1/call/roster/{operation}?block={query}");
        let mut bytes =
            format!("POST {path} HTTP/1.1\r\nhost: th\r\nconnection: close\r\n").into_bytes();
        bytes.extend(format!("x-request: case-{i}\r\ncontent-length: 1\r\n").bytes());
        for (name, value) in names.iter().zip(&values) {
            bytes.extend(name.bytes().chain(*b": ").chain(value.iter().copied()).chain(*b"\r\n"));
        }
        bytes.extend(b"\r\nx");
        let got = exchange(address, &bytes, "").await;
        assert!(got.starts_with("HTTP/1.1 "), "case {i}: {got:?}");
        assert!(!got.starts_with("HTTP/1.1 500"), "case {i}: {got}");
        let ran = run_count(&deployment, &format!("case-{i}"));
        let (not_run, answered) = (got.contains("not-run"), got.contains(" ran at "));
        assert!(ran <= 1 && !(not_run && 0 < ran) && !(answered && ran == 0), "case {i}: {got}");
        let lookup = format!(
            "GET /v1/lookup/roster/book?block={query} HTTP/1.1\r\nhost: th\r\nconnection: close\r\n\r\n"
        );
        let got = exchange(address, lookup.as_bytes(), "").await;
        assert!(got.starts_with("HTTP/1.1 ") && !got.starts_with("HTTP/1.1 500"), "{got}");
    }
    CallRequest::check("after").send(address).await.assert_answer_to("after");
}

#[tokio::test(flavor = "multi_thread")]
async fn random_forwarded_requests_are_answered_and_run_at_most_once() {
    const CASES: usize = 200;
    let (deployment, address) = start_single_entry(one_zone(0, 1), |_| {}).await;
    let peers = deployment.entries.values().next().unwrap().peers();
    let mut runner = runner(1);
    let input = (prop::sample::select(vec!["check", "book"]), vec(random_change(), 0..4));
    let mut answered = 0;
    for i in 0..CASES {
        let (operation, changes) = input.new_tree(&mut runner).unwrap().current();
        let message = rmp_serde::to_vec_named(&apply_changes(
            &forwarded_request_json(i, operation),
            &changes,
        ))
        .unwrap();
        for route in ["execute", "own"] {
            let call = client().post(format!("http://{peers}/peer/{route}")).body(message.clone());
            let answer =
                CallAnswer::read(call.header(header::PEER_KEY, PEER_KEY).send().await.unwrap())
                    .await;
            assert_ne!(answer.status, 500, "case {i}: {answer:?}");
            let ran = run_count(&deployment, &format!("wire-{i}"));
            // `execute` may run the request, and `own` may run an idempotent one a second time.
            assert!(ran <= 1 + u32::from(operation == "check"), "case {i}: {answer:?}");
            answered += u32::from(answer.notice().is_none());
        }
    }
    assert!(0 < answered, "no forwarded request was answered by a backend server");
    let mut elsewhere = forwarded_request_json(CASES, "check");
    elsewhere["path"] = "@127.0.0.2:9/check".into();
    let call =
        client().post(format!("http://{peers}/peer/execute")).header(header::PEER_KEY, PEER_KEY);
    let call = call.body(rmp_serde::to_vec_named(&elsewhere).unwrap());
    let answer = CallAnswer::read(call.send().await.unwrap()).await;
    answer.assert_notice(Verdict::NotRun, Reason::BadRequest);
    CallRequest::check("after").send(address).await.assert_answer_to("after");
}
