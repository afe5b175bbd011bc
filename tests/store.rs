//! Entry VMs while the platform's service is unavailable, slow or does not answer.

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
const UNRESPONSIVE: Faults = Faults { unresponsive: true, down: false, ..DOWN };

async fn assert_serves(deployment: &Deployment, round: &str) {
    for (vm, running) in &deployment.entries {
        let address = running.callers();
        for operation in ["check", "book"] {
            assert!(!lookup(address, operation).await.entries.is_empty());
            let id = format!("{operation}-{vm}-{round}");
            CallRequest::for_operation(operation, &id, running)
                .send(address)
                .await
                .assert_answer_to(&id);
            assert_eq!(run_count(deployment, &id), 1);
        }
    }
}

#[rstest]
#[case::down(DOWN)]
#[case::unresponsive(UNRESPONSIVE)]
#[case::stalled_watches(Faults { stalled_watches: true, down: false, ..DOWN })]
#[case::slow(Faults { delay: Millis(700), down: false, ..DOWN })]
#[case::lost_answers(Faults { lost_answers: u32::MAX, down: false, ..DOWN })]
#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_need_the_store(#[case] faults: Faults) {
    let mut deployment = start_deployment(one_zone(2, 2)).await;
    deployment.platform.set_faults(faults);
    for round in 0..10 {
        let before = deployment.platform.call_counts().reads;
        assert_serves(&deployment, &round.to_string()).await;
        wait_until("the store was called again", || {
            before < deployment.platform.call_counts().reads
        })
        .await;
    }
    deployment.platform.set_faults(Faults::default());
    deployment.change_bundle(|_| {}).await.unwrap();
    deployment.wait_in_force(deployment.bundle.version, Millis(20_000)).await.unwrap();
    assert_serves(&deployment, "after").await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_start_without_the_store_gets_the_bundle_from_peers(
    #[values(DOWN, UNRESPONSIVE)] faults: Faults,
) {
    let deployment = start_deployment(one_zone(1, 1)).await;
    let store = FakePlatform::default();
    store.set_faults(faults);
    let mut settings = settings("late");
    settings.peers = vec![entry(&deployment, "north-a-entry-0").peers()];
    let joining = start(settings, Arc::new(store)).await.unwrap();
    let version = Some(deployment.bundle.version);
    wait_until("the bundle is in force", || joining.status().version == version).await;
    assert!(joining.status().ready);
    assert_eq!(fetch_text(joining.callers(), "/ready").await, "");
    assert!(!lookup(joining.callers(), "book").await.entries.is_empty());
    joining.kill();
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_start_without_store_and_peers_reports_the_reason(
    #[values(DOWN, UNRESPONSIVE)] faults: Faults,
) {
    const REASON: &str = "neither the store nor a peer has named a bundle";
    let store = FakePlatform::default();
    store.set_faults(faults);
    let running = start(settings("alone"), Arc::new(store)).await.unwrap();
    let url = format!("http://{}/ready", running.callers());
    let ready = client().get(url).send().await.unwrap();
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ready.text().await.unwrap(), REASON);
    assert!(fetch_text(running.callers(), "/v1/status").await.contains(REASON));
    assert_eq!(fetch_text(running.callers(), "/live").await, "");
    CallRequest::check("r").send(running.callers()).await.assert_notice(V::Refused, R::NoBundle);
    running.kill();
}
