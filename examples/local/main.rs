//! An end-to-end run on loopback with a fake platform, fake backend servers, four real entry processes and callers.
//! Servers are drained, entry VMs stopped and killed, connections stalled and bundles rolled under load.

mod disruptions;
mod load;
mod summary;

use std::{process::ExitCode, time::Duration};

use eyre::Result;
use th_testing::{Deployment, DeploymentSpec};
use tokio::time::timeout;

/// Maximum duration of the run.
const RUN_TIMEOUT: Duration = Duration::from_secs(58);

#[tokio::main]
async fn main() -> ExitCode {
    let result = match timeout(RUN_TIMEOUT, run()).await {
        Ok(result) => result,
        Err(_) => Err(eyre::eyre!("the run took longer than {RUN_TIMEOUT:?}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the load and the disruptions. Returns whether no invariant was violated.
async fn run() -> Result<bool> {
    disruptions::print_progress(
        "starting a fake platform, 12 backend servers and 4 entry processes",
    );
    let mut deployment = Deployment::start(DeploymentSpec::default()).await?;
    let load = load::Load::start(&deployment);
    let disruptions = disruptions::run_all(&mut deployment).await?;
    let records = load.stop().await;
    let summary = summary::Summary::new(&deployment, &records, &disruptions).await?;
    for violation in summary.violations() {
        disruptions::print_progress(&format!("BROKEN: {violation}"));
    }
    println!("{}", serde_json::to_string(&summary)?);
    Ok(summary.violations().is_empty())
}
