//! Callers that take their answers slowly: what is held for them counts, and others are served meanwhile.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{net::SocketAddr, process::Stdio, time::Duration};

use desk::{config, deployment};
use entry::{EntryProcess, ListenAddresses, free, settings};
use futures_util::future::join_all;
use reqwest::Method;
use serde_json::{Value, json};
use stand_in::{SIZE_MARK, StandInServer, StandInStore};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// Bound on every wait of these tests.
const PATIENCE: Duration = Duration::from_secs(60);
/// Size of the answers to slow callers, in bytes: far more than sockets take of it.
const LARGE: usize = 8 << 20;
/// Size of an ordinary download, in bytes.
const DOWNLOAD: usize = 90_000;
const HELD: &str = "th_gateway_held_bytes";
const HELD_ANSWERS: &str = "th_gateway_held_bytes{kind=\"answers\"}";
const HELD_EXPECTED: &str = "th_gateway_held_bytes{kind=\"expected\"}";

/// An entry VM and the address of its metrics.
struct Vm {
    entry: EntryProcess,
    metrics: SocketAddr,
}

/// A deployment with an entry VM of those settings and limits on callers. Its route `/load/` is one of downloads.
async fn start(machine: Value, limits: Value) -> (StandInStore, Vec<StandInServer>, Vm) {
    let (store, servers, _entry) = deployment(2).await;
    let mut config = config(8, "/look/");
    let mut route = config["routes"][0].clone();
    (route["name"], route["prefix"], route["kind"]) =
        (json!("load"), json!("/load/"), json!("download"));
    // Not a test of time: a busy machine takes long for the largest answers.
    route["timeout_ms"] = json!(20_000);
    config["limits"] = limits;
    config["routes"].as_array_mut().unwrap().push(route);
    store.put("op/config", &config);
    let (listen, metrics) = (ListenAddresses::free(), free());
    let mut settings = settings("vm-2", "north-a", listen, store.address);
    settings["metrics"] = json!(metrics.to_string());
    settings.as_object_mut().unwrap().extend(machine.as_object().unwrap().clone());
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    entry.wait_for_status("/load/first", 200).await;
    (store, servers, Vm { entry, metrics })
}

/// Sends a request with no time to lose, and reads only the first bytes of its answer.
async fn open_slow(address: SocketAddr, id: &str, size: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let head = format!(
        "GET /load{SIZE_MARK}{size} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut start = [0; 12];
    timeout(PATIENCE, stream.read_exact(&mut start)).await.unwrap().unwrap();
    assert_eq!(String::from_utf8_lossy(&start), "HTTP/1.1 200");
    stream
}

/// Reads about 1 KB a second.
fn read_slowly(mut stream: TcpStream) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut part = [0; 100];
        while let Ok(1..) = stream.read(&mut part).await {
            sleep(Duration::from_millis(100)).await;
        }
    })
}

impl Vm {
    async fn download(&self, id: &str, size: usize) -> reqwest::Response {
        let url = format!("http://{}/load{SIZE_MARK}{size}", self.entry.listen.callers);
        let request = self.entry.client.get(url).header("host", "desk.example");
        request.header("attempt-id", id.to_owned()).send().await.unwrap()
    }

    async fn metric(&self, prefix: &str) -> u64 {
        self.entry.metric(self.metrics, prefix).await
    }

    async fn limit(&self) -> u64 {
        self.metric("th_gateway_held_limit_bytes").await
    }

