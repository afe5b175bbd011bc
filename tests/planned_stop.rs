//! Planned stops of the real program: requests that wait for a slot, and requests that come late in the grace period.

mod desk;
mod entry;
mod raw_caller;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use desk::patient_deployment;
use entry::EntryProcess;
use raw_caller::{Answer, RawCaller, get, post};
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::{StandInServer, StandInStore, wait_until};
use tokio::{
    io::AsyncWriteExt,
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// A request that a server runs at the end of the grace period may be cut if it was sent before this time.
const EARLY: Duration = Duration::from_secs(3);
/// Work of a request; three in a row exceed the grace period.
const WORK: Duration = Duration::from_secs(2);

/// A deployment with one server, whose requests wait for as long as their callers do.
async fn one_server() -> (StandInStore, StandInServer, EntryProcess) {
    let (store, mut servers, entry) = patient_deployment(1).await;
    (store, servers.remove(0), entry)
}

/// Sends a request over a connection of its own. Returns its answer, and the time at which it came.
fn send(entry: &EntryProcess, request: String) -> JoinHandle<(Option<Answer>, Instant)> {
    let address = entry.listen.callers;
    tokio::spawn(async move {
        let mut caller = RawCaller::connect(address).await;
        caller.send(&[request]).await;
        (caller.answer().await, Instant::now())
    })
}

/// Guards against a stop that ends without an answer to requests that wait for a slot.
#[tokio::test]
async fn a_stop_answers_the_requests_that_wait_for_a_slot() {
    const REQUESTS: usize = 30;
    let (_store, server, mut entry) = one_server().await;
    server.set_work(WORK);
    let before = server.total_runs();
    let ids: Vec<String> = (0..REQUESTS).map(|it| format!("wait-{it}")).collect();
    let sent: Vec<_> = ids.iter().map(|it| send(&entry, post("/book/x", it, "gang=7"))).collect();
    wait_until("all slots are taken", || server.total_runs() == before + 4).await;
    // Until all have arrived.
    sleep(Duration::from_millis(300)).await;
    entry.signal("-TERM");
    let stopped = Instant::now();
    let (mut served, mut rejected) = (0, 0);
    for (id, sent) in ids.iter().zip(sent) {
        let (answer, at) = sent.await.unwrap();
        let took = at - stopped;
        match answer {
            Some(Answer { status: 200, .. }) => {
                assert_eq!(server.runs(id), 1, "{id}");
                served += 1;
            }
            Some(answer) => {
                assert_eq!((answer.status, answer.closes), (503, true), "{id}");
                assert_eq!(server.runs(id), 0, "{id} was rejected and has run");
                rejected += 1;
            }
            None => assert_eq!(server.runs(id), 1, "{id} got no answer after {took:?}"),
        }
    }
    assert!(8 <= served && 14 <= rejected, "served {served}, rejected {rejected}");
    assert_eq!(entry.wait().code(), Some(0));
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}

/// Guards against a stop that cuts requests at the end of the grace period of its start, after a reload has changed it.
#[rstest]
#[case::longer(9, 1_000)]
#[case::shorter(4, 0)]
#[tokio::test]
async fn a_stop_lasts_for_the_grace_period_in_force(#[case] grace: u64, #[case] left: u64) {
    let (_store, server, mut entry) = one_server().await;
    let text = std::fs::read_to_string(entry.settings.path()).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    settings["grace"] = json!(grace);
    std::fs::write(entry.settings.path(), settings.to_string()).unwrap();
    entry.signal("-HUP");
    sleep(Duration::from_millis(500)).await;
    // It ends within the longer period only.
    let work = GRACE + Duration::from_millis(left);
    server.set_work(work);
    let sent = send(&entry, post("/book/x", "long", "gang=7"));
    wait_until("it runs", || server.runs("long") == 1).await;
    entry.signal("-TERM");
    let stopped = Instant::now();
    let (answer, _) = sent.await.unwrap();
    let is_served = answer.is_some_and(|it| it.status == 200);
    assert_eq!(is_served, GRACE < Duration::from_secs(grace));
    assert_eq!(entry.wait().code(), Some(i32::from(!is_served)));
    assert!(stopped.elapsed() < Duration::from_secs(grace), "{:?}", stopped.elapsed());
}

/// How a request becomes complete only late in the grace period.
#[derive(Debug, Clone, Copy)]
enum Late {
    /// Its connection was opened and stayed idle.
    Connected,
    /// A part of its head was sent.
    Head,
    /// Its head was sent, and a part of its body.
    Body,
    /// Its connection has served another one.
    Kept,
    /// Another one is at work on its connection.
    Behind,
}

/// Guards against requests that are taken late in the grace period, sent to a server, and cut at its end.
#[rstest]
#[tokio::test]
async fn a_request_that_comes_late_in_the_grace_is_not_cut(
    #[values(Late::Connected, Late::Head, Late::Body, Late::Kept, Late::Behind)] late: Late,
    #[values(2_400, 3_200, 4_500)] after: u64,
) {
    let (_store, server, mut entry) = one_server().await;
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    let request = post("/book/x", "late", "gang=7");
    let body = request.find("gang").unwrap();
    let cut = match late {
        Late::Connected => 0,
        Late::Head => body - 2,
        Late::Body => body + 3,
        Late::Kept => {
            caller.send(&[get("/look/first", "first")]).await;
            assert_eq!(caller.answer().await.map(|it| it.status), Some(200));
            0
        }
        Late::Behind => {
            server.set_work(Duration::from_millis(after + 200));
            caller.send(&[post("/book/first", "first", "gang=1")]).await;
            wait_until("it runs", || server.runs("first") == 1).await;
            0
        }
    };
    let (first, rest) = request.split_at(cut);
    caller.send(&[first.to_owned()]).await;
    sleep(Duration::from_millis(100)).await;
    entry.signal("-TERM");
    let stopped = Instant::now();
    sleep(Duration::from_millis(after)).await;
    // As many servers' requests, this one takes too long for the rest of the grace period.
    server.set_work(Duration::from_secs(4));
    // The connection may have been closed.
    let _ = caller.stream.write_all(rest.as_bytes()).await;
    let mut answers = Vec::new();
    while let Some(answer) = caller.answer().await {
        answers.push((answer.id, answer.status));
    }
    let ended = stopped.elapsed();
    if matches!(late, Late::Behind) {
        assert!(answers.contains(&("first".to_owned(), 200)), "{answers:?}");
    }
    let is_cut = server.runs("late") == 1 && !answers.contains(&("late".to_owned(), 200));
    assert!(
        !is_cut || after < EARLY.as_millis() as u64,
        "it was sent {after} ms after the signal, ran, and was cut after {ended:?}: {answers:?}"
    );
    assert_eq!(entry.wait().code(), Some(i32::from(is_cut)));
}

/// Guards against a stop that lasts until its limit for a head that does not come whole.
#[tokio::test]
async fn a_stop_does_not_wait_for_half_a_head() {
    /// The port closes after 2.5 s, and a request that arrives has 1 s from then on.
    const LONGEST: Duration = Duration::from_millis(4_500);
    let (_store, _server, mut entry) = one_server().await;
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    caller.send(&["POST /book/x HTTP/1.1\r\nHost: desk".to_owned()]).await;
    entry.signal("-TERM");
    let stopped = Instant::now();
    assert_eq!(caller.answer().await, None);
    assert_eq!(entry.wait().code(), Some(0));
    assert!(stopped.elapsed() < LONGEST, "{:?}", stopped.elapsed());
}
