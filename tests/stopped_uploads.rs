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
use tokio::{
    io::AsyncWriteExt,
    time::{Instant, sleep, sleep_until},
};

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
    // A busy machine may take longer to send them.
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
    let opened = Instant::now();
    sleep_until(closes + Duration::from_millis(300)).await;
    for (id, caller) in &mut callers {
        caller.send(&[upload(id)]).await;
    }
    assert!(opened.elapsed() < Duration::from_secs(1), "the uploads were sent too late");
    check_answers(&servers[0], callers).await;
    assert_eq!(entry.wait().code(), Some(0));
}

/// How an upload is sent.
#[derive(Debug, Clone, Copy)]
enum Form {
    /// With its length, larger than what the kernel takes at once.
    Large,
    /// In chunks.
    Chunked,
    /// After an `Expect: 100-continue`, without waiting.
    Expecting,
}

impl Form {
    fn upload(self, id: &str) -> String {
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        let text = post("/book/photo", id, "");
        match self {
            Form::Large => post("/book/photo", id, &"x".repeat(360_000)),
            Form::Chunked => {
                let head = text.replace("Content-Length: 0", "Transfer-Encoding: chunked");
                format!("{head}{}0\r\n\r\n", chunk.repeat(12))
            }
            Form::Expecting => upload(id).replacen("\r\n", "\r\nExpect: 100-continue\r\n", 1),
        }
    }
}

/// Guards against the same losses with other uploads, and beside further signals during the stop.
#[rstest]
#[tokio::test]
async fn uploads_of_every_form_are_answered(
    #[values(Form::Large, Form::Chunked, Form::Expecting)] form: Form,
    #[values(false, true)] accepted: bool,
) {
    let (_store, servers, mut entry) = patient_deployment(1).await;
    let address = entry.listen.callers;
    entry.signal("-TERM");
    let closes = Instant::now() + LINGER;
    sleep_until(closes - HELD_BEFORE - Duration::from_millis(300)).await;
    let mut callers = Vec::new();
    if accepted {
        for _ in 0..UPLOADS {
            callers.push(RawCaller::connect(address).await);
        }
    }
    sleep_until(closes - HELD_BEFORE).await;
    entry.signal("-STOP");
    while callers.len() < UPLOADS {
        callers.push(RawCaller::connect(address).await);
    }
    let mut uploads = Vec::new();
    for (number, mut caller) in callers.into_iter().enumerate() {
        let id = format!("form-{number}");
        uploads.push(tokio::spawn(async move {
            // The kernel does not take a large one as a whole while the process is held up.
            let sent = caller.stream.write_all(form.upload(&id).as_bytes()).await;
            (id, caller, sent)
        }));
    }
    sleep_until(closes - HELD_BEFORE + HELD).await;
    entry.signal("-HUP");
    entry.signal("-TERM");
    entry.signal("-CONT");
    let mut callers = Vec::new();
    for upload in uploads {
        let (id, caller, sent) = upload.await.unwrap();
        sent.unwrap_or_else(|it| panic!("{id}: {it}"));
        callers.push((id, caller));
    }
    check_answers(&servers[0], callers).await;
    assert_eq!(entry.wait().code(), Some(0));
}
