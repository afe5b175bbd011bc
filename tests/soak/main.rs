//! Fault soak: the real program as processes on loopback, with faults from outside that come in series and overlap. What
//! callers and backend servers see must keep the promises. See docs/SOAK.md.

mod callers;
#[path = "../entry/mod.rs"]
mod entry;
mod fleet;
mod invariants;
mod plan;
mod proxy;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{collections::BTreeMap, env, sync::Arc, time::Duration};

use callers::{CallLog, CallOutcome, run_callers};
use fleet::Fleet;
use invariants::Invariants;
use plan::Plan;
use reqwest::Client;
use tokio::time::{Instant, sleep, sleep_until};

/// Seeds of a run of CI: planned work alone, and a mix. A seed that fails joins them, with a line on the cause.
const SHORT_SEEDS: [u64; 2] = [3, 4];
/// Length of the faults in a run of CI.
const SHORT_LENGTH: Duration = Duration::from_secs(6);
/// Seconds of faults for a seed by hand, where `SOAK_SECONDS` names none.
const DEFAULT_SECONDS: u64 = 12;
/// Time after the last fault for work under way to end; the longest stop and the longest call.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// Time between looks at the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

async fn wait_until_all_ready(fleet: &Fleet, client: &Client) {
    for vm in &fleet.vms {
        while !vm.is_ready(client).await {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Plays a seed; gives what was broken.
async fn run_seed(seed: u64, length: Duration, timed: bool) -> Vec<String> {
    let fleet = Fleet::start().await;
    let client = Client::builder().no_proxy().build().unwrap();
    wait_until_all_ready(&fleet, &client).await;
    let plan = Plan::new(seed, length);
    let log = Arc::new(CallLog::default());
    let callers = {
        let (fleet, log) = (Arc::clone(&fleet), Arc::clone(&log));
        tokio::spawn(async move { run_callers(&fleet, &log, seed).await })
    };
    let watched = Arc::clone(&fleet);
    let watch = tokio::spawn(async move {
        loop {
            watched.watch_exits();
            sleep(POLL_INTERVAL).await;
        }
    });
    let start = Instant::now();
    let mut faults = Vec::new();
    for (at, event) in &plan.events {
        sleep_until(start + *at).await;
        faults.push(tokio::spawn(Arc::clone(&fleet).inject(*event)));
    }
    sleep_until(start + length).await;
    for fault in faults {
        fault.await.unwrap();
    }
    // All are served again once the faults are over; a run that never gets there does not end.
    wait_until_all_ready(&fleet, &client).await;
    let before = log.sent.lock().unwrap().len();
    wait_until_served(&log, before).await;
    log.end();
    callers.await.unwrap();
    watch.abort();
    sleep(SETTLE_TIME.min(length)).await;
    let sent = log.sent.lock().unwrap().clone();
    let mut invariants = Invariants::new(&fleet, &sent);
    invariants.check_always();
    if timed {
        invariants.check_timed();
    }
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for it in &sent {
        let end = match &it.outcome {
            CallOutcome::Answer(status, ..) => status.to_string(),
            CallOutcome::Refused => "no connection".to_owned(),
            CallOutcome::Cut(_) => "cut".to_owned(),
        };
        *ends.entry(end).or_default() += 1;
    }
    let planned = plan.events.iter().all(|it| it.1.is_planned());
    println!(
        "seed {seed}: {} events{}, requests {ends:?}, {} broken",
        plan.events.len(),
        if planned { " (planned work alone)" } else { "" },
        invariants.violations.len(),
    );
    if !invariants.violations.is_empty() {
        println!("{:#?}", plan.events);
    }
    invariants.violations
}

/// Waits until a hundred more requests are served.
async fn wait_until_served(log: &CallLog, before: usize) {
    loop {
        let served = {
            let sent = log.sent.lock().unwrap();
            let later = sent.iter().skip(before);
            later.filter(|it| matches!(it.outcome, CallOutcome::Answer(200, ..))).count()
        };
        if 100 <= served {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Seeds to play: those of CI, or of `SOAK_SEEDS=FIRST..LAST`.
fn seeds() -> (Vec<u64>, Option<Duration>) {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return (SHORT_SEEDS.to_vec(), None);
    };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let seconds = env::var("SOAK_SECONDS").map_or(DEFAULT_SECONDS, |it| it.parse().unwrap());
    ((first..=last).collect(), Some(Duration::from_secs(seconds)))
}

/// With the tests a short series, and promises without a bound in time; by hand whole series and all promises.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_violate_no_invariant() {
    let (seeds, length) = seeds();
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = run_seed(seed, length.unwrap_or(SHORT_LENGTH), length.is_some()).await;
        for it in &violations {
            println!("{it}");
        }
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that broke a promise: {failed:?}");
}
