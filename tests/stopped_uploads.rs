//! Planned stops of the real program: uploads that it has not read when it closes its port and its connections.

mod desk;
mod entry;
mod raw_caller;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use desk::patient_deployment;
use entry::EntryProcess;
use raw_caller::{RawCaller, get, post};
use rstest::rstest;
use stand_in::StandInServer;
use tokio::time::{Instant, sleep, sleep_until};

/// Time from SIGTERM until the port for callers closes.
const LINGER: Duration = Duration::from_millis(2_500);
/// Time for which the process does not run, from this long before the port closes.
const HELD: Duration = Duration::from_millis(800);
const HELD_BEFORE: Duration = Duration::from_millis(600);
/// Number of uploads; together with what the machine does beside them, few enough to be sent while the process is held.
const UPLOADS: usize = 20;
/// Size of an upload, in bytes: as much as the kernel takes for a process that does not read.
const SIZE: usize = 50_000;

/// Holds the process up around the moment at which a stop closes its port, and runs `send` while it is held. Returns what
/// that returns.
async fn hold_up<T>(entry: &EntryProcess, send: impl Future<Output = T>) -> T {
    entry.signal("-TERM");
    let closes = Instant::now() + LINGER;
    sleep_until(closes - HELD_BEFORE).await;
    entry.signal("-STOP");
    let sent = send.await;
    assert!(Instant::now() < closes, "the uploads were sent too late");
    sleep_until(closes - HELD_BEFORE + HELD).await;
    entry.signal("-CONT");
    sent
}

fn upload(id: &str) -> String {
    post("/book/photo", id, &"x".repeat(SIZE))
}

/// Checks that each upload is served, or rejected and not run.
async fn check_answers(server: &StandInServer, callers: Vec<(String, RawCaller)>) {
    let mut lost = Vec::new();
    for (id, mut caller) in callers {
        match caller.answer().await {
            Some(answer) if answer.status == 200 => assert_eq!(server.runs(&id), 1, "{id}"),
            Some(answer) => {
                assert_eq!((answer.status, answer.closes), (503, true), "{id}");
                assert_eq!(server.runs(&id), 0, "{id} was rejected and has run");
            }
            None => lost.push(id),
        }
    }
    assert!(lost.is_empty(), "{} of {UPLOADS} uploads got no answer: {lost:?}", lost.len());
}

/// Guards against uploads that are reset in the queue of connections not accepted yet, as a stop closes the port.
#[tokio::test]
async fn uploads_in_connections_that_are_not_accepted_are_answered() {
    let (_store, servers, mut entry) = patient_deployment(1).await;
    let address = entry.listen.callers;
    let callers = hold_up(&entry, async {
        let mut callers = Vec::new();
        for number in 0..UPLOADS {
            let id = format!("queued-{number}");
            let mut caller = RawCaller::connect(address).await;
            caller.send(&[upload(&id)]).await;
            callers.push((id, caller));
        }
        callers
    });
    check_answers(&servers[0], callers.await).await;
    assert_eq!(entry.wait().code(), Some(0));
}

/// Guards against connections that a stop closes as idle while an upload stands whole in their sockets.
#[rstest]
#[case::new(false)]
#[case::kept(true)]
#[tokio::test]
async fn uploads_that_are_not_read_yet_are_answered(#[case] kept: bool) {
    let (_store, servers, mut entry) = patient_deployment(1).await;
    let mut callers = Vec::new();
    for number in 0..UPLOADS {
        let mut caller = RawCaller::connect(entry.listen.callers).await;
        if kept {
            caller.send(&[get("/look/first", &format!("first-{number}"))]).await;
            assert_eq!(caller.answer().await.map(|it| it.status), Some(200));
        }
        callers.push((format!("unread-{number}"), caller));
    }
    // Until all are accepted.
    sleep(Duration::from_millis(200)).await;
    let callers = hold_up(&entry, async {
        for (id, caller) in &mut callers {
            caller.send(&[upload(id)]).await;
        }
        callers
    });
    check_answers(&servers[0], callers.await).await;
    assert_eq!(entry.wait().code(), Some(0));
}

/// Guards against new connections that a stop closes while their first requests are on the way.
#[tokio::test]
async fn uploads_on_connections_that_were_just_opened_are_answered() {
    let (_store, servers, mut entry) = patient_deployment(1).await;
    entry.signal("-TERM");
    let closes = Instant::now() + LINGER;
    sleep_until(closes - Duration::from_millis(300)).await;
    let mut callers = Vec::new();
    for number in 0..UPLOADS {
        let caller = RawCaller::connect(entry.listen.callers).await;
        callers.push((format!("crossing-{number}"), caller));
    }
    sleep_until(closes + Duration::from_millis(300)).await;
    for (id, caller) in &mut callers {
        caller.send(&[upload(id)]).await;
    }
    check_answers(&servers[0], callers).await;
    assert_eq!(entry.wait().code(), Some(0));
}