    async fn wait_for_metric(&self, prefix: &str, matches: impl Fn(u64) -> bool) {
        for _ in 0..3_000 {
            if matches(self.metric(prefix).await) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("{prefix} stays at {}", self.metric(prefix).await);
    }
}

/// Guards against slow callers whose answers are not counted, who hold up others, or keep slots of servers.
#[tokio::test]
async fn a_hundred_slow_callers_do_not_hold_up_others() {
    // More than the socket of a caller that reads nothing takes.
    const SIZE: usize = 3_000_000;
    let (_store, _servers, vm) = start(json!({"memory": 1_000}), json!({})).await;
    let mut slow = Vec::new();
    for number in 0..100 {
        slow.push(open_slow(vm.entry.listen.callers, &format!("slow-{number}"), SIZE).await);
    }
    let limit = vm.limit().await;
    assert_eq!(limit, 500_000_000);
    // Each is held until its caller has taken all of it.
    let held = vm.metric(HELD_ANSWERS).await;
    assert!(100 * SIZE as u64 <= held, "{held} B are held");
    let slow: Vec<JoinHandle<()>> = slow.into_iter().map(read_slowly).collect();
    for round in 0..20 {
        let ids: Vec<String> = (0..4).map(|it| format!("other-{round}-{it}")).collect();
        for answer in join_all(ids.iter().map(|it| vm.download(it, DOWNLOAD))).await {
            assert_eq!(answer.status(), 200);
            assert_eq!(answer.bytes().await.unwrap().len(), DOWNLOAD);
        }
        let id = format!("small-{round}");
        assert_eq!(vm.entry.send(Method::POST, "/book/x", &id).await.status(), 200);
        let held = vm.metric(HELD).await;
        assert!(held <= limit, "{held} B of {limit} B are held");
    }
    for reader in &slow {
        assert!(!reader.is_finished(), "a caller that still reads was cut off");
        reader.abort();
    }
    vm.wait_for_metric(HELD_ANSWERS, |it| it == 0).await;
    assert_eq!(vm.metric(HELD_EXPECTED).await, 0);
}

/// Guards against answers that are made and can't be held: while slow callers fill the memory, downloads are turned away
/// before they run, small requests are served, and what is ready is delivered.
#[tokio::test]
async fn large_answers_are_turned_away_before_they_run() {
    let (_store, servers, vm) = start(json!({"memory": 100}), json!({})).await;
    // The first answer tells how large they are.
    let learnt = vm.download("learnt", LARGE).await;
    assert_eq!(learnt.bytes().await.unwrap().len(), LARGE);
    let mut slow = Vec::new();
    let refused = loop {
        assert!(slow.len() as u64 * LARGE as u64 <= vm.limit().await, "nothing is turned away");
        let id = format!("slow-{}", slow.len());
        let before = vm.metric("th_gateway_refused_total").await;
        let probe = vm.download(&format!("probe-{id}"), LARGE).await;
        if probe.status() == 503 {
            assert_eq!(vm.metric("th_gateway_refused_total").await, before + 1);
            break probe;
        }
        assert_eq!(probe.bytes().await.unwrap().len(), LARGE);
        slow.push(open_slow(vm.entry.listen.callers, &id, LARGE).await);
    };
    assert!(!slow.is_empty());
    let back: f64 = refused.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    assert!((0.1..=1.5).contains(&back), "back after {back} s");
    let id = format!("probe-slow-{}", slow.len());
    assert_eq!(servers.iter().map(|it| it.runs(&id)).sum::<u32>(), 0);
    for number in 0..20 {
        let answer = vm.entry.send(Method::POST, "/book/x", &format!("small-{number}")).await;
        assert_eq!(answer.status(), 200);
    }
    let (held, limit) = (vm.metric(HELD).await, vm.limit().await);
    assert!(held <= limit, "{held} B of {limit} B are held");
    // What is ready is delivered, also late.
    for stream in &mut slow {
        let mut left = LARGE;
        let mut part = vec![0; 64 << 10];
        while 0 < left {
            let read = timeout(PATIENCE, stream.read(&mut part)).await.unwrap().unwrap();
            assert!(0 < read, "the answer ends {left} B before its end");
            left = left.saturating_sub(read);
        }
    }
    assert_eq!(vm.download("after", LARGE).await.status(), 200);
}

/// Guards against downloads that run although the VM's link can't carry their answers in time: twenty at once, of 0.7 s of the
/// link each, due in 3 s.
#[tokio::test]
async fn downloads_beyond_the_link_are_turned_away_before_they_run() {
    let (_store, servers, vm) = start(json!({"memory": 384, "link": 1}), json!({})).await;
    let learnt = vm.download("learnt", DOWNLOAD).await;
    assert_eq!(learnt.bytes().await.unwrap().len(), DOWNLOAD);
    let url = format!("http://{}/load{SIZE_MARK}{DOWNLOAD}", vm.entry.listen.callers);
    let send = |number: usize| {
        let request = vm.entry.client.get(&url).header("host", "desk.example");
        let request = request.header("attempt-id", format!("load-{number}"));
        request.header("request-deadline", "3000").send()
    };
    let mut refused = 0;
    for (number, answer) in join_all((0..20).map(send)).await.into_iter().enumerate() {
        let answer = answer.unwrap();
        let id = format!("load-{number}");
        if answer.status() == 503 {
            assert!(answer.headers().contains_key("retry-after"));
            assert_eq!(servers.iter().map(|it| it.runs(&id)).sum::<u32>(), 0);
            refused += 1;
            continue;
        }
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.bytes().await.unwrap().len(), DOWNLOAD);
    }
    assert!((1..20).contains(&refused), "{refused} of 20 are turned away");
    assert_eq!(vm.metric("th_gateway_refused_total{for=\"link\"}").await, refused);
    assert_eq!(vm.entry.send(Method::POST, "/book/x", "small").await.status(), 200);
}

