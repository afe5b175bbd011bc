//! A write of a backend server is held up by a partition and reaches the store after the server has reported that it drains.
//!
//! A server is cut off from the store for 4 s, not from the processes. The heartbeat that it sends then is held up: its
//! connection sends the bytes again 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first time, and the last of these comes through.
//! Meanwhile the server has reported `draining` over another connection. Its next heartbeat states `draining` again. The
//! entries state `born` and `sequence`, so which one is older can be told. With `TROUBLE=0` the server is not cut off.

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
    backend::{Backend, HEARTBEAT},
    call::send,
    entry::{Entry, Settings},
    record::Record,
    store::Store,
};

const DRAIN: Duration = Duration::from_millis(2_500);
/// From the begin of the cut to the heartbeat that it holds up.
const BEFORE_CALL: Duration = Duration::from_millis(100);
const CUT: Duration = Duration::from_millis(4_000);
/// Time of the first transmission after the cut, from the call on.
const HELD: Duration = Duration::from_millis(6_200);
/// From the last heartbeat before the cut to the removal of the entry: three intervals.
const LAPSE: Duration = Duration::from_millis(4_500);
/// From the last heartbeat before the cut to the report that the server drains.
const REPORT: Duration = Duration::from_millis(5_800);
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
    leaving.write_by_hand();
    let write = |state: &str, delay: Duration| {
        let (key, value) = leaving.next_entry(state);
        record.add(format!("i-1 writes {value}; carried out after {} ms", delay.as_millis()));
        let (store, record) = (Arc::clone(&store), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(delay);
            store.put(&key, &value);
            record.add(format!("the store carries out {value}"));
        });
    };
    write("ready", Duration::ZERO);
    let last = record.now();
    let sleep_until = |at: Duration| thread::sleep((last + at).saturating_sub(record.now()));
    sleep_until(HEARTBEAT - BEFORE_CALL);
    if trouble {
        record.add("i-1 is cut off from the store");
        sleep_until(HEARTBEAT);
        write("ready", HELD);
        sleep_until(LAPSE);
        store.remove("servers/i-1");
        record.add("the store removes the entry of i-1, which was silent for three intervals");
        sleep_until(HEARTBEAT - BEFORE_CALL + CUT);
        record.add("i-1 is cut off no more");
        sleep_until(HEARTBEAT + CUT);
        write("ready", Duration::ZERO);
    } else {
        for count in 1..4 {
            sleep_until(HEARTBEAT * count);
            write("ready", Duration::ZERO);
        }
    }
    sleep_until(REPORT);
    write("draining", Duration::ZERO);
    let acknowledged = record.now() + Duration::from_millis(5);
    for _ in 0..5 {
        thread::sleep(HEARTBEAT);
        write("draining", Duration::ZERO);
    }
    end.store(true, Ordering::SeqCst);
    sender.join().ok();
    judge(record, &leaving, acknowledged)
}

/// DRAIN: a request reaches a server later than `drain_ms` after the store has acknowledged that it drains.
fn judge(record: &Record, leaving: &Backend, acknowledged: Duration) -> Outcome {
    let (mut late, mut before) = (0, 0);
    for (at, id) in leaving.arrivals.lock().unwrap().iter() {
        before += usize::from(*at < acknowledged);
        if acknowledged + DRAIN < *at {
            late += 1;
            let after = (*at - acknowledged).as_secs_f64();
            record.add(format!("DRAIN: request {id} reached i-1 {after:.3} s after the store had acknowledged that i-1 drains"));
        }
    }
    record.add(format!(
        "i-1 got {before} requests before it drained, and {late} later than drain_ms after that"
    ));
    if before == 0 {
        return Outcome::Unable("i-1 got no requests before it drained".to_owned());
    }
    if 0 < late {
        Outcome::Broken(format!("{late} requests reached a leaving server"))
    } else {
        Outcome::Held
    }
}
