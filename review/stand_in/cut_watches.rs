//! Two watches of the store are cut one after the other, and a server leaves right after the second.
//!
//! The server does not report that it drains; its entry is removed, and it works on. With `TROUBLE=0` no watch is cut.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    backend::Backend,
    call::send,
    entry::{Entry, Settings},
    record::Record,
    store::Store,
};

const DRAIN: Duration = Duration::from_millis(2_500);
/// Watches that are cut in a row.
const CUTS: u32 = 2;
const WORK_MS: u64 = 300;
const GAP: Duration = Duration::from_millis(16);
const CONFIG: &str = r#"{"version":"0000000c","routes":[{"name":"claim","host":"desk.example","prefix":"/claim/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":800,"priority":1,"service":"roster-desk","max_attempts":2}],"services":[{"name":"roster-desk","cold_per_s":4.1}],"limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Sends requests at a steady rate until `end` is set.
fn send_steadily(settings: &Settings, record: &Arc<Record>, end: &AtomicBool) {
    let (mut number, mut clients) = (0, Vec::new());
    while !end.load(Ordering::SeqCst) {
        let (address, record) = (settings.callers, Arc::clone(record));
        clients.push(thread::spawn(move || {
            let path = format!("/claim/{number}?ms={WORK_MS}");
            let call = ("POST", "desk.example", path.as_str());
            send(&record, address, call, &format!("a{number}"), 6_000, b"gang=7")
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
    for id in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
        let place = (id, "roster-desk", "pl-quay");
        backends.push(Backend::start(&store, record, place));
    }
    let settings = Settings::new("frontend-pl-quay-1", "pl-quay", store.address);
    let Some(entry) = Entry::start_ready(&settings, folder, &zones, record) else {
        return Outcome::Unable("the process did not become ready".to_owned());
    };
    let end = Arc::new(AtomicBool::new(false));
    let (settings, shared, ended) = (entry.settings.clone(), Arc::clone(record), Arc::clone(&end));
    let sender = thread::spawn(move || send_steadily(&settings, &shared, &ended));
    thread::sleep(Duration::from_secs(4));

    let leaving = Arc::clone(&backends[0]);
    // With its next heartbeat just written, nothing changes for a while.
    leaving.write_by_hand();
    let key = "servers/i-1";
    if trouble {
        store.cut_watches(CUTS, key);
        while !store.has_cut_all() {
            thread::sleep(Duration::from_millis(1));
        }
        record.add(format!("{CUTS} waiting watches were cut; the entry of i-1 is removed"));
    } else {
        store.remove(key);
        record.add("the entry of i-1 is removed");
    }
    let acknowledged = record.now();
    thread::sleep(Duration::from_secs(6));
    end.store(true, Ordering::SeqCst);
    sender.join().ok();
    judge(record, &leaving, acknowledged)
}

/// DRAIN: a request reaches a server later than `drain_ms` after the store has acknowledged that it is gone.
fn judge(record: &Record, leaving: &Backend, acknowledged: Duration) -> Outcome {
    let (mut late, mut before) = (0, 0);
    for (at, id) in leaving.arrivals.lock().unwrap().iter() {
        before += usize::from(*at < acknowledged);
        if acknowledged + DRAIN < *at {
            late += 1;
            let after = (*at - acknowledged).as_secs_f64();
            record.add(format!("DRAIN: request {id} reached i-1 {after:.3} s after the store had acknowledged that i-1 is gone"));
        }
    }
    record.add(format!(
        "i-1 got {before} requests before it left, and {late} later than drain_ms after that"
    ));
    if before == 0 {
        return Outcome::Unable("i-1 got no requests before it left".to_owned());
    }
    if 0 < late {
        Outcome::Broken(format!("{late} requests reached a leaving server"))
    } else {
        Outcome::Held
    }
}