/// Guards against answers that are held for ever for callers that take nothing, and against callers that are cut off though
/// they read: a socket that is full tells of new room only when much of it is free.
#[tokio::test]
async fn only_callers_that_take_nothing_are_cut_off() {
    // Twice the time-outs of the configuration, and a margin.
    const TIME: Duration = Duration::from_millis(6_000);
    let limits = json!({"header_timeout_ms": 1_000, "idle_timeout_ms": 1_000});
    let (_store, _servers, vm) = start(json!({"memory": 100}), limits).await;
    let deaf = open_slow(vm.entry.listen.callers, "deaf", LARGE).await;
    let mut slow = open_slow(vm.entry.listen.callers, "slow", LARGE).await;
    let (start, mut part, mut taken) = (Instant::now(), [0; 1_000], 0);
    while start.elapsed() < 2 * TIME {
        let read = timeout(PATIENCE, slow.read(&mut part)).await.unwrap().unwrap();
        assert!(0 < read, "cut off after {taken} B and {:?}", start.elapsed());
        taken += read;
        sleep(Duration::from_millis(50)).await;
    }
    vm.wait_for_metric(HELD_ANSWERS, |it| it < 2 * LARGE as u64).await;
    drop(deaf);
    while taken < LARGE {
        let read = timeout(PATIENCE, slow.read(&mut part)).await.unwrap().unwrap();
        assert!(0 < read, "cut off after {taken} B");
        taken += read;
    }
}

/// Guards against a caller that sends request after request and reads no answer: only a bounded part of them runs.
#[tokio::test]
async fn a_caller_that_reads_nothing_is_held_a_bounded_amount() {
    const SIZE: usize = 500_000;
    let (_store, servers, vm) = start(json!({"memory": 384}), json!({})).await;
    let mut stream = TcpStream::connect(vm.entry.listen.callers).await.unwrap();
    let mut heads = String::new();
    for number in 0..200 {
        let head = format!(
            "GET /load{SIZE_MARK}{SIZE} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: deaf-{number}\r\n\r\n"
        );
        heads.push_str(&head);
    }
    stream.write_all(heads.as_bytes()).await.unwrap();
    vm.wait_for_metric(HELD_ANSWERS, |it| SIZE as u64 <= it).await;
    for number in 0..20 {
        let answer = vm.entry.send(Method::POST, "/book/x", &format!("small-{number}")).await;
        assert_eq!(answer.status(), 200);
    }
    let runs = servers.iter().flat_map(|it| it.all_runs().into_keys());
    let runs = runs.filter(|it| it.starts_with("deaf-")).count();
    assert!(runs < 100, "{runs} of 200 requests ran for a caller that reads nothing");
    assert!(vm.metric(HELD).await <= vm.limit().await);
    drop(stream);
    vm.wait_for_metric(HELD_ANSWERS, |it| it == 0).await;
}
