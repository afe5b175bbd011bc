//! Few of a host's requests are on a route with a home region, and the directory sends their clients elsewhere.
//!
//! Three processes stand in three regions; most servers are in two of them. Clients of the third region ask the directory
//! every 2 s and take one of the named machines for each request. One request in 60 is on a route whose only home is that
//! region. With `TROUBLE=0` it is one in 10. Nothing is disrupted.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    backend::Backend,
    call::send,
    entry::{Entry, Settings},
    http::Connection,
    json::Json,
    record::Record,
    store::Store,
};

const ZONES: [(&str, &str, usize); 3] =
    [("pl-quay", "mu-north", 1), ("tamarin", "mu-west", 5), ("mahebourg", "mu-south", 6)];
const CLIENTS: u64 = 20;
/// Time between two requests of a client.
const GAP: Duration = Duration::from_millis(200);
/// Time between two look-ups of a client.
const LOOKUP_LIFE: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(50);
/// Requests before this time are not judged.
const SETTLED: Duration = Duration::from_secs(20);
const CONFIG: &str = r#"{"version":"0000000c","routes":[{"name":"look","host":"desk.example","prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":600,"priority":2,"service":"roster-desk","max_attempts":2,"home_regions":[]},{"name":"claim","host":"desk.example","prefix":"/claim/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":800,"priority":1,"service":"roster-desk","max_attempts":2,"home_regions":["mu-north"]},{"name":"list","host":"desk.example","prefix":"/list/","kind":"safe","timeout_ms":1500,"target_latency_ms":600,"priority":2,"service":"roster-desk","max_attempts":2,"home_regions":[]}],"services":[{"name":"roster-desk","cold_per_s":4.1}],"limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The addresses that a directory names to a client of the first zone.
fn look_up(directory: std::net::SocketAddr) -> Vec<String> {
    let head = "GET /-/resolve?name=desk.example&region=mu-north&zone=pl-quay HTTP/1.1\r\nHost: directory\r\n\r\n";
    let answer = Connection::open(directory, Duration::from_secs(1))
        .and_then(|mut it| it.write(head.as_bytes()).and_then(|()| it.read()));
    let text = answer.map(|it| String::from_utf8_lossy(&it.body).into_owned()).unwrap_or_default();
    let answer = Json::parse(&text).unwrap_or(Json::Null);
    let named = answer.get("addresses").map_or(&[][..], Json::list).iter();
    named.filter_map(Json::text).map(str::to_owned).collect()
}

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let zones: BTreeMap<&str, &str> = ZONES.iter().map(|it| (it.0, it.1)).collect();
    let store = Store::start();
    store.put("op/config", CONFIG);
    for (number, (zone, _, count)) in ZONES.into_iter().enumerate() {
        for part in 0..count {
            let id = format!("i-{number}-{part}");
            Backend::start(&store, record, (&id, "roster-desk", zone));
        }
    }
    let mut entries = Vec::new();
    for (zone, ..) in ZONES {
        let settings = Settings::new(&format!("frontend-{zone}-1"), zone, store.address);
        let Some(entry) = Entry::start_ready(&settings, folder, &zones, record) else {
            return Outcome::Unable("a process did not become ready".to_owned());
        };
        entries.push(entry);
    }
    thread::sleep(Duration::from_secs(3));
    let every = if trouble { 60 } else { 10 };
    let (start, directory) = (record.now(), entries[0].settings.lookups);
    let home = entries[0].settings.callers.to_string();
    // Requests on the route with a home, and those of them that were sent to another region.
    let counts: Arc<Mutex<(u64, u64)>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, counts, home) = (Arc::clone(record), Arc::clone(&counts), home.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(GAP * client as u32 / CLIENTS as u32);
            let (mut named, mut asked) = (Vec::new(), Duration::ZERO);
            let mut number = client * 7;
            while record.now() < start + LENGTH {
                if named.is_empty() || asked + LOOKUP_LIFE < record.now() {
                    (named, asked) = (look_up(directory), record.now());
                }
                number += 1;
                let pick = (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as usize;
                let Some(address) = named.get(pick % named.len().max(1)).cloned() else {
                    continue;
                };
                let has_home = number % every == 0;
                let (method, route) = if has_home { ("POST", "claim") } else { ("GET", "look") };
                let path = format!("/{route}/{client}/{number}?ms=20");
                let Ok(target) = address.parse() else {
                    continue;
                };
                let call = (method, "desk.example", path.as_str());
                let (id, body) =
                    (format!("c{client}-{number}"), if has_home { "gang=7" } else { "" });
                send(&record, target, call, &id, 4_000, body.as_bytes());
                if has_home && start + SETTLED < record.now() {
                    let mut counts = counts.lock().unwrap();
                    counts.0 += 1;
                    counts.1 += u64::from(address != home);
                }
                thread::sleep(GAP);
            }
        }));
    }
    for client in clients {
        client.join().ok();
    }
    let (sent, elsewhere) = *counts.lock().unwrap();
    record.add(format!("of {sent} requests on the route with a home, {elsewhere} were sent to machines in other regions, as the directory named them"));
    if sent < 20 {
        return Outcome::Unable("too few requests with homes".to_owned());
    }
    if sent < elsewhere * 20 {
        Outcome::Broken(format!("{elsewhere} of {sent} requests with a home were sent elsewhere"))
    } else {
        Outcome::Held
    }
}
