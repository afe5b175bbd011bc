//! The platform's store: items with revisions, leases, and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, serve},
    json::{Json, decode, encode, quote},
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    next_lease: u64,
    /// Number of waiting watches to cut, and the item that is removed after the last one.
    cuts: (u32, String),
    /// Since when the store is silent.
    silent: Option<Instant>,
    /// When leases were last renewed, by key of their items.
    renewals: Vec<(u64, Instant)>,
}

/// A store that keeps its whole history.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item { value: value.clone(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
        self.events.push((self.revision, key.to_owned(), Some(value)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) -> bool {
        if self.silent.is_some() {
            return false;
        }
        let now = Instant::now();
        let due: Vec<u64> =
            self.leases.iter().filter(|(_, it)| it.1 <= now).map(|(id, _)| *id).collect();
        for id in &due {
            self.end_lease(*id);
        }
        !due.is_empty()
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = State {
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: BTreeMap::new(),
            revision: 10,
            next_lease: 100,
            cuts: (0, String::new()),
            silent: None,
            renewals: Vec::new(),
        };
        let state = Mutex::new(state);
        let store = Arc::new(Store { state, changed: Condvar::new(), address });
        let shared = Arc::clone(&store);
        serve(listener, move |connection| shared.serve(connection));
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                if shared.state.lock().unwrap().expire() {
                    shared.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item as the operator or a backend server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Removes an item as the operator or a backend server does.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Cuts the next watches that wait, and removes an item right after the last of them.
    pub fn cut_watches(&self, count: u32, removed: &str) {
        self.state.lock().unwrap().cuts = (count, removed.to_owned());
    }

    /// Whether a watch that begins to wait is cut.
    fn takes_cut(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.cuts.0 == 0 {
            return false;
        }
        state.cuts.0 -= 1;
        if state.cuts.0 == 0 {
            let key = std::mem::take(&mut state.cuts.1);
            state.revision += 1;
            state.remove(&key);
            self.changed.notify_all();
        }
        true
    }

    /// Whether all watches that were to be cut have been.
    pub fn has_cut_all(&self) -> bool {
        self.state.lock().unwrap().cuts.0 == 0
    }

    /// Makes the store silent: calls do nothing and get no answer, and leases pause.
    pub fn fall_silent(&self) {
        self.state.lock().unwrap().silent = Some(Instant::now());
    }

    /// Ends the silence. What was under way is lost with its connection.
    pub fn come_back(&self) {
        let mut state = self.state.lock().unwrap();
        let Some(since) = state.silent.take() else {
            return;
        };
        let away = since.elapsed();
        for (_, until) in state.leases.values_mut() {
            *until += away;
        }
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().silent.is_some()
    }

    /// Waits until the lease of an item has just been renewed.
    pub fn await_renewal(&self, key: &str, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let state = self.state.lock().unwrap();
            let lease = state.items.get(key).map_or(0, |it| it.lease);
            if state.renewals.iter().any(|(id, at)| *id == lease && start < *at) {
                return true;
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
        false
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            thread::sleep(Duration::from_millis(2));
            if self.is_silent() {
                // Nothing more comes on this connection, also once the store is back.
                while !connection.is_closed() {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            if request.path() == "/-/kv-watch" && self.is_idle(&request) && self.takes_cut() {
                return;
            }
            let (status, body) = self.call(&request);
            let headers =
                [("content-type", "application/json".to_owned()), ("store-era", "1".to_owned())];
            if connection.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Message) -> (u16, String) {
        let path = request.path().to_owned();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let last = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        match (request.method(), path.as_str()) {
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-key") => self.key(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.write(&body),
            ("POST", "/-/kv-lease") => self.lease(&body),
            ("POST", it) if it.starts_with("/-/kv-keep/") => self.keep(last),
            ("DELETE", it) if it.starts_with("/-/kv-lease-end/") => {
                self.state.lock().unwrap().end_lease(last);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        const PAGE: usize = 400;
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after");
        let state = self.state.lock().unwrap();
        let found = state.items.iter().filter(|(key, _)| {
            key.starts_with(&prefix) && after.as_ref().is_none_or(|it| it < key)
        });
        let mut items: Vec<String> =
            found.take(PAGE + 1).map(|(key, it)| item_text(key, it)).collect();
        let more = PAGE < items.len();
        items.truncate(PAGE);
        let (items, at) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"more_pages\":{more},\"at\":{at}}}"))
    }

    fn key(&self, request: &Message) -> (u16, String) {
        let key = request.query("key").unwrap_or_default();
        let state = self.state.lock().unwrap();
        state.items.get(&key).map_or((404, "{}".to_owned()), |it| (200, item_text(&key, it)))
    }

    /// Whether a watch has nothing to report yet.
    fn is_idle(&self, request: &Message) -> bool {
        let after: u64 = request.query("after").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.state.lock().unwrap().events.last().is_none_or(|it| it.0 <= after)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after: u64 = request.query("after").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait = request.query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let mut events = Vec::new();
            for (revision, key, value) in state.events.iter().rev() {
                if *revision <= after {
                    break;
                }
                if !key.starts_with(&prefix) {
                    continue;
                }
                let key = quote(key);
                events.push(match value {
                    Some(value) => format!(
                        "{{\"key\":{key},\"value\":\"{}\",\"revision\":{revision}}}",
                        encode(value)
                    ),
                    None => format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}"),
                });
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.reverse();
                let at = state.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        for it in body.get("precondition").map_or(&[][..], Json::list) {
            let key = it.get("key").and_then(Json::text).unwrap_or_default();
            let wanted = it.get("revision").and_then(Json::number).unwrap_or(0);
            if state.items.get(key).map_or(0, |it| it.revision) != wanted {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let puts = body.get("put_items").map_or(&[][..], Json::list);
        for it in puts {
            let lease = it.get("lease").and_then(Json::number).unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        state.revision += 1;
        for it in puts {
            let key = it.get("key").and_then(Json::text).unwrap_or_default();
            let value = decode(it.get("value").and_then(Json::text).unwrap_or_default());
            state.put(key, value, it.get("lease").and_then(Json::number).unwrap_or(0));
        }
        for it in body.get("remove").map_or(&[][..], Json::list) {
            state.remove(it.text().unwrap_or_default());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn lease(&self, body: &Json) -> (u16, String) {
        let ttl = body.get("ttl_ms").and_then(Json::number).unwrap_or(1_000).clamp(1_000, 600_000);
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let (id, span) = (state.next_lease, Duration::from_millis(ttl));
        state.leases.insert(id, (span, Instant::now() + span));
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&id) {
            Some((span, until)) => {
                *until = Instant::now() + *span;
                let ttl = span.as_millis();
                state.renewals.push((id, Instant::now()));
                (200, format!("{{\"ttl_ms\":{ttl}}}"))
            }
            None => (404, "{}".to_owned()),
        }
    }
}
