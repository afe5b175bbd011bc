//! Callers that send `check` and `book` requests until the load is stopped.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use th_testing::{Caller, CallerSettings, Deployment, Records};
use tokio::{task::JoinHandle, time::sleep};

/// Number of concurrent callers.
const CALLERS: u32 = 24;
/// Pause of a caller between an answer and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);
/// Every n-th request of a caller is a `book`.
const BOOK_EVERY: u32 = 3;

/// Load that runs in the background.
pub(crate) struct Load {
    records: Records,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the callers.
    pub(crate) fn start(deployment: &Deployment) -> Load {
        let records = Records::default();
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for i in 0..CALLERS {
            let caller = Caller::new(CallerSettings {
                name: format!("caller-{i}"),
                block: format!("10.0.{i}.0/24"),
                seeds: deployment.callers(),
                records: records.clone(),
                ..CallerSettings::default()
            });
            callers.push(tokio::spawn(run_caller(caller, Arc::clone(&stop))));
        }
        Load { records, stop, callers }
    }

    /// Waits for each caller's last request and returns the records of all requests.
    pub(crate) async fn stop(self) -> Records {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            if let Err(error) = caller.await {
                eprintln!("a caller failed: {error}");
            }
        }
        self.records
    }
}

async fn run_caller(mut caller: Caller, stop: Arc<AtomicBool>) {
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        if count % BOOK_EVERY == 0 {
            caller.call("book", false).await;
        } else {
            caller.call("check", true).await;
        }
        sleep(REQUEST_PAUSE).await;
    }
}
