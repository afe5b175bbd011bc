//! Callers that send further requests on a connection before the first one is answered.

mod desk;
mod entry;
mod raw_caller;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use desk::patient_deployment;
use raw_caller::{PATIENCE, RawCaller, get, post};
use stand_in::{StandInServer, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{Instant, sleep, timeout},
};

/// Far longer than the tests take.
const ENDLESS: Duration = Duration::from_secs(600);
/// Far longer than several requests take to reach a server.
const SLOW: Duration = Duration::from_secs(3);
/// A short time in which nothing is to happen.
const CALM: Duration = Duration::from_millis(200);

/// When a server began to run a request.
fn start(servers: &[StandInServer], id: &str) -> Instant {
    let runs = servers.iter().find_map(|it| it.all_runs().remove(id));
    runs.expect("the request ran")[0].at
}

fn ran(servers: &[StandInServer], id: &str) -> u32 {
    servers.iter().map(|it| it.runs(id)).sum()
}

#[tokio::test]
async fn pipelined_requests_run_together_and_are_answered_in_order() {
    let (_store, servers, entry) = patient_deployment(2).await;
    servers.iter().for_each(|it| it.set_work(SLOW));
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    caller.send(&[get("/look/a", "a"), get("/look/b", "b"), get("/look/c", "c")]).await;
    assert_eq!(caller.ids(3).await, ["a", "b", "c"]);
    let first = start(&servers, "a");
    for id in ["b", "c"] {
        assert!(start(&servers, id) < first + SLOW, "{id} waited for the answer to a");
    }
    servers.iter().for_each(|it| it.set_work(Duration::ZERO));
    // The connection serves later requests, one at a time or together.
    caller.send(&[get("/look/d", "d")]).await;
    assert_eq!(caller.ids(1).await, ["d"]);
    caller.send(&[get("/look/e", "e"), get("/look/f", "f")]).await;
    assert_eq!(caller.ids(2).await, ["e", "f"]);
    for id in ["a", "b", "c", "d", "e", "f"] {
        assert_eq!(ran(&servers, id), 1, "{id}");
    }
}

#[tokio::test]
async fn a_fast_answer_waits_for_the_slow_one_before_it() {
    let (_store, servers, entry) = patient_deployment(1).await;
    servers[0].set_work(SLOW);
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    // No route matches the second request, so its answer is there at once.
    caller.send(&[get("/look/a", "a"), get("/none/b", "b"), get("/look/c", "c")]).await;
    let first = caller.answer().await.unwrap();
    assert_eq!((first.status, first.id.as_str()), (200, "a"));
    assert_eq!(caller.answer().await.unwrap().status, 404);
    assert_eq!(caller.ids(1).await, ["c"]);
}

/// Requests behind an answer that closes the connection are sent again, so an unsafe one must not run before its turn.
#[tokio::test]
async fn a_request_that_may_run_once_waits_for_its_turn() {
    let (_store, servers, entry) = patient_deployment(1).await;
    servers[0].set_work(SLOW);
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    caller.send(&[get("/look/a", "a"), post("/book/b", "b", "body"), get("/look/c", "c")]).await;
    wait_until("the first runs", || ran(&servers, "a") == 1).await;
    servers[0].set_work(Duration::ZERO);
    assert_eq!(caller.ids(3).await, ["a", "b", "c"]);
    assert!(start(&servers, "a") + SLOW <= start(&servers, "b"));
    assert_eq!((ran(&servers, "b"), ran(&servers, "c")), (1, 1));
}

#[tokio::test]
async fn bodies_do_not_mix_with_the_requests_behind_them() {
    let (_store, servers, entry) = patient_deployment(2).await;
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    let chunked = "POST /book/b HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n\
        5;x=1\r\nGET /\r\n10\r\n0123456789abcdef\r\n0\r\nTrailer: y\r\n\r\n";
    let inner = get("/look/smuggled", "smuggled");
    let requests = [
        post("/book/a", "a", &inner),
        chunked.to_owned(),
        get("/look/c", "c"),
        get("/look/d", "d"),
    ];
    // In small parts, so that heads, sizes and bodies are cut anywhere.
    for part in requests.concat().as_bytes().chunks(7) {
        caller.stream.write_all(part).await.unwrap();
        tokio::task::yield_now().await;
    }
    assert_eq!(caller.ids(4).await, ["a", "b", "c", "d"]);
    assert_eq!(ran(&servers, "smuggled"), 0);
    let runs: Vec<usize> =
        servers.iter().flat_map(|it| it.all_runs()).fold(Vec::new(), |mut all, (id, runs)| {
            if id == "a" || id == "b" {
                all.extend(runs.iter().map(|it| it.length));
            }
            all
        });
    let mut runs = runs;
    runs.sort_unstable();
    assert_eq!(runs, [21, inner.len()]);
}

