//! A backend drains; then another writer's entry, without the field `born`, stands in the place of its own.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, backend::Backend, client::Clients, config, entry::Entry, record::Record, store::Store,
};

/// `drain_ms` of a small deployment.
const DRAIN: Duration = Duration::from_millis(2_500);

fn wait(start: Instant, millis: u64) {
    thread::sleep(
        (start + Duration::from_millis(millis)).saturating_duration_since(Instant::now()),
    );
}

pub fn play(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let store = Store::start();
    store.put("op/config", &config(7));
    let stays = Backend::start("i-stays", "bookings", "oslo-a", &store, record);
    let leaves = Backend::start("i-leaves", "bookings", "oslo-a", &store, record);
    let entry = Arc::new(Entry::start("frontend-oslo-a-1", "oslo-a", &store, folder));
    if !entry.wait_until_ready() {
        return Verdict::NotRun("the process did not become ready".to_owned());
    }
    let clients = Clients::new(record);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for (method, path) in [("GET", "/look/work-880/x"), ("POST", "/claim/work-1160/x")] {
        for _ in 0..3 {
            let (clients, entry) = (clients.clone(), Arc::clone(&entry));
            let is_over = Arc::clone(&is_over);
            senders.push(thread::spawn(move || {
                while !is_over.load(Relaxed) {
                    clients.send(&entry, method, path);
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let ready = leaves.fields("ready", leaves.sequence());
    let start = Instant::now();
    leaves.drain();
    for at in [5_000, 8_000, 11_000] {
        wait(start, at);
        if trouble {
            store.put(&leaves.key(), &format!("{{{ready}}}"));
            record.note(
                "another writer puts an entry without `born` in the place of that of i-leaves",
            );
        }
    }
    wait(start, 12_500);
    leaves.end();
    wait(start, 13_500);
    is_over.store(true, Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    stays.end();
    // DRAIN: a request reaches a backend later than `drain_ms` after the store acknowledged that it is draining.
    let mut late = 0;
    for arrival in leaves.arrivals().iter().filter(|it| start + DRAIN < it.at) {
        late += 1;
        let sent = clients.sent();
        let request = sent.iter().find(|it| it.attempt == arrival.attempt);
        record.note(format!(
            "DRAIN: {} reached i-leaves at {:.3} s, {:.3} s after its drain; status {:?}{}",
            arrival.attempt,
            record.seconds(arrival.at),
            arrival.at.duration_since(start).as_secs_f64(),
            request.map(|it| it.status),
            if arrival.is_unfinished { "; cut as the backend ended" } else { "" },
        ));
    }
    record.note(format!("{late} requests reached the draining backend too late"));
    if late == 0 { Verdict::Held } else { Verdict::Broken }
}
