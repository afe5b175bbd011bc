//! What happens under the load.

use std::{net::SocketAddr, time::Duration};

use eyre::{Result, eyre};
use th_protocol::{BackendId, Millis, Time, Version, VmId};
use th_testing::{Deployment, Faults};
use tokio::time::sleep;

/// Time between two acts.
const STEP_PAUSE: Duration = Duration::from_secs(3);
/// How long the store is down.
const STORE_OUTAGE: Duration = Duration::from_secs(5);
/// A bundle must be in force everywhere within this time.
pub(crate) const MAX_ROLL_TIME: Millis = Millis(7_000);

/// What the acts left behind.
pub(crate) struct Disruptions {
    /// The backend server that was drained, and when its bundle was rolled.
    pub(crate) drained: (BackendId, Time),
    /// Seconds that each roll took to be in force everywhere.
    pub(crate) roll_seconds: Vec<f64>,
    /// The entry VM that was stopped as planned.
    pub(crate) stopped_entry: SocketAddr,
    /// Requests that its stop cut, by its own count.
    pub(crate) cut: u32,
    /// When the load began.
    pub(crate) began: Time,
}

/// Tells the user what goes on.
pub(crate) fn print_progress(what: &str) {
    eprintln!("local: {what}");
}

/// Plays all acts in turn.
pub(crate) async fn run_all(deployment: &mut Deployment) -> Result<Disruptions> {
    let began = deployment.now();
    sleep(STEP_PAUSE).await;
    let backend: BackendId = "north-a-backend-0".parse()?;
    print_progress(&format!("rolling a bundle that drains {backend}"));
    let drained = (backend.clone(), deployment.now());
    let mut roll_seconds = vec![roll_drain(deployment, &backend).await?];
    sleep(STEP_PAUSE).await;

    let vm: VmId = "north-a-entry-1".parse()?;
    print_progress(&format!("stopping {vm} as planned"));
    let stopped_entry = caller_address(deployment, &vm)?;
    let cut = deployment.stop_entry(&vm).await?.cut;
    sleep(STEP_PAUSE).await;

    let vm: VmId = "north-b-entry-0".parse()?;
    print_progress(&format!("killing {vm}"));
    deployment.kill_entry(&vm)?;
    sleep(STEP_PAUSE).await;
    // The platform's list lags behind.
    deployment.platform.unlist_vm(&vm);

    print_progress("taking the store down");
    deployment.platform.set_faults(Faults { down: true, ..Faults::default() });
    sleep(STORE_OUTAGE).await;
    print_progress("bringing the store back");
    deployment.platform.set_faults(Faults::default());
    sleep(STEP_PAUSE).await;

    let backend: BackendId = "south-a-backend-1".parse()?;
    print_progress(&format!("silencing the open connections of {backend} for good"));
    deployment.relays[&backend].stall_connections();
    sleep(STEP_PAUSE).await;

    print_progress("rolling a second bundle");
    roll_seconds.push(roll_latency_objective(deployment).await?);
    sleep(STEP_PAUSE).await;
    Ok(Disruptions { drained, roll_seconds, stopped_entry, cut, began })
}

fn caller_address(deployment: &Deployment, vm: &VmId) -> Result<SocketAddr> {
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

async fn roll_latency_objective(deployment: &mut Deployment) -> Result<f64> {
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
    deployment.wait_in_force(version, MAX_ROLL_TIME).await?;
    Ok(deployment.now().since(began).0 as f64 / 1_000.0)
}
