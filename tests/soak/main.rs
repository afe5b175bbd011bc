//! Fault soak: runs the real program as processes on loopback and injects series of overlapping faults. What callers
//! and backend servers observe must satisfy the invariants. See docs/SOAK.md.

mod callers;
#[path = "../entry/mod.rs"]
mod entry;
mod fleet;
mod invariants;
mod options;
mod plan;
mod proxy;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod uploads;
mod vm;

use std::{collections::BTreeMap, env, sync::Arc, time::Duration};

use callers::{CallLog, CallOutcome, run_callers};
use fleet::Fleet;
use invariants::Invariants;
use options::Options;
use plan::Plan;
use reqwest::Client;
use tokio::time::{Instant, sleep, sleep_until};
use uploads::run_uploads;

/// Seeds of a run in CI: one with planned work only, one with a mix of events, one whose store comes back from older copies. Add seeds that failed, with a line on
/// the cause.
const SHORT_SEEDS: [u64; 3] = [3, 4, 8];
/// Duration of the faults in a run in CI.
const SHORT_LENGTH: Duration = Duration::from_secs(6);
/// Duration of the faults in a manual run, in seconds, if `SOAK_SECONDS` is not set.
const DEFAULT_SECONDS: u64 = 12;
/// Time for requests and stops in progress to end after the last fault: the longest stop and the longest call.
const FINISH_TIME: Duration = Duration::from_secs(9);
/// Interval at which the processes and served requests are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

async fn wait_until_all_ready(fleet: &Fleet, client: &Client) {
    for vm in &fleet.vms {
        while !vm.is_ready(client).await {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Runs the events of a seed. Returns the violations of invariants.
async fn run_seed(seed: u64, length: Duration, timed: bool, options: &Options) -> Vec<String> {
    let fleet = Fleet::start(seed, options).await;
    let client = Client::builder().no_proxy().build().unwrap();
    wait_until_all_ready(&fleet, &client).await;
    let plan = Plan::new(seed, length, options);
    let log = Arc::new(CallLog::default());
    let callers = {
        let (fleet, log) = (Arc::clone(&fleet), Arc::clone(&log));
        tokio::spawn(async move {
            tokio::join!(run_callers(&fleet, &log, seed), run_uploads(&fleet, &log, seed))
        })
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
    // All callers are served again once the faults are over; otherwise the run does not end.
    wait_until_all_ready(&fleet, &client).await;
    let before = log.sent.lock().unwrap().len();
    wait_until_served(&log, before).await;
    log.end();
    callers.await.unwrap();
    watch.abort();
    sleep(FINISH_TIME.min(length)).await;
    let sent = log.sent.lock().unwrap().clone();
    let uploads = log.uploads.lock().unwrap().clone();
    let mut invariants = Invariants::new(&fleet, &sent, &uploads);
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
    let mut uploaded: BTreeMap<String, usize> = BTreeMap::new();
    for it in &uploads {
        *uploaded.entry(it.end()).or_default() += 1;
    }
    let planned = plan.events.iter().all(|it| it.1.is_planned());
    println!(
        "seed {seed}: {} events{}, requests {ends:?}, uploads {uploaded:?}, {} violations",
        plan.events.len(),
        if planned { " (planned work alone)" } else { "" },
        invariants.violations.len(),
    );
    if options.logs.is_some() {
        println!("{:#?}", invariants.unanswered());
    }
    if !invariants.violations.is_empty() {
        println!("{:#?}", plan.events);
    }
    invariants.violations
}

/// Waits until 100 more requests are served.
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

/// Returns the seeds to run: those of CI, or those of `SOAK_SEEDS=FIRST..LAST`, with the duration of their faults.
fn seeds() -> (Vec<u64>, Option<Duration>) {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return (SHORT_SEEDS.to_vec(), None);
    };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let seconds = env::var("SOAK_SECONDS").map_or(DEFAULT_SECONDS, |it| it.parse().unwrap());
    ((first..=last).collect(), Some(Duration::from_secs(seconds)))
}

/// In CI, runs short series and checks the invariants without time limits. Manual runs use full series and check all
/// invariants.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_violate_no_invariant() {
    let (seeds, length) = seeds();
    let options = Options::from_env();
    // Many VMs on one machine are slower than the limits of undisturbed ones allow.
    let timed = length.is_some() && options.vms <= options::DEFAULT_VMS;
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = run_seed(seed, length.unwrap_or(SHORT_LENGTH), timed, &options).await;
        for it in &violations {
            println!("{it}");
        }
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that violated an invariant: {failed:?}");
}
