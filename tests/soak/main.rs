//! Fault soak: the real program as processes on loopback, with faults from outside that come in series and overlap. What
//! callers and backend servers see must keep the promises. See docs/SOAK.md.

mod callers;
#[path = "../entry/mod.rs"]
mod entry;
mod fleet;
mod plan;
mod promises;
mod proxy;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{collections::BTreeMap, env, sync::Arc, time::Duration};

use callers::{Book, Seen, run_callers};
use fleet::Fleet;
use plan::Plan;
use promises::Promises;
use reqwest::Client;
use tokio::time::{Instant, sleep, sleep_until};

/// Seeds of a run of CI: planned work alone, and a mix. A seed that fails joins them, with a line on the cause.
const SHORT_SEEDS: [u64; 2] = [3, 4];
/// Length of the faults in a run of CI.
const SHORT: Duration = Duration::from_secs(6);
/// Seconds of faults for a seed by hand, where `SOAK_SECONDS` names none.
const SECONDS: u64 = 12;
/// Time after the last fault for work under way to end; the longest stop and the longest call.
const SETTLED: Duration = Duration::from_secs(9);
/// Time between looks at the processes.
const LOOK: Duration = Duration::from_millis(100);

async fn until_all_ready(fleet: &Fleet, client: &Client) {
    for vm in &fleet.vms {
        while !vm.is_ready(client).await {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Plays a seed; gives what was broken.
async fn play(seed: u64, length: Duration, timed: bool) -> Vec<String> {
    let fleet = Fleet::start().await;
    let client = Client::builder().no_proxy().build().unwrap();
    until_all_ready(&fleet, &client).await;
    let plan = Plan::new(seed, length);
    let book = Arc::new(Book::default());
    let callers = {
        let (fleet, book) = (Arc::clone(&fleet), Arc::clone(&book));
        tokio::spawn(async move { run_callers(&fleet, &book, seed).await })
    };
    let watched = Arc::clone(&fleet);
    let watch = tokio::spawn(async move {
        loop {
            watched.watch_exits();
            sleep(LOOK).await;
        }
    });
    let start = Instant::now();
    let mut faults = Vec::new();
    for (at, event) in &plan.events {
        sleep_until(start + *at).await;
        faults.push(tokio::spawn(Arc::clone(&fleet).carry_out(*event)));
    }
    sleep_until(start + length).await;
    for fault in faults {
        fault.await.unwrap();
    }
    // All are served again once the faults are over; a run that never gets there does not end.
    until_all_ready(&fleet, &client).await;
    let before = book.sent.lock().unwrap().len();
    until_served(&book, before).await;
    book.end();
    callers.await.unwrap();
    watch.abort();
    sleep(SETTLED.min(length)).await;
    let sent = book.sent.lock().unwrap().clone();
    let mut promises = Promises::new(&fleet, &sent);
    promises.check_always();
    if timed {
        promises.check_timed();
    }
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for it in &sent {
        let end = match &it.seen {
            Seen::Answer(status, ..) => status.to_string(),
            Seen::Refused => "no connection".to_owned(),
            Seen::Cut(_) => "cut".to_owned(),
        };
        *ends.entry(end).or_default() += 1;
    }
    let planned = plan.events.iter().all(|it| it.1.is_planned());
    println!(
        "seed {seed}: {} events{}, requests {ends:?}, {} broken",
        plan.events.len(),
        if planned { " (planned work alone)" } else { "" },
        promises.broken.len(),
    );
    if !promises.broken.is_empty() {
        println!("{:#?}", plan.events);
    }
    promises.broken
}

/// Waits until a hundred more requests are served.
async fn until_served(book: &Book, before: usize) {
    loop {
        let served = {
            let sent = book.sent.lock().unwrap();
            let later = sent.iter().skip(before);
            later.filter(|it| matches!(it.seen, Seen::Answer(200, ..))).count()
        };
        if 100 <= served {
            return;
        }
        sleep(LOOK).await;
    }
}

/// Seeds to play: those of CI, or of `SOAK_SEEDS=FIRST..LAST`.
fn seeds() -> (Vec<u64>, Option<Duration>) {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return (SHORT_SEEDS.to_vec(), None);
    };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let seconds = env::var("SOAK_SECONDS").map_or(SECONDS, |it| it.parse().unwrap());
    ((first..=last).collect(), Some(Duration::from_secs(seconds)))
}

/// With the tests a short series, and promises without a bound in time; by hand whole series and all promises.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_break_no_promise() {
    let (seeds, length) = seeds();
    let mut failed = Vec::new();
    for seed in seeds {
        let broken = play(seed, length.unwrap_or(SHORT), length.is_some()).await;
        for it in &broken {
            println!("{it}");
        }
        if !broken.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that broke a promise: {failed:?}");
}
