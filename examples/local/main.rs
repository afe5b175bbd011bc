//! The whole path on loopback: a fake platform, fake backend servers, four real entry processes, and callers, while
//! things are drained, stopped, killed, cut and rolled.

mod act;
mod load;
mod summary;

use std::{process::ExitCode, time::Duration};

use eyre::Result;
use th_testing::{Deployment, DeploymentSpec};
use tokio::time::timeout;

/// Longest time that the example may take.
const LIMIT: Duration = Duration::from_secs(58);

#[tokio::main]
async fn main() -> ExitCode {
    let ended = match timeout(LIMIT, run()).await {
        Ok(ended) => ended,
        Err(_) => Err(eyre::eyre!("it took longer than {LIMIT:?}")),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs everything; `true` where nothing that must hold was broken.
async fn run() -> Result<bool> {
    act::say("starting a fake platform, 12 backend servers and 4 entry processes");
    let mut deployment = Deployment::start(DeploymentSpec::default()).await?;
    let load = load::Load::start(&deployment);
    let acts = act::play(&mut deployment).await?;
    let records = load.stop().await;
    let summary = summary::Summary::new(&deployment, &records, &acts).await?;
    for broken in summary.broken() {
        act::say(&format!("BROKEN: {broken}"));
    }
    println!("{}", serde_json::to_string(&summary)?);
    Ok(summary.broken().is_empty())
}
