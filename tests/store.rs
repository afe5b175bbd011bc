//! Entry processes whose platform's service fails.

mod common;

use std::sync::Arc;

use common::*;
use reqwest::StatusCode;
use rstest::rstest;
use th_entry::start;
use th_protocol::{Millis, Reason as R, Verdict as V};
use th_testing::{Deployment, FakePlatform, Faults};

const DOWN: Faults = Faults {
    down: true,
    unresponsive: false,
    stalled_watches: false,
    lost_answers: 0,
    delay: Millis::ZERO,
};
const DEAF: Faults = Faults { unresponsive: true, down: false, ..DOWN };

async fn serves(deployment: &Deployment, round: &str) {
    for (vm, running) in &deployment.entries {
        let address = running.callers();
        for operation in ["check", "book"] {
            assert!(!lookup(address, operation).await.entries.is_empty());
            let request = format!("{operation}-{vm}-{round}");
            Ask::of(operation, &request, running).send(address).await.is_answer_to(&request);
            assert_eq!(runs(deployment, &request), 1);
        }
    }
}

#[rstest]
#[case::down(DOWN)]
#[case::deaf(DEAF)]
#[case::silent(Faults { stalled_watches: true, down: false, ..DOWN })]
#[case::slow(Faults { delay: Millis(700), down: false, ..DOWN })]
#[case::lost_answers(Faults { lost_answers: u32::MAX, down: false, ..DOWN })]
#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_need_the_store(#[case] faults: Faults) {
    let mut deployment = started(small(2, 2)).await;
    deployment.platform.set_faults(faults);
    for round in 0..10 {
        let before = deployment.platform.call_counts().reads;
        serves(&deployment, &round.to_string()).await;
        until("the store was called again", || before < deployment.platform.call_counts().reads)
            .await;
    }
    deployment.platform.set_faults(Faults::default());
    deployment.change_bundle(|_| {}).await.unwrap();
    deployment.wait_in_force(deployment.bundle.version, Millis(20_000)).await.unwrap();
    serves(&deployment, "after").await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_start_without_the_store_takes_the_bundle_of_peers(#[values(DOWN, DEAF)] faults: Faults) {
    let deployment = started(small(1, 1)).await;
    let store = FakePlatform::default();
    store.set_faults(faults);
    let mut settings = settings("late");
    settings.peers = vec![entry(&deployment, "north-a-entry-0").peers()];
    let late = start(settings, Arc::new(store)).await.unwrap();
    let version = Some(deployment.bundle.version);
    until("the bundle is in force", || late.status().version == version).await;
    assert!(late.status().ready);
    assert_eq!(text(late.callers(), "/ready").await, "");
    assert!(!lookup(late.callers(), "book").await.entries.is_empty());
    late.kill();
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_start_without_store_and_peers_says_so(#[values(DOWN, DEAF)] faults: Faults) {
    const REASON: &str = "neither the store nor a peer has named a bundle";
    let store = FakePlatform::default();
    store.set_faults(faults);
    let alone = start(settings("alone"), Arc::new(store)).await.unwrap();
    let url = format!("http://{}/ready", alone.callers());
    let ready = client().get(url).send().await.unwrap();
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ready.text().await.unwrap(), REASON);
    assert!(text(alone.callers(), "/v1/status").await.contains(REASON));
    assert_eq!(text(alone.callers(), "/live").await, "");
    Ask::check("r").send(alone.callers()).await.says(V::Refused, R::NoBundle);
    alone.kill();
}
