//! Answers to requests that an entry VM without links to backend servers passes on to others.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    process::Stdio,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use desk::{RUN_TIME, config};
use entry::{EntryProcess, ListenAddresses, free, settings};
use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use stand_in::{
    Moment, REFUSED, RepeatingServer, Repeats, STATUS_MARK, StandInServer, StandInStore,
    UNSIGNED_MARK,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const ROUNDS: u32 = 5;
/// Begins the ids of requests that another VM does not answer.
const HELD: &str = "held-";
/// Begins the ids of requests that another VM answers in the name of another one.
const SWAPPED: &str = "swapped-";

/// A VM that callers use and that reaches no server, and two others that do.
struct Deployment {
    _stores: [StandInStore; 2],
    servers: Vec<RepeatingServer>,
    entry: EntryProcess,
    _others: Vec<EntryProcess>,
}

impl Deployment {
    async fn start() -> Deployment {
        let stores = [StandInStore::start().await, StandInStore::start().await];
        let mut servers = Vec::new();
        for id in ["i-1", "i-2"] {
            let repeats = Repeats { moment: Moment::Never, ..Repeats::default() };
            let server = RepeatingServer::start(id, repeats).await;
            let mut unreachable = server.entry();
            unreachable["address"] = json!(free());
            stores[0].put(&format!("servers/{id}"), &unreachable);
            stores[1].put(&format!("servers/{id}"), &server.entry());
            servers.push(server);
        }
        for store in &stores {
            store.put("op/config", &config(7, "/look/"));
        }
        let mut others = Vec::new();
        for vm in ["vm-2", "vm-3"] {
            let listen = ListenAddresses::free();
            let settings = settings(vm, "south-a", listen, stores[1].address);
            let other = EntryProcess::start(listen, &settings, Stdio::null());
            other.wait_until_ready().await;
            other.wait_for_status("/look/first", 200).await;
            let record = json!({"zone": "south-a", "callers": listen.callers, "ready": listen.ready, "peers": listen.peers});
            stores[0].put(&format!("th/vm/{vm}"), &record);
            others.push(other);
        }
        let listen = ListenAddresses::free();
        let settings = settings("vm-1", "north-a", listen, stores[0].address);
        let entry = EntryProcess::start(listen, &settings, Stdio::null());
        entry.wait_until_ready().await;
        entry.wait_for_status("/look/first", 200).await;
        Deployment { _stores: stores, servers, entry, _others: others }
    }

    fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|it| it.runs(id)).sum()
    }
}

/// Guards against a server's failure that is taken for the answer of a VM that has not run the request: it runs again
/// through another VM, or its caller is told that it has not run.
#[rstest]
#[case::not_found(404)]
#[case::timeout(408)]
#[case::rate_limited(429)]
#[case::failed(500)]
#[case::busy(503)]
#[tokio::test]
async fn a_failure_of_a_server_is_no_refusal_of_a_vm(
    #[case] stated: u16,
    #[values("", UNSIGNED_MARK)] mark: &str,
) {
    let deployment = Deployment::start().await;
    let path = format!("/book{mark}{STATUS_MARK}{stated}");
    for round in 0..ROUNDS {
        let id = format!("ran-{round}");
        let status = deployment.entry.send(Method::POST, &path, &id).await.status().as_u16();
        assert_eq!(deployment.runs(&id), 1, "{id}, status {status}");
        assert!(
            !matches!(status, 408 | 421 | 429 | 503),
            "{id} ran, and its caller was told {status}"
        );
    }
}

/// A VM that leaves some requests without an answer, and answers others in the name of another one.
#[derive(Clone, Default)]
struct FaultyVm {
    /// Ids of the requests that it received.
    received: Arc<Mutex<Vec<String>>>,
    /// Number of requests that came on a connection on which one had no answer of its own.
    late: Arc<AtomicU32>,
}

impl FaultyVm {
    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut is_spoilt = false;
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            self.late.fetch_add(u32::from(is_spoilt), Ordering::Relaxed);
            let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
            let field = |name: &str| head.split(name).nth(1).and_then(|it| it.lines().next());
            let length = field("\r\ncontent-length: ").map_or(0, |it| it.parse().unwrap());
            stream.read_exact(&mut vec![0; length]).await?;
            let id = field("\r\nattempt-id: ").unwrap_or_default();
            self.received.lock().unwrap().push(id.to_owned());
            is_spoilt |= id.starts_with(HELD) || id.starts_with(SWAPPED);
            if id.starts_with(HELD) {
                continue;
            }
            let named = if id.starts_with(SWAPPED) { "another" } else { id };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {named}\r\nServer-Signature: 3e1b.07\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}

/// Guards against an answer to an earlier request, such as one that was given up, that is taken for that of the next request
/// on a connection to another VM.
#[rstest]
#[case::no_answer(HELD)]
#[case::answer_to_another(SWAPPED)]
#[tokio::test]
async fn a_connection_to_a_vm_carries_no_late_answers(#[case] kind: &str) {
    let (store, vm) = (StandInStore::start().await, FaultyVm::default());
    for id in ["i-1", "i-2"] {
        let mut unreachable = StandInServer::start(id, RUN_TIME).await.entry("ready");
        unreachable["address"] = json!(free());
        store.put(&format!("servers/{id}"), &unreachable);
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (peers, unused) = (listener.local_addr().unwrap(), ListenAddresses::free());
    let accepting = vm.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(accepting.clone().serve(stream));
        }
    });
    let record = json!({"zone": "south-a", "callers": unused.callers, "ready": unused.ready, "peers": peers});
    store.put("th/vm/vm-2", &record);
    store.put("op/config", &config(7, "/look/"));
    let listen = ListenAddresses::free();
    let settings = settings("vm-1", "north-a", listen, store.address);
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    entry.wait_for_status("/look/first", 200).await;
    for round in 0..2 {
        let id = format!("{kind}{round}");
        let status = entry.send(Method::POST, "/book/x", &id).await.status().as_u16();
        assert!(matches!(status, 502 | 504), "{id}: {status}");
        let count = vm.received.lock().unwrap().iter().filter(|it| **it == id).count();
        assert_eq!(count, 1, "{id} is passed on once");
        entry.wait_for_status("/look/next", 200).await;
    }
    assert_eq!(vm.late.load(Ordering::Relaxed), 0);
}

/// Guards against the loss of true refusals on the way through another VM.
#[tokio::test]
async fn a_refusal_of_all_servers_is_told_through_another_vm() {
    let deployment = Deployment::start().await;
    for round in 0..ROUNDS {
        let id = format!("{REFUSED}-{round}");
        let answer = deployment.entry.send(Method::POST, "/book/x", &id).await;
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
    }
    assert!(deployment.servers.iter().any(|it| 0 < it.refusals()));
    assert_eq!(deployment.entry.send(Method::POST, "/book/x", "served").await.status(), 200);
}
