//! The real program on the users' platform, over loopback with stand-ins: requests, bodies, and what servers state.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{net::SocketAddr, process::Stdio, time::Duration};

use desk::{RUN_TIME, config, deployment, start};
use entry::{EntryProcess, ListenAddresses, settings};
use reqwest::Method;
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::{Reply, StandInServer, StandInStore, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

#[tokio::test]
async fn a_request_gets_the_complete_answer_of_its_server() {
    let (store, servers, entry) = deployment(1).await;
    let answer = entry.send(Method::POST, "/book/a?b=c", "one").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["attempt-id"], "one");
    assert_eq!(answer.headers()["server-signature"], "3e1b.07");
    assert_eq!(answer.text().await.unwrap(), "i-1 /book/a?b=c 4");
    assert_eq!(servers[0].runs("one"), 1);
    assert_eq!(entry.send(Method::GET, "/none/", "two").await.status(), 404);
    wait_until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    let url = format!("http://{}/-/resolve?name=desk.example&zone=north-a", entry.listen.lookups);
    let answer: Value = entry.client.get(url).send().await.unwrap().json().await.unwrap();
    assert_eq!(answer["addresses"][0], json!(entry.listen.callers.to_string()));
}

#[rstest]
// Not run, so another server may run it.
#[case::shed(Reply::Shed, 200, 1)]
// Run, and the answer is lost or carries another id: must not run again.
#[case::wrong_id(Reply::WrongId, 502, 1)]
#[case::disconnect(Reply::Disconnect, 502, 1)]
#[tokio::test]
async fn an_unsafe_request_runs_once(#[case] reply: Reply, #[case] status: u16, #[case] runs: u32) {
    let (_store, servers, entry) = deployment(2).await;
    for server in &servers {
        server.reply_next(reply);
    }
    let answer = entry.send(Method::POST, "/book/x", "once").await;
    let runs_seen: u32 = servers.iter().map(|it| it.runs("once")).sum();
    // If both servers shed the request, it is rejected with a retry delay.
    if reply == Reply::Shed {
        assert_eq!((answer.status().as_u16(), runs_seen), (503, 0));
        assert!(answer.headers().contains_key("retry-after"));
        let again = entry.send(Method::POST, "/book/x", "again").await;
        let runs_seen: u32 = servers.iter().map(|it| it.runs("again")).sum();
        assert_eq!((again.status().as_u16(), runs_seen), (status, runs));
        return;
    }
    assert_eq!((answer.status().as_u16(), runs_seen), (status, runs));
}

#[tokio::test]
async fn a_safe_request_is_retried_after_a_lost_answer() {
    let (_store, servers, entry) = deployment(2).await;
    servers[0].reply_next(Reply::Disconnect);
    servers[1].reply_next(Reply::Disconnect);
    let first = entry.send(Method::GET, "/look/x", "first").await.status();
    let second = entry.send(Method::GET, "/look/x", "second").await.status();
    assert!(first == 200 || second == 200, "{first} {second}");
}

/// A configuration whose time-outs large bodies do not reach on a busy machine.
fn patient(version: u64, prefix: &str) -> Value {
    let mut config = config(version, prefix);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(60_000);
    }
    config
}

#[tokio::test]
async fn bodies_beyond_the_memory_limit_are_rejected() {
    let (store, servers, _entry) = deployment(1).await;
    let listen = ListenAddresses::free();
    let mut settings = settings("vm-2", "north-a", listen, store.address);
    settings["memory"] = json!(16);
    store.put("op/config", &patient(8, "/look/"));
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    entry.wait_for_status("/look/first", 200).await;
    for number in 0..2 {
        let url = format!("http://{}/book/large", entry.listen.callers);
        let request = entry.client.post(url).header("host", "desk.example");
        let request = request.header("attempt-id", format!("large-{number}"));
        let answer = request.body("x".repeat(6 << 20)).send().await.unwrap();
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
        assert_eq!(servers[0].runs(&format!("large-{number}")), 0);
        // The memory of the rejected body is released.
        let answer = entry.send(Method::POST, "/book/small", &format!("small-{number}")).await;
        assert_eq!(answer.status(), 200);
    }
}

/// Guards against a lost answer: if the VM rejects a request before it has read the body, the caller must still receive
/// that answer and the next one.
#[tokio::test]
async fn a_vm_without_routes_rejects_large_requests() {
    let store = StandInStore::start().await;
    let entry = start(&store);
    wait_until("the VM has read the store", || 0 < store.calls("/-/kv-watch")).await;
    for number in 0..5 {
        let url = format!("http://{}/book/large", entry.listen.callers);
        let request = entry.client.post(url).header("host", "desk.example");
        let request = request.header("attempt-id", format!("early-{number}"));
        let answer = request.body("x".repeat(6 << 20)).send().await.unwrap();
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
    }
}

