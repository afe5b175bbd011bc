//! The compiled program: checks of its settings, its start, and its end by signals.

mod common;
mod tool;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc::{Receiver, channel},
};

use common::*;
use serde_json::{Value, json};
use th_entry::Settings;
use th_protocol::{Millis, Signer, VmRecord, VmRole, VmState};
use th_testing::{Deployment, DeploymentSpec, PlatformServer};
use tool::TestFolder;

fn valid_settings(store: &str) -> Value {
    let ana = Signer::new("ana".parse().unwrap(), [7; 32]);
    json!({
        "vm": "process",
        "zone": "north-a",
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0" },
        "store": store,
        "keys": {
            "peer": PEER_KEY,
            "tickets": [hex::encode([9; 32])],
            "operators": { "ana": ana.public_key_hex() },
        },
        "stop": { "linger": 100, "limit": 60_000 },
    })
}

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

/// A running process, killed when dropped.
struct Process {
    child: Child,
    lines: Receiver<String>,
    callers: SocketAddr,
    _folder: TestFolder,
}

impl Process {
    fn start(test: &str, settings: &Value) -> Process {
        let folder = TestFolder::new(test);
        let path = folder.file("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_tanagerhollow"))
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = channel();
        let reader = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let mut process =
            Process { child, lines, callers: SocketAddr::from(([0; 4], 0)), _folder: folder };
        let line = process.wait_for_line("Listening for callers at ");
        let rest = line.split("callers at ").nth(1).unwrap();
        process.callers = rest.split(',').next().unwrap().parse().unwrap();
        process
    }

    /// Waits for the next line that contains `part`.
    fn wait_for_line(&self, part: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(WAIT_LIMIT)
                .unwrap_or_else(|e| panic!("no line with {part:?} within {WAIT_LIMIT:?}: {e}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        let has_exited = || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        };
        wait_until("the process ended", has_exited).await;
        status.unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a deployment whose only entry VM is a separate process.
async fn start_with_process(test: &str) -> (Deployment, PlatformServer, Process) {
    let spec = DeploymentSpec { deadline: Millis(60_000), ..one_zone(0, 1) };
    let deployment = Deployment::start(spec).await.unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PlatformServer::start(deployment.platform.clone(), any).await.unwrap();
    let process = Process::start(test, &valid_settings(&server.url()));
    deployment.platform.list_vm(VmRecord {
        vm: "process".parse().unwrap(),
        zone: zone(),
        address: process.callers,
        state: VmState::Live,
        role: VmRole::Entry,
    });
    wait_until_serving(process.callers).await;
    (deployment, server, process)
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
