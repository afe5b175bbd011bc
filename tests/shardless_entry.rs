//! An entry VM that owns no shard of its data centre still serves its callers' requests.

use std::time::Duration;

use th_protocol::{Millis, header};
use th_testing::{Deployment, DeploymentSpec, ZoneSpec};
use tokio::time::{sleep, timeout};

/// Time limit for a data centre to serve again after a bundle that changes its shards: the time until
/// the bundle is in force everywhere, and the wait after it before larger shares are used.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Wait between two attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Two entry VMs share one shard, so one of them owns none. Backend servers are idle.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_either_vm_are_answered() {
    let zones = vec![ZoneSpec { name: "north-a", region: "north", entries: 2, backends: 2 }];
    let spec = DeploymentSpec { zones, ..DeploymentSpec::default() };
    let mut deployment = Deployment::start(spec).await.unwrap();
    let one_shard = |bundle: &mut th_protocol::Bundle| {
        for zone in bundle.zones.values_mut() {
            zone.shards = 1;
        }
    };
    deployment.change_bundle(one_shard).await.unwrap();
    deployment.wait_in_force(deployment.bundle.version, Millis(7_000)).await.unwrap();
    for (vm, running) in &deployment.entries {
        let url = format!("http://{}/v1/call/roster/check", running.callers());
        let mut last = String::new();
        let answered = timeout(SETTLE_LIMIT, async {
            loop {
                let answer = reqwest::get(&url).await.unwrap();
                if answer.status().is_success() {
                    return;
                }
                last = format!("{} {:?}", answer.status(), answer.headers().get(header::REASON));
                sleep(POLL_INTERVAL).await;
            }
        });
        assert!(answered.await.is_ok(), "{vm}: {last}");
    }
}
