//! Slots that a data centre uses over its floor are granted through the platform's service.

mod common;

use std::time::Duration;

use common::{CallRequest, backend_id, one_zone, start_deployment, wait_until};
use th_protocol::{Permille, Slots};
use th_testing::Faults;

/// The share of the region's cap that the data centre may always use: 4 of 16 slots.
const FLOOR: Permille = Permille(250);
const FLOOR_SLOTS: u32 = 4;

/// Sends requests that never end until `target` of them run at once, at most `max_attempts` requests; returns how many
/// run.
async fn add_requests(deployment: &th_testing::Deployment, target: u32, max_attempts: u32) -> u32 {
    let address = deployment.callers()[0];
    let backend = &deployment.backends[&backend_id(0)];
    for i in 0..max_attempts {
        if target <= backend.busy() {
            break;
        }
        let request = CallRequest::check(&format!("press-{i}"));
        tokio::spawn(async move { request.send(address).await });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    backend.busy()
}

#[tokio::test(flavor = "multi_thread")]
async fn more_than_the_floor_runs_once_it_is_granted() {
    let mut deployment = start_deployment(one_zone(1, 1)).await;
    deployment
        .change_bundle(|bundle| {
            let region = bundle.regions.values_mut().next().unwrap();
            region.floors.insert("north-a".parse().unwrap(), FLOOR);
        })
        .await
        .unwrap();
    let version = deployment.bundle.version;
    deployment.wait_in_force(version, th_protocol::Millis(10_000)).await.unwrap();
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.unresponsive = true);
    let busy = add_requests(&deployment, FLOOR_SLOTS + 1, 500).await;
    assert!(
        FLOOR_SLOTS < busy,
        "{busy} requests run at once, expected more than the floor of {FLOOR_SLOTS}"
    );
    assert_eq!(deployment.run_log.overruns(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_the_floor_is_used_while_the_store_is_down() {
    let mut spec = one_zone(1, 1);
    spec.slots = Slots(16);
    let mut deployment = start_deployment(spec).await;
    deployment
        .change_bundle(|bundle| {
            let region = bundle.regions.values_mut().next().unwrap();
            region.floors.insert("north-a".parse().unwrap(), FLOOR);
        })
        .await
        .unwrap();
    let version = deployment.bundle.version;
    deployment.wait_in_force(version, th_protocol::Millis(10_000)).await.unwrap();
    deployment.platform.set_faults(Faults { down: true, ..Faults::default() });
    let backend = &deployment.backends[&backend_id(0)];
    backend.update_behaviour(|it| it.unresponsive = true);
    let address = deployment.callers()[0];
    wait_until("the floor is in use", || {
        let request = CallRequest::check("fill");
        tokio::spawn(async move { request.send(address).await });
        backend.busy() == FLOOR_SLOTS
    })
    .await;
    assert_eq!(add_requests(&deployment, FLOOR_SLOTS + 1, 100).await, FLOOR_SLOTS);
}
