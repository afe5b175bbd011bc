//! The fake service gives the same guarantees as the platform, in process and over HTTP.

use std::{net::SocketAddr, sync::Arc};

use rstest::rstest;
use th_platform::{HttpPlatform, Key, ManualClock, Platform, WriteOutcome};
use th_protocol::{Millis, Revision};
use th_testing::{FakePlatform, Faults, PlatformServer};

/// Returns the fake, its clock, and either the fake again or, if `http` is set, a client of its HTTP server.
async fn service(http: bool) -> (FakePlatform, ManualClock, Arc<dyn Platform>) {
    let clock = ManualClock::default();
    let fake = FakePlatform::new(Arc::new(clock.clone()));
    if !http {
        return (fake.clone(), clock, Arc::new(fake));
    }
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PlatformServer::start(fake.clone(), address).await.unwrap();
    let client = HttpPlatform::new(&server.url());
    (fake, clock, Arc::new(client))
}

#[rstest]
#[case::in_process(false)]
#[case::http(true)]
#[tokio::test]
async fn second_of_two_writers_is_refused(#[case] http: bool) {
    let (_, _, store) = service(http).await;
    let key = Key::new("bundle/head");
    let first = store.cas(&key, None, Some(b"one".to_vec()), None).await;
    let WriteOutcome::Applied(revision) = first else { panic!("{first:?}") };
    let second = store.cas(&key, None, Some(b"two".to_vec()), None).await;
    let WriteOutcome::Refused(Some(entry)) = second else { panic!("{second:?}") };
    assert_eq!(entry.value.as_deref(), Some(b"one".as_slice()));
    assert_eq!(entry.revision, revision);
    assert_eq!(store.read(&key).await.unwrap(), Some(entry));
}

#[rstest]
#[case::in_process(false)]
#[case::http(true)]
#[tokio::test]
async fn expired_lease_removes_its_values(#[case] http: bool) {
    let (_, clock, store) = service(http).await;
    let WriteOutcome::Applied(lease) = store.lease(Millis(1_000)).await else { panic!() };
    let key = Key::new("grant/north");
    let write = store.cas(&key, None, Some(b"3".to_vec()), Some(lease)).await;
    assert!(matches!(write, WriteOutcome::Applied(_)));
    clock.advance(Millis(900));
    assert_eq!(store.keep_alive(lease).await, WriteOutcome::Applied(()));
    clock.advance(Millis(999));
    assert!(store.read(&key).await.unwrap().is_some());
    clock.advance(Millis(1));
    assert_eq!(store.read(&key).await.unwrap(), None);
    assert_eq!(store.keep_alive(lease).await, WriteOutcome::Refused(None));
    let changes = store.watch("grant/", Revision(1), Millis::ZERO).await.unwrap();
    assert_eq!(changes.last().unwrap().value, None);
}

#[rstest]
#[case::in_process(false)]
#[case::http(true)]
#[tokio::test]
async fn write_with_a_lost_answer_is_unknown_and_applied(#[case] http: bool) {
    let (fake, _, store) = service(http).await;
    fake.set_faults(Faults { lost_answers: 1, ..Faults::default() });
    let key = Key::new("bundle/head");
    let write = store.cas(&key, None, Some(b"one".to_vec()), None).await;
    assert!(matches!(write, WriteOutcome::Unknown(_)));
    assert!(store.read(&key).await.unwrap().is_some());
}

#[tokio::test]
async fn watch_returns_changes_unless_stalled() {
    let (fake, _, store) = service(false).await;
    let waiting = {
        let store = Arc::clone(&store);
        tokio::spawn(async move { store.watch("a/", Revision(0), Millis(60_000)).await })
    };
    store.cas(&Key::new("a/b"), None, Some(vec![1]), None).await;
    assert_eq!(waiting.await.unwrap().unwrap().len(), 1);
    fake.set_faults(Faults { stalled_watches: true, ..Faults::default() });
    assert_eq!(store.watch("a/", Revision(0), Millis::ZERO).await.unwrap(), Vec::new());
}

#[tokio::test]
async fn outage_fails_reads_and_leaves_writes_unknown() {
    let (fake, _, store) = service(true).await;
    fake.set_faults(Faults { down: true, ..Faults::default() });
    let key = Key::new("a");
    assert!(store.read(&key).await.is_err());
    assert!(matches!(store.cas(&key, None, None, None).await, WriteOutcome::Unknown(_)));
    assert!(store.vms().await.is_err());
}
