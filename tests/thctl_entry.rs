//! The operators' tool against a running entry VM.

mod tool;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde_json::{Value, json};
use th_entry::{Keys, Limits, Listen, Logs, Pace, Settings, Stop, start};
use th_testing::{FakePlatform, Faults, PlatformServer};
use tokio::task::spawn_blocking;
use tool::{TestFolder, keygen, sign, thctl, thctl_json};

/// Queries the status until `version` is in force; returns the status.
fn wait_for_version(version: u64, entry: &str) -> Value {
    const MAX_ATTEMPTS: u32 = 5_000;
    let mut last = Value::Null;
    for _ in 0..MAX_ATTEMPTS {
        let (_, output) = thctl_json(&["status", "--entry", entry]);
        last = output["entries"][0]["status"].clone();
        if last["version"] == version {
            return last;
        }
    }
    panic!("version {version} did not come into force: {last}");
}

fn settings(operators: &[(&str, &str)]) -> Settings {
    let mut keys = Keys { peer: "peer-key-of-this-test".into(), ..Keys::default() };
    keys.tickets.push([9; 32]);
    keys.operators = operators
        .iter()
        .map(|(name, key)| (name.parse().unwrap(), (*key).to_owned()))
        .collect::<BTreeMap<_, _>>();
    Settings {
        vm: "e1".parse().unwrap(),
        zone: "n1".parse().unwrap(),
        listen: Listen::default(),
        peers: Vec::new(),
        store: None,
        keys,
        limits: Limits::default(),
        stop: Stop::default(),
        pace: Pace::default(),
        logs: Logs::default(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolled_bundle_comes_into_force() {
    let folder = TestFolder::new("entry");
    let ana = keygen(&folder, "ana");
    let operators = [("ana", ana.as_str())];
    let fake = FakePlatform::default();
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PlatformServer::start(fake.clone(), loopback).await.unwrap();
    let running = start(settings(&operators), Arc::new(fake)).await.unwrap();
    let (url, entry) = (server.url(), running.callers().to_string());
    let files = [1, 2].map(|it| sign(&folder, &folder.bundle(it, &operators), "ana"));
    let run = move || {
        let (code, output) = thctl_json(&["status", "--entry", &entry]);
        assert_eq!(code, 1, "{output}");
        for (version, file) in (1..).zip(&files) {
            let (code, output) = thctl_json(&["bundle", "roll", file, "--store", &url]);
            assert_eq!(code, 0, "{output}");
            let status = wait_for_version(version, &entry);
            let (_, shown) = thctl_json(&["bundle", "show", "--store", &url]);
            assert_eq!(status["digest"], shown["digest"], "{status}");
        }
        let (code, text) = thctl(&["status", "--entry", &entry]);
        assert_eq!(code, 0, "{text}");

        let (code, output) = thctl_json(&["lookup", "roster", "book", "--entry", &entry]);
        assert_eq!((code, &output["answer"]["version"]), (0, &json!(2)), "{output}");
        assert!(output["answer"]["ticket"].is_string(), "{output}");
        let (code, text) = thctl(&["lookup", "roster", "fly", "--entry", &entry]);
        assert_eq!(code, 1, "{text}");
        assert!(text.contains("no-operation"), "{text}");
        let (code, text) = thctl(&["explain", "roster", "--entry", &entry]);
        assert_eq!(code, 0, "{text}");
        let (code, output) = thctl_json(&["report", "burn", "--entry", &entry]);
        assert_eq!((code, &output["report"]["vms"]), (0, &json!(["e1"])), "{output}");
    };
    spawn_blocking(run).await.unwrap();
    running.kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_missed_a_change_of_operators_catches_up() {
    let folder = TestFolder::new("missed");
    let (ana, ben) = (keygen(&folder, "ana"), keygen(&folder, "ben"));
    let fake = FakePlatform::default();
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PlatformServer::start(fake.clone(), loopback).await.unwrap();
    let running = start(settings(&[("ana", &ana)]), Arc::new(fake.clone())).await.unwrap();
    let (url, entry) = (server.url(), running.callers().to_string());
    let files = [
        sign(&folder, &folder.bundle(1, &[("ana", &ana)]), "ana"),
        sign(&folder, &folder.bundle(2, &[("ben", &ben)]), "ana"),
        sign(&folder, &folder.bundle(3, &[("ben", &ben)]), "ben"),
    ];
    let run = move || {
        let roll = |file: &str| {
            let (code, output) = thctl_json(&["bundle", "roll", file, "--store", &url]);
            assert_eq!(code, 0, "{output}");
        };
        roll(&files[0]);
        wait_for_version(1, &entry);
        fake.set_faults(Faults { stalled_watches: true, ..Faults::default() });
        roll(&files[1]);
        roll(&files[2]);
        assert_eq!(
            wait_for_version(1, &entry)["version"],
            1,
            "the entry VM must not learn of version 2 alone, without version 3"
        );
        fake.set_faults(Faults::default());
        wait_for_version(3, &entry);
    };
    spawn_blocking(run).await.unwrap();
    running.kill();
}
