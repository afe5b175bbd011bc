//! What happens under the load.

use std::{net::SocketAddr, time::Duration};

use eyre::{Result, eyre};
use th_protocol::{BackendId, Millis, Time, Version, VmId};
use th_testing::{Deployment, Faults};
use tokio::time::sleep;

/// Time between two acts.
const PAUSE: Duration = Duration::from_secs(3);
/// How long the store is down.
const OUTAGE: Duration = Duration::from_secs(5);
/// A bundle must be in force everywhere within this time.
pub(crate) const IN_FORCE: Millis = Millis(7_000);

/// What the acts left behind.
pub(crate) struct Acts {
    /// The backend server that was drained, and when its bundle was rolled.
    pub(crate) drained: (BackendId, Time),
    /// Seconds that each roll took to be in force everywhere.
    pub(crate) in_force: Vec<f64>,
    /// The entry VM that was stopped as planned.
    pub(crate) stopped: SocketAddr,
    /// Requests that its stop cut, by its own count.
    pub(crate) cut: u32,
    /// When the load began.
    pub(crate) began: Time,
}

/// Tells the user what goes on.
pub(crate) fn say(what: &str) {
    eprintln!("local: {what}");
}

/// Plays all acts in turn.
pub(crate) async fn play(deployment: &mut Deployment) -> Result<Acts> {
    let began = deployment.now();
    sleep(PAUSE).await;
    let backend: BackendId = "north-a-backend-0".parse()?;
    say(&format!("rolling a bundle that drains {backend}"));
    let drained = (backend.clone(), deployment.now());
    let mut in_force = vec![roll_drain(deployment, &backend).await?];
    sleep(PAUSE).await;

    let vm: VmId = "north-a-entry-1".parse()?;
    say(&format!("stopping {vm} as planned"));
    let stopped = address(deployment, &vm)?;
    let cut = deployment.stop_entry(&vm).await?.cut;
    sleep(PAUSE).await;

    let vm: VmId = "north-b-entry-0".parse()?;
    say(&format!("killing {vm}"));
    deployment.kill_entry(&vm)?;
    sleep(PAUSE).await;
    // The platform's list lags behind.
    deployment.platform.unlist_vm(&vm);

    say("taking the store down");
    deployment.platform.set_faults(Faults { down: true, ..Faults::default() });
    sleep(OUTAGE).await;
    say("bringing the store back");
    deployment.platform.set_faults(Faults::default());
    sleep(PAUSE).await;

    let backend: BackendId = "south-a-backend-1".parse()?;
    say(&format!("silencing the open connections of {backend} for good"));
    deployment.relays[&backend].stall_connections();
    sleep(PAUSE).await;

    say("rolling a second bundle");
    in_force.push(roll_second(deployment).await?);
    sleep(PAUSE).await;
    Ok(Acts { drained, in_force, stopped, cut, began })
}

fn address(deployment: &Deployment, vm: &VmId) -> Result<SocketAddr> {
    let running = deployment.entries.get(vm).ok_or_else(|| eyre!("no entry VM {vm}"))?;
    Ok(running.callers())
}

async fn roll_drain(deployment: &mut Deployment, backend: &BackendId) -> Result<f64> {
    let backend = backend.clone();
    timed_roll(deployment, move |bundle| {
        for service in bundle.services.values_mut() {
            if let Some(it) = service.backends.get_mut(&backend) {
                it.leaving = true;
            }
        }
    })
    .await
}

async fn roll_second(deployment: &mut Deployment) -> Result<f64> {
    timed_roll(deployment, |bundle| {
        for service in bundle.services.values_mut() {
            service.slo.latency = Millis(200);
        }
    })
    .await
}

/// Rolls a changed bundle. Gives the seconds until it is in force at every entry VM.
async fn timed_roll(
    deployment: &mut Deployment,
    change: impl FnOnce(&mut th_protocol::Bundle),
) -> Result<f64> {
    let began = deployment.now();
    deployment.change_bundle(change).await?;
    let version: Version = deployment.bundle.version;
    deployment.wait_in_force(version, IN_FORCE).await?;
    Ok(deployment.now().since(began).0 as f64 / 1_000.0)
}
