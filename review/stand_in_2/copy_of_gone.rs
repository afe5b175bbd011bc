//! A backend leaves; then the store comes back from a copy in which it is still ready.

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
    let entries: Vec<Arc<Entry>> = ["frontend-oslo-a-1", "frontend-oslo-a-2"]
        .map(|name| Arc::new(Entry::start(name, "oslo-a", &store, folder)))
        .into();
    if !entries.iter().all(|it| it.wait_until_ready()) {
        return Verdict::NotRun("a process did not become ready".to_owned());
    }
    let clients = Clients::new(record);
    // The backends go on writing meanwhile.
    thread::sleep(Duration::from_secs(10));
    for entry in &entries {
        for _ in 0..4 {
            if clients.send(entry, "GET", "/look/work-20/before").status != 200 {
                return Verdict::NotRun(
                    "a request before the disruption was not served".to_owned(),
                );
            }
        }
    }
    let copy = store.copy();
    record.note("the store's copy is made");
    let start = Instant::now();
    wait(start, 900);
    // Requests at work while the backend leaves: their answers say so.
    let mut senders = Vec::new();
    for entry in &entries {
        for _ in 0..4 {
            let (clients, entry) = (clients.clone(), Arc::clone(entry));
            senders.push(thread::spawn(move || {
                clients.send(&entry, "POST", "/claim/work-1800/during");
            }));
        }
    }
    wait(start, 1_000);
    leaves.leave();
    for sender in senders {
        let _ = sender.join();
    }
    wait(start, 3_500);
    if trouble {
        store.go_away();
        record.note("the store is away");
    }
    wait(start, 6_000);
    if trouble {
        store.come_back(copy);
        record.note("the store is back, from the copy");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for entry in &entries {
        for (method, path) in [("GET", "/look/work-880/after"), ("POST", "/claim/work-1160/after")]
        {
            for _ in 0..4 {
                let (clients, entry) = (clients.clone(), Arc::clone(entry));
                let is_over = Arc::clone(&is_over);
                senders.push(thread::spawn(move || {
                    while !is_over.load(Relaxed) {
                        clients.send(&entry, method, path);
                        thread::sleep(Duration::from_millis(20));
                    }
                }));
            }
        }
    }
    // The operator and the backends write again what they wrote; a removal too.
    wait(start, 6_100);
    store.put("op/config", &config(7));
    // It has served for `drain_ms` and some seconds.
    wait(start, 7_000);
    leaves.end();
    wait(start, 8_000);
    if store.remove(&leaves.key()) {
        record.note("the removal of the entry of i-leaves is written again");
    }
    wait(start, 9_500);
    is_over.store(true, Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    stays.end();
    judge(&clients, &leaves, record)
}

/// DRAIN: a request that a client sent later than `drain_ms` after a machine had passed on an answer with `Server-Leaving`
/// reaches that backend from that machine.
fn judge(clients: &Clients, leaves: &Backend, record: &Record) -> Verdict {
    let (sent, arrivals) = (clients.sent(), leaves.arrivals());
    let mut late = 0;
    let mut is_told = false;
    for entry in ["frontend-oslo-a-1", "frontend-oslo-a-2"] {
        let own = sent.iter().filter(|it| it.entry == entry);
        let told = own.clone().filter(|it| it.is_leaving).map(|it| it.answered).min();
        let Some(told) = told else {
            record.note(format!("{entry} passed on no answer with Server-Leaving"));
            continue;
        };
        is_told = true;
        record.note(format!(
            "{entry} passed on the first answer with Server-Leaving at {:.3} s",
            record.seconds(told)
        ));
        for request in own.filter(|it| told + DRAIN < it.at) {
            for arrival in arrivals.iter().filter(|it| it.attempt == request.attempt) {
                late += 1;
                record.note(format!(
                    "DRAIN: {} was sent by a client at {:.3} s to {entry} and reached {} at {:.3} s; status {}{}",
                    request.attempt,
                    record.seconds(request.at),
                    leaves.id,
                    record.seconds(arrival.at),
                    request.status,
                    if arrival.is_unfinished { "; cut as the backend ended" } else { "" },
                ));
            }
        }
    }
    record.note(format!("{late} requests reached the leaving backend too late"));
    match (is_told, late) {
        (false, _) => Verdict::NotRun("no answer said that the backend leaves".to_owned()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
