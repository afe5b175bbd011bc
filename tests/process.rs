//! The compiled program: checks of its settings, its start, and its end by signals.

mod common;
mod program;
mod tool;

use std::process::Command;

use common::*;
use program::{start_with_process, valid_settings};
use serde_json::json;
use th_entry::Settings;
use th_protocol::Millis;
use tool::TestFolder;

/// Runs the program with `--check`; returns the exit code and the lines of standard error.
fn check(test: &str, settings: &str) -> (i32, Vec<String>) {
    let folder = TestFolder::new(test);
    let path = folder.file("settings.json");
    std::fs::write(&path, settings).unwrap();
    let command = Command::new(env!("CARGO_BIN_EXE_tanagerhollow"))
        .args([&path, "--check"])
        .output()
        .unwrap();
    let text = String::from_utf8(command.stderr).unwrap();
    (command.status.code().unwrap(), text.lines().map(str::to_owned).collect())
}

#[test]
fn check_lists_every_fault_with_its_path() {
    assert_eq!(check("good", &valid_settings("http://127.0.0.1:1").to_string()), (0, Vec::new()));
    let mut bad = valid_settings("ftp://127.0.0.1:1");
    bad["vm"] = "no id!".into();
    bad["listen"]["callers"] = "0.0.0.0:1".into();
    bad["keys"]["tickets"] = json!(["short"]);
    bad["limits"] = json!({ "requests": 0 });
    let (code, lines) = check("five", &bad.to_string());
    assert_eq!(code, 2, "{lines:?}");
    let paths = ["vm: ", "listen.callers: ", "keys.tickets.0: ", "limits.requests: ", "store: "];
    assert_eq!(lines.len(), paths.len() + 1, "{lines:?}");
    for path in paths {
        let found = lines.iter().filter(|it| it.contains(&format!("settings.json: {path}")));
        assert_eq!(found.count(), 1, "{path}: {lines:?}");
    }
    assert!(lines[paths.len()].starts_with("5 faults"), "{lines:?}");
    let text = lines.join("\n");
    assert!(!text.contains("short") && !text.contains(PEER_KEY), "a secret is shown: {text}");

    for (pointer, path) in [("/extra", "extra: "), ("/keys/extra", "keys.extra: ")] {
        let mut unknown = valid_settings("http://127.0.0.1:1");
        let (outer, name) = pointer.rsplit_once('/').unwrap();
        unknown.pointer_mut(outer).unwrap()[name] = 1.into();
        let (code, lines) = check("unknown", &unknown.to_string());
        assert_eq!((code, lines.len()), (2, 2), "{lines:?}");
        assert!(lines[0].contains(path), "{lines:?}");
    }
    for text in ["", "[]", "{\"vm\":", "7"] {
        let (code, lines) = check("text", text);
        assert_eq!(code, 2, "{text}: {lines:?}");
    }
    for (pointer, value) in
        [("/keys/tickets", "secret"), ("/keys/peer/0", "secret"), ("/keys", "secret")]
    {
        let mut secret = valid_settings("http://127.0.0.1:1");
        match secret.pointer_mut(pointer) {
            Some(it) => *it = value.into(),
            None => secret["keys"]["peer"] = json!([value]),
        }
        let faults = Settings::read(&secret.to_string()).unwrap_err();
        assert!(faults.iter().all(|it| !it.to_string().contains(value)), "{faults:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_ends_the_process_without_cutting_requests() {
    let (deployment, _server, mut process) = start_with_process("term").await;
    let backend = &deployment.backends[&backend_id(0)];
    backend.update_behaviour(|it| it.service_time = Millis(1_000));
    let ticket = lookup(process.callers, "book").await.ticket.unwrap();
    let in_flight = [
        ("check", CallRequest::check("check").spawn(process.callers)),
        ("book", CallRequest::book("book", &ticket).spawn(process.callers)),
    ];
    wait_until("both requests run", || {
        run_count(&deployment, "check") + run_count(&deployment, "book") == 2
    })
    .await;
    process.terminate();
    for (id, answer) in in_flight {
        answer.await.unwrap().assert_answer_to(id);
    }
    let line = process.wait_for_line("requests were cut");
    assert!(line.contains("0 requests were cut"), "{line}");
    assert_eq!(process.wait_for_exit().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_ends_the_process_at_once_with_a_count() {
    let (deployment, _server, mut process) = start_with_process("twice").await;
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.unresponsive = true);
    let address = process.callers;
    let held = tokio::spawn(async move {
        client().post(format!("http://{address}/v1/call/roster/check")).send().await.is_err()
    });
    wait_until("the request runs", || run_count(&deployment, "") == 1).await;
    process.terminate();
    process.wait_for_line("Taking no new requests; 1 are in flight");
    process.terminate();
    assert_eq!(process.wait_for_line("the stop cut"), "the stop cut 1 request");
    assert_eq!(process.wait_for_exit().await.code(), Some(1));
    assert!(held.await.unwrap(), "the request was answered, expected its connection to be closed");
}
