//! The compiled program as the only entry VM of a deployment.

#![allow(dead_code, reason = "no test file uses all items")]

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc::{Receiver, channel},
};

use serde_json::{Value, json};
use th_protocol::{Millis, Signer, VmRecord, VmRole, VmState};
use th_testing::{Deployment, DeploymentSpec, PlatformServer};

use crate::{common::*, tool::TestFolder};

/// Returns settings of the program.
pub(crate) fn valid_settings(store: &str) -> Value {
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

/// A running process, killed when dropped.
pub(crate) struct Process {
    child: Child,
    lines: Receiver<String>,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    _folder: TestFolder,
}

impl Process {
    pub(crate) fn start(test: &str, settings: &Value) -> Process {
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
        let none = SocketAddr::from(([0; 4], 0));
        let mut process = Process { child, lines, callers: none, peers: none, _folder: folder };
        let line = process.wait_for_line("Listening for callers at ");
        let (_, rest) = line.split_once("callers at ").unwrap();
        let (callers, peers) = rest.split_once(", for peers at ").unwrap();
        process.callers = callers.parse().unwrap();
        process.peers = peers.trim_end_matches('.').parse().unwrap();
        process
    }

    /// Waits for the next line that contains `part`.
    pub(crate) fn wait_for_line(&self, part: &str) -> String {
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

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Sets how many file descriptors the process may have; those that it has stay open.
    pub(crate) fn limit_descriptors(&self, limit: u32) {
        let (id, limit) = (self.child.id().to_string(), format!("--nofile={limit}:"));
        let set = Command::new("prlimit").args(["--pid", &id, &limit]).status();
        assert!(set.unwrap().success());
    }

    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
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
pub(crate) async fn start_with_process(test: &str) -> (Deployment, PlatformServer, Process) {
    start_with_settings(test, |_| {}).await
}

/// Starts a deployment whose only entry VM is a separate process with settings changed by `change`.
pub(crate) async fn start_with_settings(
    test: &str,
    change: impl FnOnce(&mut Value),
) -> (Deployment, PlatformServer, Process) {
    let spec = DeploymentSpec { deadline: Millis(60_000), ..one_zone(0, 1) };
    let deployment = Deployment::start(spec).await.unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PlatformServer::start(deployment.platform.clone(), any).await.unwrap();
    let mut settings = valid_settings(&server.url());
    change(&mut settings);
    let process = Process::start(test, &settings);
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
