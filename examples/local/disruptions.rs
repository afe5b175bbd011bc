//! Disruptions under load: a drain, a planned stop, a kill, a store outage, stalled connections and a second roll.

use std::{net::SocketAddr, time::Duration};

use eyre::{Result, eyre};
use th_protocol::{BackendId, Millis, Time, Version, VmId};
use th_testing::{Deployment, Faults};
use tokio::time::sleep;

/// Time between two disruptions.
const STEP_PAUSE: Duration = Duration::from_secs(3);
/// Duration of the store outage.
const STORE_OUTAGE: Duration = Duration::from_secs(5);
/// Maximum time until a rolled bundle is in force at every entry VM.
pub(crate) const IN_FORCE_LIMIT: Millis = Millis(7_000);

/// Times and counts recorded during the disruptions.
pub(crate) struct Disruptions {
    /// The backend server that was drained, and when its bundle was rolled.
    pub(crate) drained: (BackendId, Time),
    /// Seconds until each rolled bundle was in force at every entry VM.
    pub(crate) roll_seconds: Vec<f64>,
    /// Caller address of the entry VM that was stopped as planned.
    pub(crate) stopped_entry: SocketAddr,
    /// Requests that the planned stop cut off, as counted by that entry VM.
    pub(crate) cut: u32,
    /// Start of the run, just after the load was started; rates are computed from it.
    pub(crate) began: Time,
}

/// Prints a line on the progress of the run.
pub(crate) fn print_progress(what: &str) {
    eprintln!("local: {what}");
}

/// Runs all disruptions in turn.
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
    // The platform removes a killed VM from its list only after a delay.
    deployment.platform.unlist_vm(&vm);

    print_progress("taking the store down");
    deployment.platform.set_faults(Faults { down: true, ..Faults::default() });
    sleep(STORE_OUTAGE).await;
    print_progress("bringing the store back");
    deployment.platform.set_faults(Faults::default());
    sleep(STEP_PAUSE).await;

    let backend: BackendId = "south-a-backend-1".parse()?;
    print_progress(&format!("stalling the open connections of {backend} for good"));
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

/// Rolls a changed bundle. Returns the seconds until it is in force at every entry VM.
async fn timed_roll(
    deployment: &mut Deployment,
    change: impl FnOnce(&mut th_protocol::Bundle),
) -> Result<f64> {
    let began = deployment.now();
    deployment.change_bundle(change).await?;
    let version: Version = deployment.bundle.version;
    deployment.wait_in_force(version, IN_FORCE_LIMIT).await?;
    Ok(deployment.now().since(began).0 as f64 / 1_000.0)
}