/// Guards against a caller that sends its next request on a connection which is closed behind the answer, since the body of a
/// rejected request came too slowly.
#[rstest]
#[case::no_routes(false, "503")]
#[case::no_such_route(true, "404")]
#[tokio::test]
async fn an_answer_before_the_body_is_complete_says_that_the_connection_closes(
    #[case] has_routes: bool,
    #[case] status: &str,
) {
    let store = StandInStore::start().await;
    if has_routes {
        store.put("op/config", &config(7, "/look/"));
    }
    let entry = start(&store);
    wait_until("the VM has read the store", || 0 < store.calls("/-/kv-watch")).await;
    let mut stream = TcpStream::connect(entry.listen.callers).await.unwrap();
    let head =
        "POST /none HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 1000\r\n\r\nfirst bytes";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let answer = answer.to_ascii_lowercase();
    assert!(answer.starts_with(&format!("http/1.1 {status}")), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Guards against a server that is sent more than the limit that it states in its answers.
#[tokio::test]
async fn a_server_that_limits_its_requests_gets_no_more() {
    const LIMIT: f64 = 1.0;
    const TIME: Duration = Duration::from_secs(4);
    let (store, mut servers) = (StandInStore::start().await, Vec::new());
    for id in ["i-1", "i-2"] {
        let server = StandInServer::start(id, RUN_TIME).await;
        store.put(&format!("servers/{id}"), &server.entry("ready"));
        servers.push(server);
    }
    store.put("op/config", &config(7, "/look/"));
    let (listen, metrics) = (ListenAddresses::free(), ListenAddresses::free().ready);
    let mut settings = settings("vm-1", "north-a", listen, store.address);
    settings["metrics"] = json!(metrics);
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    entry.wait_for_status("/look/first", 200).await;
    let limited = servers.iter().max_by_key(|it| it.total_runs()).unwrap();
    limited.set_limit(Some(LIMIT));
    assert_eq!(entry.send(Method::GET, "/look/x", "told").await.status(), 200);
    assert_eq!(limited_servers(&entry, metrics).await, 1);
    let (start, before) = (Instant::now(), limited.total_runs());
    let mut sent = 0;
    while start.elapsed() < TIME {
        let answer = entry.send(Method::GET, "/look/x", &format!("limited-{sent}")).await;
        assert_eq!(answer.status(), 200);
        sent += 1;
    }
    let runs = limited.total_runs() - before;
    // A VM that is alone has the whole limit.
    assert!(f64::from(runs) <= LIMIT * TIME.as_secs_f64() + 1.0, "{runs} of {sent} requests");
    // Which of two servers is used follows from their speed, so only the limited one is left.
    let other = servers.iter().find(|it| it.id != limited.id).unwrap();
    limited.set_limit(None);
    store.remove(&format!("servers/{}", other.id));
    store.put("op/config", &config(8, "/seen/"));
    entry.wait_for_status("/seen/x", 200).await;
    wait_until("its answers are read", || runs < limited.total_runs() - before).await;
    assert_eq!(limited_servers(&entry, metrics).await, 0, "the limit has not ended");
    let before = limited.total_runs();
    for number in 0..20 {
        let answer = entry.send(Method::GET, "/seen/x", &format!("after-{number}")).await;
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(limited.total_runs(), before + 20, "the server is not used again");
}

/// Number of servers whose limit a VM keeps to, by its metrics.
async fn limited_servers(entry: &EntryProcess, metrics: SocketAddr) -> u32 {
    let text = entry.client.get(format!("http://{metrics}/metrics")).send().await.unwrap();
    let text = text.text().await.unwrap();
    let line = text.lines().find(|it| it.starts_with("th_gateway_limited "));
    line.unwrap().rsplit(' ').next().unwrap().parse().unwrap()
}

/// Guards against requests to a server that says in an answer that it leaves, while its entry does not say so yet.
#[rstest]
#[case::another_server(2)]
#[case::no_other_server(1)]
#[tokio::test]
async fn a_server_that_says_it_leaves_gets_no_more_requests(#[case] count: usize) {
    let (store, servers, entry) = deployment(count).await;
    let leaving = servers.iter().max_by_key(|it| it.total_runs()).unwrap();
    leaving.leave();
    assert_eq!(entry.send(Method::GET, "/look/x", "told").await.status(), 200);
    let before = leaving.total_runs();
    for number in 0..20 {
        let answer = entry.send(Method::GET, "/look/x", &format!("left-{number}")).await;
        assert_eq!(answer.status() == 200, 1 < count);
        // The entry is written again, and vanishes for a moment.
        store.remove(&format!("servers/{}", leaving.id));
        sleep(Duration::from_millis(50)).await;
        store.put(&format!("servers/{}", leaving.id), &leaving.entry("ready"));
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(leaving.total_runs(), before);
}

/// Guards against requests to a server that turned one away and said for how long it wants none.
#[rstest]
#[case::another_server(2)]
#[case::no_other_server(1)]
#[tokio::test]
async fn a_server_that_wants_a_pause_gets_no_requests(#[case] count: usize) {
    let (_store, servers, entry) = deployment(count).await;
    let resting = servers.iter().max_by_key(|it| it.total_runs()).unwrap();
    resting.reply_next(Reply::Rest);
    let told = entry.send(Method::GET, "/look/x", "told").await;
    assert_eq!(told.status() == 200, 1 < count);
    let (start, before) = (Instant::now(), resting.total_runs());
    while start.elapsed() < Duration::from_millis(900) {
        let answer = entry.send(Method::GET, "/look/x", "rest").await;
        assert_eq!(answer.status() == 200, 1 < count);
        if count == 1 {
            let text = answer.headers()["retry-after"].to_str().unwrap();
            let back: f64 = text.parse().unwrap();
            assert!((0.05..=1.0).contains(&back), "back after {back} s of 1 s");
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(resting.total_runs(), before);
    entry.wait_for_status("/look/x", 200).await;
    while resting.total_runs() == before {
        assert!(start.elapsed() < Duration::from_secs(5), "the server is not used again");
        assert_eq!(entry.send(Method::GET, "/look/x", "after").await.status(), 200);
    }
}

#[tokio::test]
async fn a_request_abandoned_by_its_caller_is_cancelled() {
    let (_store, servers, entry) = deployment(1).await;
    // Far longer than the route's time-out, so that nothing else ends the run first.
    servers[0].set_work(Duration::from_secs(600));
    let url = format!("http://{}/book/left", entry.listen.callers);
    let request = entry.client.post(url).header("host", "desk.example");
    let request = request.header("attempt-id", "left").header("request-deadline", "4000");
    let call = tokio::spawn(request.send());
    wait_until("the request runs", || servers[0].runs("left") == 1).await;
    call.abort();
    wait_until("the run is cancelled", || servers[0].cancelled() == 1).await;
    servers[0].set_work(RUN_TIME);
    assert_eq!(entry.send(Method::POST, "/book/next", "next").await.status(), 200);
}

/// Guards against mixed requests on one connection: a server may reject a request before it has read the body, and keep
/// the connection. After that it must receive the rest of that body or the end, never bytes of another request.
#[tokio::test]
async fn an_early_answer_does_not_mix_request_bodies() {
    let (store, servers, entry) = deployment(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut early = servers[0].entry("ready");
    early["address"] = json!(listener.local_addr().unwrap().to_string());
    let (sender, mut bodies) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream, sender.clone()));
        }
    });
    store.put("servers/i-2", &early);
    store.remove(&format!("servers/{}", servers[0].id));
    store.put("op/config", &patient(8, "/early/"));
    entry.wait_for_status("/early/x", 503).await;
    let body = "x".repeat(4 << 20);
    for number in 0..3 {
        let url = format!("http://{}/book/early", entry.listen.callers);
        let request = entry.client.post(url).header("host", "desk.example");
        let request = request.header("attempt-id", format!("early-{number}"));
        let answer = request.body(body.clone()).send().await.unwrap();
        assert_eq!(answer.status(), 503, "not run, and the caller learns that");
    }
    drop(entry);
    let mut large = 0;
    while large < 3 {
        let received = timeout(Duration::from_secs(60), bodies.recv()).await;
        let (length, body): (usize, Vec<u8>) = received.expect("all bodies are sent").unwrap();
        large += usize::from(length == 4 << 20);
        let is_own = body.iter().all(|it| *it == b'x') || body == b"body"[..body.len().min(4)];
        assert!(is_own, "{}", String::from_utf8_lossy(&body[..body.len().min(200)]));
    }
}

/// Answers each request as soon as its head has arrived, then reads the bytes that follow where its body is due. Sends
/// the stated length and these bytes to `bodies`.
async fn answer_early(mut stream: TcpStream, bodies: mpsc::UnboundedSender<(usize, Vec<u8>)>) {
    let mut bytes = Vec::new();
    loop {
        let end = bytes.windows(4).position(|it| it == b"\r\n\r\n");
        let Some(end) = end else {
            // The other side may reset a connection that it does not use again.
            if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                return;
            }
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let field = |name: &str| head.split(name).nth(1).and_then(|it| it.lines().next());
        let length = field("content-length: ").map_or(0, |it| it.parse().unwrap());
        let id = field("attempt-id: ").unwrap();
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        bytes.drain(..end + 4);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        while bytes.len() < length && 0 < stream.read_buf(&mut bytes).await.unwrap_or(0) {}
        let rest = bytes.split_off(bytes.len().min(length));
        let complete = bytes.len() == length;
        // The test may have finished.
        if bodies.send((length, std::mem::replace(&mut bytes, rest))).is_err() || !complete {
            return;
        }
    }
}
