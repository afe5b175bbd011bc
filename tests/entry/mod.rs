//! The real program, run as a process as on the users' platform.

#![allow(dead_code, reason = "no test file uses all items")]

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use reqwest::Client;
use serde_json::{Value, json};
use tokio::{net::TcpSocket, time::sleep};

/// Addresses on which an entry process listens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListenAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) lookups: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// Returns an address that nothing else listens on or sends from: each has its own loopback host.
pub(crate) fn free() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, high | 1, low, COUNT.fetch_add(1, Ordering::Relaxed));
    // Bound, but not listening: a process that another thread starts at this moment holds a copy of the socket until it
    // runs its own program, and a copy that listens would keep the address in use.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind((host, 0).into()).unwrap();
    socket.local_addr().unwrap()
}

impl ListenAddresses {
    pub(crate) fn free() -> ListenAddresses {
        ListenAddresses { callers: free(), ready: free(), lookups: free(), peers: free() }
    }
}

/// Returns the settings of an entry process.
pub(crate) fn settings(vm: &str, zone: &str, listen: ListenAddresses, store: SocketAddr) -> Value {
    json!({"vm": vm, "zone": zone, "zones": {"north-a": "north", "south-a": "south"},
        "callers": listen.callers, "ready": listen.ready, "lookups": listen.lookups, "peers": listen.peers, "store": store, "grace": 6})
}

/// A running entry process; killed on drop.
pub(crate) struct EntryProcess {
    child: Child,
    pub(crate) listen: ListenAddresses,
    pub(crate) client: Client,
    pub(crate) settings: tempfile::NamedTempFile,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryProcess {
    pub(crate) fn start(listen: ListenAddresses, settings: &Value, output: Stdio) -> EntryProcess {
        let program = Path::new(env!("CARGO_BIN_EXE_tanagerhollow"));
        EntryProcess::start_program(program, listen, settings, output)
    }

    /// Starts the program of another build.
    pub(crate) fn start_program(
        program: &Path,
        listen: ListenAddresses,
        settings: &Value,
        output: Stdio,
    ) -> EntryProcess {
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(settings.to_string().as_bytes()).unwrap();
        let child = Command::new(program)
            .arg("--platform")
            .env("TANAGERHOLLOW_SETTINGS", file.path())
            .stdout(output)
            .spawn()
            .unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        EntryProcess { child, listen, client, settings: file }
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let url = format!("http://{}/-/readiness", self.listen.ready);
        let answer = self.client.get(&url).timeout(Duration::from_secs(1)).send().await;
        answer.is_ok_and(|it| it.status() == 200)
    }

    pub(crate) async fn wait_until_ready(&self) {
        for _ in 0..3_000 {
            if self.is_ready().await {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("the entry process did not become ready");
    }

    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Sets how many file descriptors the process may have; those that it has stay open.
    pub(crate) fn limit_descriptors(&self, limit: u32) {
        let id = self.child.id().to_string();
        let limit = format!("--nofile={limit}:");
        let set = Command::new("prlimit").args(["--pid", &id, &limit]).status();
        assert!(set.unwrap().success());
    }

    /// Returns the exit status, if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}
