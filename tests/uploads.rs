//! Large bodies, slow senders, and answers of any size.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{process::Stdio, time::Duration};

use desk::{config, deployment};
use entry::{EntryProcess, ListenAddresses, settings};
use reqwest::Method;
use serde_json::json;
use stand_in::{Reply, StandInServer, StandInStore, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Bound on every wait of these tests.
const PATIENCE: Duration = Duration::from_secs(20);
/// An upload of the largest usual size.
const LARGE: usize = 360 << 10;

fn upload_config(version: u64) -> serde_json::Value {
    let mut config = config(version, "/look/");
    let mut route = config["routes"][1].clone();
    (route["name"], route["prefix"], route["kind"]) =
        (json!("photo"), json!("/photo/"), json!("upload"));
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

/// A deployment with an entry VM that has 250 kB for the bodies of requests, and as much for those of answers.
async fn small_deployment() -> (StandInStore, Vec<StandInServer>, EntryProcess) {
    let (store, servers, _entry) = deployment(1).await;
    let listen = ListenAddresses::free();
    let mut settings = settings("vm-2", "north-a", listen, store.address);
    settings["memory"] = json!(1);
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    entry.wait_for_status("/look/first", 200).await;
    (store, servers, entry)
}

/// Sends these bytes and returns all that comes back until the connection ends.
async fn exchange(entry: &EntryProcess, sent: &str) -> String {
    let mut stream = TcpStream::connect(entry.listen.callers).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let reading = async { while let Ok(1..) = stream.read_buf(&mut received).await {} };
    timeout(PATIENCE, reading).await.expect("the connection ends");
    String::from_utf8_lossy(&received).into_owned()
}

#[tokio::test]
async fn an_upload_arrives_whole_and_runs_once() {
    let (store, servers, entry) = deployment(2).await;
    store.put("op/config", &upload_config(8));
    entry.wait_for_status("/photo/first", 200).await;
    let body = "x".repeat(LARGE);
    let url = format!("http://{}/photo/a", entry.listen.callers);
    let send = |id: &str| {
        let request = entry.client.post(&url).header("host", "desk.example");
        request.header("attempt-id", id.to_owned()).body(body.clone()).send()
    };
    let answer = send("whole").await.unwrap();
    assert_eq!(answer.status(), 200);
    assert!(answer.text().await.unwrap().ends_with(&format!(" {LARGE}")));
    // A lost answer is not a reason to send it again.
    servers.iter().for_each(|it| it.reply_next(Reply::Disconnect));
    assert_eq!(send("lost").await.unwrap().status(), 502);
    assert_eq!(servers.iter().map(|it| it.runs("lost")).sum::<u32>(), 1);
}

#[tokio::test]
async fn a_stalled_sender_is_answered_at_its_deadline() {
    let (_store, servers, entry) = deployment(1).await;
    let head = "POST /book/slow HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: slow\r\nRequest-Deadline: 700\r\n\
        Content-Length: 1000\r\n\r\nonly a part";
    let answer = exchange(&entry, head).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert_eq!(servers[0].runs("slow"), 0);
    assert_eq!(entry.send(Method::POST, "/book/next", "next").await.status(), 200);
}

#[tokio::test]
async fn a_stalled_sender_without_a_route_is_answered() {
    let (_store, servers, entry) = deployment(1).await;
    let head = "POST /none/slow HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: slow\r\nContent-Length: 1000\r\n\r\npart";
    let answer = exchange(&entry, head).await;
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    assert_eq!(servers[0].runs("slow"), 0);
}

/// Guards against answers that are lost since the connection closes while their callers still send.
#[tokio::test]
async fn an_answer_that_comes_before_the_end_of_a_body_is_delivered() {
    const PART: usize = 30_000;
    const PARTS: usize = 12;
    let (_store, servers, entry) = deployment(1).await;
    let mut stream = TcpStream::connect(entry.listen.callers).await.unwrap();
    let head = format!(
        "POST /none/slow HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: slow\r\nContent-Length: {}\r\n\r\n",
        PART * PARTS
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    for part in 0..PARTS {
        stream.write_all(&[b'x'; PART]).await.unwrap_or_else(|it| panic!("part {part}: {it}"));
        sleep(Duration::from_millis(250)).await;
    }
    let mut received = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut received)).await.expect("the end").unwrap();
    let answer = String::from_utf8_lossy(&received);
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    assert_eq!(servers[0].runs("slow"), 0);
}

/// Guards against a caller that keeps a VM busy by sending on without end after its request was rejected.
#[tokio::test]
async fn a_body_without_end_is_read_up_to_the_limit() {
    const LIMIT: usize = 1 << 20;
    /// What the sockets hold.
    const UNREAD: usize = 16 << 20;
    let (store, _servers, entry) = deployment(1).await;
    let mut config = config(8, "/seen/");
    config["limits"] = json!({"body_bytes": LIMIT});
    store.put("op/config", &config);
    entry.wait_for_status("/seen/x", 200).await;
    let mut stream = TcpStream::connect(entry.listen.callers).await.unwrap();
    let head = "POST /book/endless HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: endless\r\nContent-Length: 1000000000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let (part, mut sent) = (vec![b'x'; 1 << 16], 0);
    while stream.write_all(&part).await.is_ok() {
        sent += part.len();
        assert!(sent < LIMIT + UNREAD, "{sent} bytes were taken, the limit is {LIMIT}");
    }
}

#[tokio::test]
async fn a_body_that_is_stated_too_large_is_rejected_before_it_is_sent() {
    let (store, servers, entry) = deployment(1).await;
    let mut config = config(8, "/seen/");
    config["limits"] = json!({"body_bytes": 1000});
    store.put("op/config", &config);
    entry.wait_for_status("/seen/x", 200).await;
    let head = "POST /book/large HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: large\r\nContent-Length: 1001\r\n\r\n";
    let answer = exchange(&entry, head).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(servers[0].runs("large"), 0);
}

/// A caller that waits to be asked for its body learns at once that the body has no room.
#[tokio::test]
async fn a_body_without_room_is_not_asked_for() {
    let (_store, servers, entry) = small_deployment().await;
    let head = "POST /book/large HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: large\r\nExpect: 100-continue\r\n\
        Content-Length: 300000\r\nConnection: close\r\n\r\n";
    let answer = exchange(&entry, head).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("retry-after"), "{answer}");
    assert_eq!(servers[0].runs("large"), 0);
}

/// Answers beyond the memory for them wait in their servers' connections until others are delivered.
#[tokio::test]
async fn answers_together_larger_than_the_memory_are_all_delivered() {
    let (_store, servers, entry) = small_deployment().await;
    servers[0].set_answer_size(200_000);
    let mut calls = Vec::new();
    for number in 0..4 {
        let url = format!("http://{}/look/{number}", entry.listen.callers);
        let request = entry.client.get(url).header("host", "desk.example");
        calls.push(tokio::spawn(request.header("attempt-id", format!("size-{number}")).send()));
    }
    for call in calls {
        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.bytes().await.unwrap().len(), 200_000);
    }
    // One that could never be held is not waited for.
    servers[0].set_answer_size(300_000);
    let started = std::time::Instant::now();
    assert_eq!(entry.send(Method::POST, "/book/huge", "huge").await.status(), 502);
    assert!(started.elapsed() < Duration::from_millis(1_400), "before the route's time-out");
    servers[0].set_answer_size(0);
    wait_until("the server is used again", || 0 < servers[0].total_runs()).await;
    assert_eq!(entry.send(Method::POST, "/book/next", "next").await.status(), 200);
}
