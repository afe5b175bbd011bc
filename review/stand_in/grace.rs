//! The platform raises the grace period while the process runs, and later stops the process.
//!
//! Clients send requests that take 4.5 s until two seconds after SIGTERM. With a grace period of 10 s all of them can be
//! answered. With `TROUBLE=0` the settings hold 10 s from the start.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    backend::{Backend, End},
    call::{Answered, send},
    entry::{Entry, SIGHUP, SIGKILL, SIGTERM, Settings},
    record::Record,
    store::Store,
};

const OLD_GRACE_S: f64 = 6.0;
const NEW_GRACE_S: f64 = 10.0;
/// Work of a request; the route's timeout and the client's deadline are 8 s.
const WORK_MS: u64 = 4_500;
const DEADLINE_MS: u64 = 8_000;
const CONFIG: &str = r#"{"version":"0000000c","routes":[{"name":"claim","host":"desk.example","prefix":"/claim/","kind":"unsafe","timeout_ms":8000,"target_latency_ms":1000,"priority":1,"service":"roster-desk","max_attempts":2}],"services":[{"name":"roster-desk","cold_per_s":4.1}],"limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}}"#;

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let zones = BTreeMap::from([("pl-quay", "mu-north")]);
    let store = Store::start();
    store.put("op/config", CONFIG);
    let mut backends = Vec::new();
    for id in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
        let place = (id, "roster-desk", "pl-quay");
        backends.push(Backend::start(&store, record, place));
    }
    let mut settings = Settings::new("frontend-pl-quay-1", "pl-quay", store.address);
    settings.grace_s = if trouble { OLD_GRACE_S } else { NEW_GRACE_S };
    let Some(mut entry) = Entry::start_ready(&settings, folder, &zones, record) else {
        return Outcome::Unable("the process did not become ready".to_owned());
    };
    settings = entry.settings.clone();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        settings.grace_s = NEW_GRACE_S;
        settings.write(folder, &zones);
        entry.signal(SIGHUP);
        record.add(format!("settings: grace_s {OLD_GRACE_S} -> {NEW_GRACE_S}, SIGHUP"));
    }
    // Longer than the 5 s within which a changed file is taken over without a signal too.
    thread::sleep(Duration::from_secs(8));
    let answers: Arc<Mutex<Vec<Answered>>> = Arc::default();
    let mut clients = Vec::new();
    let stopped = record.now() + Duration::from_millis(1_000);
    for number in 0..12u64 {
        let (address, record, answers) =
            (settings.callers, Arc::clone(record), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(250 * number));
            let path = format!("/claim/{number}?ms={WORK_MS}");
            let answered = send(
                &record,
                address,
                ("POST", "desk.example", &path),
                &format!("a{number}"),
                DEADLINE_MS,
                b"gang=7",
            );
            answers.lock().unwrap().push(answered);
        }));
    }
    thread::sleep(stopped.saturating_sub(record.now()));
    record.add("SIGTERM");
    entry.signal(SIGTERM);
    // The platform kills the process at the end of the grace period that it states.
    let status = entry.wait(Duration::from_secs_f64(NEW_GRACE_S));
    record.add(format!(
        "the process ended {:.3} s after SIGTERM: {status:?}",
        (record.now() - stopped).as_secs_f64()
    ));
    if status.is_none() {
        entry.signal(SIGKILL);
    }
    for client in clients {
        client.join().ok();
    }
    // Until the servers have seen the connections close.
    thread::sleep(Duration::from_millis(500));
    judge(record, &backends, &answers.lock().unwrap(), stopped)
}

/// LOST: a request that the process passed on ends without a complete answer. Excused are those at which a server was
/// still at work in the last sixth of the grace period, and those that had reached their deadline.
fn judge(
    record: &Record,
    backends: &[Arc<Backend>],
    answers: &[Answered],
    stopped: Duration,
) -> Outcome {
    let mut lost = 0;
    let last_sixth = stopped + Duration::from_secs_f64(NEW_GRACE_S * 5.0 / 6.0);
    for backend in backends {
        for run in backend.runs.lock().unwrap().iter() {
            let answer = answers.iter().find(|it| it.id == run.id);
            let is_answered = answer.is_some_and(|it| it.status.is_some());
            let used = answer.map_or(Duration::ZERO, |it| it.ended.saturating_sub(it.sent));
            let is_late = DEADLINE_MS <= used.as_millis() as u64;
            let is_excused = last_sixth <= run.ended || is_late;
            if !is_answered && !is_excused {
                lost += 1;
                record.add(format!(
                    "LOST: request {} was at work at {} and its connection ended after {} ms without an answer; run ended: {:?}",
                    run.id, run.backend, used.as_millis(), run.end
                ));
            }
        }
    }
    let cut = backends.iter().flat_map(|it| it.runs.lock().unwrap().clone());
    let cut = cut.filter(|it| it.end == End::Dropped).count();
    record
        .add(format!("{} requests answered or ended, {cut} runs cut, {lost} lost", answers.len()));
    if 0 < lost { Outcome::Broken(format!("{lost} requests lost")) } else { Outcome::Held }
}
