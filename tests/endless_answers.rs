//! Heads and bodies of answers that never end: bounded in size and time, and never taken for a refusal.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    net::SocketAddr,
    process::Stdio,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use desk::config;
use entry::{EntryProcess, ListenAddresses, free, settings};
use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use stand_in::{StandInServer, StandInStore, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Pause between the bytes of a server that drips.
const DRIP: Duration = Duration::from_millis(100);

/// A server whose answers begin with one text and go on with another for ever.
#[derive(Clone)]
struct EndlessServer {
    address: SocketAddr,
    start: &'static str,
    rest: String,
    pause: Duration,
    /// Number of requests that it received.
    requests: Arc<AtomicU32>,
    /// Number of connections on which it is sending.
    sending: Arc<AtomicU32>,
}

impl EndlessServer {
    async fn start(start: &'static str, rest: String, pause: Duration) -> EndlessServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, sending) = (Arc::default(), Arc::default());
        let server = EndlessServer { address, start, rest, pause, requests, sending };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        server
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut head = Vec::new();
        while !head.windows(4).any(|it| it == b"\r\n\r\n") {
            let Ok(1..) = stream.read_buf(&mut head).await else {
                return;
            };
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.sending.fetch_add(1, Ordering::Relaxed);
        let head = String::from_utf8_lossy(&head).into_owned();
        let id = head.lines().find_map(|it| it.strip_prefix("attempt-id: ")).unwrap_or_default();
        let start = self.start.replace("ID", id);
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(self.rest.as_bytes()).await;
            sleep(self.pause).await;
        }
        self.sending.fetch_sub(1, Ordering::Relaxed);
    }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-signature: 3e1b.07\r\ntransfer-encoding: chunked\r\n\r\n";
const SIZED: &str = "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-signature: 3e1b.07\r\ncontent-length: 900000\r\n\r\n";
const ENDED_BY_CLOSE: &str =
    "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-signature: 3e1b.07\r\n\r\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: ID\r\n";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// Guards against memory, slots and time that an answer without end takes, against its connection in use again, and against
/// a status that says that the request did not run.
#[rstest]
#[case::head(HEAD, format!("x-more: {}\r\n", "x".repeat(1_000)), Duration::ZERO, 502)]
#[case::dripping_head(HEAD, "x: y\r\n".to_owned(), DRIP, 504)]
#[case::heads(INTERIM, INTERIM.to_owned(), DRIP, 504)]
#[case::chunks(CHUNKED, format!("2710\r\n{}\r\n", "x".repeat(10_000)), Duration::ZERO, 502)]
#[case::dripping_chunks(CHUNKED, "1\r\nx\r\n".to_owned(), DRIP, 504)]
#[case::body(ENDED_BY_CLOSE, "x".repeat(10_000), Duration::ZERO, 502)]
#[case::dripping_body(SIZED, "x".to_owned(), DRIP, 504)]
#[tokio::test]
async fn an_answer_without_end_is_bounded(
    #[case] start: &'static str,
    #[case] rest: String,
    #[case] pause: Duration,
    #[case] status: u16,
) {
    let endless = EndlessServer::start(start, rest, pause).await;
    let store = StandInStore::start().await;
    let sound = StandInServer::start("i-1", desk::RUN_TIME).await;
    let mut item = sound.entry("ready");
    item["address"] = json!(endless.address.to_string());
    store.put("servers/i-2", &item);
    store.put("op/config", &config(7, "/look/"));
    let (listen, metrics) = (ListenAddresses::free(), free());
    let mut settings = settings("vm-1", "north-a", listen, store.address);
    // Room for 2 MB, and for 1 MB of one answer.
    (settings["memory"], settings["metrics"]) = (json!(4), json!(metrics.to_string()));
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    // Not idempotent, so it is sent to one server once, and the answer must not promise that it did not run.
    let answered = async {
        while endless.requests.load(Ordering::Relaxed) == 0 {
            let answer = entry.send(Method::POST, "/book/x", "endless").await;
            if endless.requests.load(Ordering::Relaxed) == 1 {
                return answer.status().as_u16();
            }
            assert_eq!(answer.status(), 503, "the server is not known yet");
        }
        unreachable!("the last request reached the server")
    };
    let watched = async {
        loop {
            let held = entry.metric(metrics, "th_gateway_held_bytes").await;
            let limit = entry.metric(metrics, "th_gateway_held_limit_bytes").await;
            assert!(held <= limit, "{held} B of {limit} B are held");
        }
    };
    let got = tokio::select! {
        got = answered => got,
        () = watched => unreachable!("it watches for ever"),
    };
    assert_eq!(got, status);
    wait_until("the connection is closed", || endless.sending.load(Ordering::Relaxed) == 0).await;
    assert_eq!(endless.requests.load(Ordering::Relaxed), 1);
    assert_eq!(entry.metric(metrics, "th_gateway_held_bytes{kind=\"answers\"}").await, 0);
    assert_eq!(entry.metric(metrics, "th_gateway_held_bytes{kind=\"expected\"}").await, 0);
    // The slot is free, and others are served.
    store.put("servers/i-1", &sound.entry("ready"));
    store.remove("servers/i-2");
    entry.wait_for_status("/look/after", 200).await;
    assert_eq!(entry.metric(metrics, "th_gateway_in_flight").await, 0);
}