#[tokio::test]
async fn a_close_by_the_caller_stops_all_requests_of_the_connection() {
    let (_store, servers, entry) = patient_deployment(2).await;
    servers.iter().for_each(|it| it.set_work(ENDLESS));
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    // The last waits for its turn, so bytes are left unread by the HTTP library when the caller leaves.
    caller.send(&[get("/look/a", "a"), get("/look/b", "b"), post("/book/c", "c", "body")]).await;
    wait_until("both run", || ran(&servers, "a") == 1 && ran(&servers, "b") == 1).await;
    drop(caller);
    let cancelled = || servers.iter().map(StandInServer::cancelled).sum::<u32>();
    wait_until("both are cancelled", || cancelled() == 2).await;
    assert_eq!(ran(&servers, "c"), 0);
}

#[tokio::test]
async fn the_number_of_requests_at_work_on_a_connection_is_bounded() {
    let (_store, servers, entry) = patient_deployment(4).await;
    servers.iter().for_each(|it| it.set_work(SLOW));
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    let requests: Vec<String> =
        (0..40).map(|it| get(&format!("/look/{it}"), &format!("n{it}"))).collect();
    caller.send(&requests).await;
    let count = || {
        servers
            .iter()
            .map(|it| it.all_runs().keys().filter(|it| it.starts_with('n')).count())
            .sum::<usize>()
    };
    wait_until("nine run", || count() == 9).await;
    sleep(CALM).await;
    assert_eq!(count(), 9, "the first and eight more");
    assert!(start(&servers, "n8") < start(&servers, "n0") + SLOW);
    servers.iter().for_each(|it| it.set_work(Duration::ZERO));
    let expected: Vec<String> = (0..40).map(|it| format!("n{it}")).collect();
    assert_eq!(caller.ids(40).await, expected);
}

/// A planned stop cuts nothing that a server runs; what is behind it is left for another VM, unread and unsent.
#[tokio::test]
async fn a_stop_answers_the_requests_at_work_and_leaves_the_others() {
    let (store, servers, entry) = patient_deployment(2).await;
    servers.iter().for_each(|it| it.set_work(SLOW));
    wait_until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    caller.send(&[get("/look/a", "a"), get("/look/b", "b"), post("/book/c", "c", "body")]).await;
    wait_until("both run", || ran(&servers, "a") == 1 && ran(&servers, "b") == 1).await;
    assert!(start(&servers, "b") < start(&servers, "a") + SLOW);
    entry.signal("-TERM");
    wait_until("the stop has begun", || store.keys("th/vm/").is_empty()).await;
    let first = caller.answer().await.unwrap();
    assert_eq!((first.status, first.id.as_str(), first.closes), (200, "a", false));
    let second = caller.answer().await.unwrap();
    assert_eq!((second.status, second.id.as_str(), second.closes), (200, "b", true));
    assert_eq!(caller.answer().await, None);
    assert_eq!(ran(&servers, "c"), 0);
}

/// Closing with unread bytes would reset the connection, and the caller could lose an answer that is on its way.
#[tokio::test]
async fn an_answer_that_closes_arrives_despite_requests_behind_it() {
    let (_store, _servers, entry) = patient_deployment(1).await;
    for number in 0..20 {
        let mut caller = RawCaller::connect(entry.listen.callers).await;
        let first = get("/look/a", "a").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        let behind = post("/book/b", "b", &"x".repeat(200 << 10));
        let sent = [first, behind].concat();
        // The connection may end before all is sent.
        let (mut read, mut write) = caller.stream.split();
        let writing = async {
            let _ = write.write_all(sent.as_bytes()).await;
        };
        let mut received = Vec::new();
        let reading = async { while let Ok(1..) = read.read_buf(&mut received).await {} };
        timeout(PATIENCE, async { tokio::join!(writing, reading) }).await.unwrap();
        let text = String::from_utf8_lossy(&received);
        assert!(
            text.starts_with("HTTP/1.1 200") && text.contains("i-1 /look/a"),
            "{number}: {text}"
        );
    }
}
