//! A planned stop of a process at which requests wait for a slot of a backend server.
//!
//! Two processes share two servers with four slots each. Requests come at a steady rate, above what the servers can do, so
//! that many wait for seconds; each is sent over a connection of its own to the process that its client was
//! named. One process gets SIGTERM. Its clients use it for as long as a look-up's answer lives, and then the other one. With
//! `TROUBLE=0` there is no SIGTERM.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    backend::{Backend, Run},
    call::{Answered, send},
    entry::{Entry, SIGKILL, SIGTERM, Settings},
    record::Record,
    store::Store,
};

const GRACE: Duration = Duration::from_secs(6);
/// Work of a request: the mean of the kind points-credit.
const WORK_MS: u64 = 1_200;
/// The clients' deadline of that kind, which is the route's timeout too.
const DEADLINE: Duration = Duration::from_millis(8_000);
/// Time between two requests to each process: 13.3 requests a second in all, for 6.7 that the servers can do.
const GAP: Duration = Duration::from_millis(150);
/// SIGTERM, from the first request on.
const STOP_AFTER: Duration = Duration::from_secs(25);
/// Life of a look-up's answer, which is what the process states.
const LOOKUP_LIFE: Duration = Duration::from_secs(2);
/// Requests go on for so long after SIGTERM.
const TAIL: Duration = Duration::from_secs(8);
const LOSS_SLACK: Duration = Duration::from_millis(200);
const CONFIG: &str = r#"{"version":"0000000c","routes":[{"name":"claim","host":"desk.example","prefix":"/claim/","kind":"unsafe","timeout_ms":8000,"target_latency_ms":1000,"priority":1,"service":"roster-desk","max_attempts":2}],"services":[{"name":"roster-desk","cold_per_s":4.1}],"limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Sends requests at the steady rate to the first process until `change`, and then to the second one until `end`. Returns
/// once all have ended.
fn send_steadily(
    (first, second): (&Settings, &Settings),
    record: &Arc<Record>,
    (change, end): (Duration, Duration),
    answers: &Arc<Mutex<Vec<Answered>>>,
) {
    let (mut number, mut clients) = (0, Vec::new());
    while record.now() < end {
        let entry = if record.now() < change { first } else { second };
        let (vm, address) = (first.vm.clone(), entry.callers);
        let (record, answers) = (Arc::clone(record), Arc::clone(answers));
        clients.push(thread::spawn(move || {
            let (id, path) = (format!("{vm}.{number}"), format!("/claim/{number}?ms={WORK_MS}"));
            let deadline_ms = DEADLINE.as_millis() as u64;
            let call = ("POST", "desk.example", path.as_str());
            let answered = send(&record, address, call, &id, deadline_ms, b"gang=7");
            answers.lock().unwrap().push(answered);
        }));
        number += 1;
        thread::sleep(GAP);
    }
    for client in clients {
        client.join().ok();
    }
}

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let zones = BTreeMap::from([("pl-quay", "mu-north")]);
    let store = Store::start();
    store.put("op/config", CONFIG);
    let mut backends = Vec::new();
    for id in ["i-1", "i-2"] {
        let place = (id, "roster-desk", "pl-quay");
        backends.push(Backend::start(&store, record, place));
    }
    let mut entries = Vec::new();
    for vm in ["frontend-pl-quay-1", "frontend-pl-quay-2"] {
        let settings = Settings::new(vm, "pl-quay", store.address);
        let Some(entry) = Entry::start_ready(&settings, folder, &zones, record) else {
            return Outcome::Unable("a process did not become ready".to_owned());
        };
        entries.push(entry);
    }
    thread::sleep(Duration::from_secs(3));
    let stop = record.now() + STOP_AFTER;
    let answers: Arc<Mutex<Vec<Answered>>> = Arc::default();
    let mut senders = Vec::new();
    for (entry, change) in entries.iter().zip([stop + LOOKUP_LIFE, stop + TAIL]) {
        let (first, second) = (entry.settings.clone(), entries[1].settings.clone());
        let (record, answers) = (Arc::clone(record), Arc::clone(&answers));
        let times = (change, stop + TAIL);
        senders.push(thread::spawn(move || {
            send_steadily((&first, &second), &record, times, &answers);
        }));
    }
    thread::sleep(stop.saturating_sub(record.now()));
    let stopped = record.now();
    if trouble {
        record.add("SIGTERM to frontend-pl-quay-1");
        entries[0].signal(SIGTERM);
        let status = entries[0].wait(GRACE);
        let took = (record.now() - stopped).as_secs_f64();
        record.add(format!("frontend-pl-quay-1 ended {took:.3} s after SIGTERM: {status:?}"));
        if status.is_none() {
            entries[0].signal(SIGKILL);
        }
    }
    for sender in senders {
        sender.join().ok();
    }
    // Until the servers have seen the connections close.
    thread::sleep(Duration::from_millis(500));
    let runs: Vec<Run> = backends.iter().flat_map(|it| it.runs.lock().unwrap().clone()).collect();
    let answers = answers.lock().unwrap();
    judge(record, &runs, &answers, stopped)
}

/// LOST around planned work: a request was read whole and its connection ended without a complete answer, later than
/// `loss_slack_ms` after its last byte. Excused are those that had reached their deadline, and those sent by 3 s after
/// SIGTERM at which a server was still at work in the last sixth of the grace period.
fn judge(record: &Record, runs: &[Run], answers: &[Answered], stopped: Duration) -> Outcome {
    let last_sixth = stopped + GRACE * 5 / 6;
    let (mut lost, mut excused, mut statuses) = (0, 0, BTreeMap::new());
    for answer in answers {
        *statuses.entry(format!("{:?}", answer.status)).or_insert(0) += 1;
        let used = answer.ended - answer.sent;
        if answer.status.is_some() || !answer.connected || used <= LOSS_SLACK {
            continue;
        }
        let run = runs.iter().find(|it| it.id == answer.id);
        let was_at_work = run.is_some_and(|it| last_sixth <= it.ended);
        let is_early = answer.sent <= stopped + Duration::from_secs(3);
        if DEADLINE <= used || (was_at_work && is_early) {
            excused += 1;
            continue;
        }
        lost += 1;
        let at = answer.sent.as_secs_f64() - stopped.as_secs_f64();
        record.add(format!(
            "LOST: request {}, sent {at:.3} s after SIGTERM; its connection ended after {} ms without an answer; run: {run:?}",
            answer.id,
            used.as_millis()
        ));
    }
    record.add(format!(
        "{} requests; status, count: {statuses:?}; excused {excused}, lost {lost}",
        answers.len()
    ));
    if 0 < lost { Outcome::Broken(format!("{lost} requests lost")) } else { Outcome::Held }
}
