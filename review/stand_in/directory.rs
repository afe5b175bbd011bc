//! A machine is removed for good just before the store falls silent for a while, and leases pause meanwhile.
//!
//! Clients ask the directory of the other processes which machines to use. With `TROUBLE=0` the machine is removed and
//! the store stays well.

use std::{collections::BTreeMap, net::TcpListener, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    Outcome,
    backend::Backend,
    entry::{Entry, SIGKILL, Settings},
    http::Connection,
    record::Record,
    store::Store,
};

/// Length of the store's silence: the largest of the site file.
const SILENCE: Duration = Duration::from_secs(8);
const SETTLE_WINDOW: Duration = Duration::from_secs(3);
/// From the end of the silence on.
const WATCHED: Duration = Duration::from_secs(8);
/// Time between two look-ups at a process; together nearly as often as 180 clients who ask every 2 s.
const GAP: Duration = Duration::from_millis(25);
/// Answers that may name a machine that is gone.
const ALLOWED: usize = 3;
const ZONES: [(&str, &str); 3] =
    [("pl-quay", "mu-north"), ("grand-baie", "mu-north"), ("tamarin", "mu-west")];
const CONFIG: &str = r#"{"version":"0000000c","routes":[{"name":"look","host":"desk.example","prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":600,"priority":2,"service":"roster-desk","max_attempts":2}],"services":[{"name":"roster-desk","cold_per_s":4.1}],"limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn look_up(connection: &mut Connection, zone: &str, region: &str) -> std::io::Result<String> {
    let head = format!(
        "GET /-/resolve?name=desk.example&region={region}&zone={zone} HTTP/1.1\r\nHost: directory\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    let answer = connection.read()?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let zones = BTreeMap::from(ZONES);
    let store = Store::start();
    store.put("op/config", CONFIG);
    for (number, (zone, _)) in ZONES.into_iter().enumerate() {
        for part in ["a", "b"] {
            let id = format!("i-{number}{part}");
            Backend::start(&store, record, (&id, "roster-desk", zone));
        }
    }
    let mut entries = Vec::new();
    for (zone, _) in ZONES {
        let vm = format!("frontend-{zone}-1");
        let settings = Settings::new(&vm, zone, store.address);
        let Some(entry) = Entry::start_ready(&settings, folder, &zones, record) else {
            return Outcome::Unable("a process did not become ready".to_owned());
        };
        entries.push(entry);
    }
    thread::sleep(Duration::from_secs(4));
    let gone = entries.remove(1);
    let key = format!("th/vm/{}", gone.settings.vm);
    if !store.await_renewal(&key, Duration::from_secs(5)) {
        return Outcome::Unable("no renewal of the machine's lease was seen".to_owned());
    }
    gone.signal(SIGKILL);
    let address = gone.settings.callers.to_string();
    record.add(format!("{} is removed for good; its address was {address}", gone.settings.vm));
    let removed = record.now();
    if trouble {
        store.fall_silent();
        record.add("the store falls silent");
    }
    // The address of a machine without power does not answer: connections to it hang.
    thread::sleep(Duration::from_millis(200));
    let silent = TcpListener::bind(gone.settings.ready);
    if let Err(error) = &silent {
        return Outcome::Unable(format!("binding the removed machine's ready address: {error}"));
    }
    thread::sleep(SILENCE.saturating_sub(record.now() - removed));
    store.come_back();
    record.add("the store is well");
    let back = record.now();
    let from = (back + SETTLE_WINDOW).max(removed + SETTLE_WINDOW + Duration::from_secs(3));
    let mut watchers = Vec::new();
    for entry in &entries {
        let (vm, zone) = (entry.settings.vm.clone(), entry.settings.zone.clone());
        let (lookups, region) = (entry.settings.lookups, zones[zone.as_str()]);
        let (record, address) = (Arc::clone(record), address.clone());
        watchers.push(thread::spawn(move || {
            let (mut named, mut asked) = (0, 0);
            while record.now() < back + WATCHED {
                let opened = Connection::open(lookups, Duration::from_secs(1));
                let answer = opened.and_then(|mut it| look_up(&mut it, &zone, region));
                let is_named = answer.as_ref().is_ok_and(|it| it.contains(&address));
                let is_late = from < record.now();
                asked += usize::from(is_late);
                if is_late && is_named {
                    named += 1;
                    record
                        .add(format!("{vm} still names the removed machine: {}", answer.unwrap()));
                }
                thread::sleep(GAP);
            }
            (named, asked)
        }));
    }
    let (mut named, mut asked) = (0, 0);
    for watcher in watchers {
        let Ok(counts) = watcher.join() else {
            return Outcome::Unable("a look-up failed".to_owned());
        };
        named += counts.0;
        asked += counts.1;
    }
    record.add(format!("of {asked} answers of the directory, sent from {:.1} s after the store's return on, {named} name a machine that was removed {:.1} s before that", (from - back).as_secs_f64(), (from - removed).as_secs_f64()));
    if ALLOWED < named {
        Outcome::Broken(format!("{named} answers name a removed machine"))
    } else {
        Outcome::Held
    }
}
