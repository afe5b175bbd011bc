//! Planned stops of the real program while it has no file descriptor left.

mod desk;
mod entry;
mod raw_caller;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use desk::patient_deployment;
use raw_caller::{RawCaller, post};
use stand_in::wait_until;
use tokio::time::{Instant, sleep, sleep_until};

/// Time from SIGTERM until the port for callers closes.
const LINGER: Duration = Duration::from_millis(2_500);
/// Fewer descriptors than any process has: it gets no further one.
const USED_UP: u32 = 3;
/// Enough descriptors.
const PLENTY: u32 = 1_000;

fn upload(id: &str) -> String {
    post("/book/photo", id, &"x".repeat(50_000))
}

/// Guards against a stop that cuts requests at work since it needs a descriptor to look at their connections.
#[tokio::test]
async fn a_request_at_work_is_answered_without_descriptors() {
    let (_store, servers, mut entry) = patient_deployment(1).await;
    servers[0].set_work(Duration::from_secs(2));
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    entry.signal("-TERM");
    let closes = Instant::now() + LINGER;
    sleep_until(closes - Duration::from_millis(1_200)).await;
    caller.send(&[upload("work")]).await;
    wait_until("it runs", || servers[0].runs("work") == 1).await;
    entry.limit_descriptors(USED_UP);
    assert_eq!(caller.answer().await.map(|it| it.status), Some(200));
    assert!(closes < Instant::now(), "it was answered before the port closed");
    assert_eq!(entry.wait().code(), Some(0));
}

/// Guards against a stop that closes a connection unread since it has no descriptor to look at it.
#[tokio::test]
async fn an_unread_upload_is_answered_without_descriptors() {
    let (_store, servers, mut entry) = patient_deployment(1).await;
    entry.signal("-TERM");
    let closes = Instant::now() + LINGER;
    sleep_until(closes - Duration::from_millis(700)).await;
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    // Until it is accepted.
    sleep(Duration::from_millis(200)).await;
    entry.limit_descriptors(USED_UP);
    sleep_until(closes + Duration::from_millis(200)).await;
    caller.send(&[upload("unread")]).await;
    assert_eq!(caller.answer().await.map(|it| it.status), Some(503));
    assert_eq!(servers[0].runs("unread"), 0);
    assert_eq!(entry.wait().code(), Some(0));
}

/// Guards against uploads that are reset at a port that closes while a descriptor is missing for a moment.
#[tokio::test]
async fn uploads_at_the_port_wait_for_descriptors() {
    let (_store, servers, mut entry) = patient_deployment(1).await;
    entry.signal("-TERM");
    let closes = Instant::now() + LINGER;
    sleep_until(closes - Duration::from_millis(300)).await;
    entry.limit_descriptors(USED_UP);
    let mut caller = RawCaller::connect(entry.listen.callers).await;
    caller.send(&[upload("queued")]).await;
    sleep_until(closes + Duration::from_millis(200)).await;
    assert_eq!(entry.exit_status(), None, "the stop did not wait for the upload");
    entry.limit_descriptors(PLENTY);
    assert_eq!(caller.answer().await.map(|it| it.status), Some(503));
    assert_eq!(servers[0].runs("queued"), 0);
    assert_eq!(entry.wait().code(), Some(0));
}
