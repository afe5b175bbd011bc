//! The platform's store: items with revisions, pages, watches, leases, and the drill in which it comes back from a copy.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, listen, serve},
    json::{Json, encode},
};

/// Items on a page.
const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    /// Encoded.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
        )
    }
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    end: Instant,
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Default)]
pub struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Default)]
struct State {
    content: Content,
    /// By revision.
    events: BTreeMap<u64, (String, String)>,
    /// Watches from before this revision get 410.
    dropped: u64,
    era: u64,
    is_away: bool,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.content.revision += 1;
        let revision = self.content.revision;
        let created = self.content.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        self.events.insert(revision, (key.to_owned(), item.json(key)));
        self.content.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.content.items.remove(key).is_none() {
            return;
        }
        self.content.revision += 1;
        let revision = self.content.revision;
        let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
        self.events.insert(revision, (key.to_owned(), event));
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let known = self.content.leases.remove(&id).is_some();
        let held = self.content.items.iter().filter(|it| id != 0 && it.1.lease == id);
        let keys: Vec<String> = held.map(|it| it.0.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.content.leases.iter().filter(|it| it.1.end <= now);
        let ended: Vec<u64> = ended.map(|it| *it.0).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn number(request: &Message, name: &str) -> u64 {
    request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0)
}

impl Store {
    pub fn start() -> Store {
        let listener = listen();
        let address = listener.local_addr().expect("the address of a listener");
        let content = Content { revision: 100, last_lease: 7_000, ..Content::default() };
        let state = State { content, era: 1, ..State::default() };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        serve(listener, move |request| Some(served.answer(&request)));
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no holder of the lock fails")
    }

    /// Writes an item as the operator, a backend or another writer does; nothing while the store is away.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.state();
        if state.is_away {
            return false;
        }
        state.put(key, encode(value.as_bytes()), 0);
        self.state.1.notify_all();
        true
    }

    pub fn remove(&self, key: &str) -> bool {
        let mut state = self.state();
        if state.is_away {
            return false;
        }
        state.remove(key);
        self.state.1.notify_all();
        true
    }

    pub fn copy(&self) -> Content {
        self.state().content.clone()
    }

    /// All calls get 503 from now on.
    pub fn go_away(&self) {
        self.state().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from a copy. What was written since is gone, leases too, and the era rises by one.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.state();
        state.dropped = copy.revision;
        state.events.clear();
        state.content = copy;
        let now = Instant::now();
        for lease in state.content.leases.values_mut() {
            lease.end = now + lease.ttl;
        }
        state.era += 1;
        state.is_away = false;
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Message) -> Message {
        let answer = self.answer_call(request);
        let state = self.state();
        let answer = if state.is_away { Message::answer(503, "{}") } else { answer };
        answer.with("Content-Type", "application/json").with("Store-Era", state.era)
    }

    fn answer_call(&self, request: &Message) -> Message {
        // The round trip takes 4 ms.
        thread::sleep(Duration::from_millis(4));
        if self.state().is_away {
            return Message::answer(503, "{}");
        }
        self.state().expire();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Other);
        let path = request.path();
        let id = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        match (request.method(), path) {
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("GET", "/-/kv-key") => self.item(request),
            ("POST", "/-/kv-txn") => self.write(&body),
            ("POST", "/-/kv-lease") => self.lease(&body),
            ("POST", _) if path.starts_with("/-/kv-keep/") => self.keep(id),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let known = self.state().end_lease(id);
                self.state.1.notify_all();
                Message::answer(if known { 200 } else { 404 }, "{}")
            }
            _ => Message::answer(404, "{}"),
        }
    }

    fn item(&self, request: &Message) -> Message {
        let (state, key) = (self.state(), request.query("key").unwrap_or_default());
        match state.content.items.get(&key) {
            Some(item) => {
                let at = state.content.revision;
                Message::answer(200, &item.json(&key).replace('}', &format!(r#","at":{at}}}"#)))
            }
            None => Message::answer(404, "{}"),
        }
    }

    fn range(&self, request: &Message) -> Message {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state();
        let items = state.content.items.iter();
        let mut found =
            items.filter(|it| it.0.starts_with(&prefix) && (after.is_empty() || after < *it.0));
        let page: Vec<String> = found.by_ref().take(PAGE).map(|it| it.1.json(it.0)).collect();
        let (more, at) = (found.next().is_some(), state.content.revision);
        let items = page.join(",");
        Message::answer(200, &format!(r#"{{"items":[{items}],"more_pages":{more},"at":{at}}}"#))
    }

    fn watch(&self, request: &Message) -> Message {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number(request, "after");
        let end = Instant::now() + Duration::from_millis(number(request, "wait_ms").min(30_000));
        let mut state = self.state();
        let era = state.era;
        loop {
            state.expire();
            let at = state.content.revision;
            if state.era != era || after < state.dropped || at < after {
                return Message::answer(410, "{}");
            }
            let events = state.events.range(after + 1..).map(|it| it.1);
            let events: Vec<&str> =
                events.filter(|it| it.0.starts_with(&prefix)).map(|it| it.1.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.is_away {
                let events = events.join(",");
                return Message::answer(200, &format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            let wait = left.min(Duration::from_millis(50));
            state = self.state.1.wait_timeout(state, wait).expect("no holder of the lock fails").0;
        }
    }

    fn write(&self, body: &Json) -> Message {
        let mut state = self.state();
        for row in body.get("precondition").list() {
            let found = state.content.items.get(row.get("key").text()).map_or(0, |it| it.revision);
            if found != row.get("revision").number() {
                return Message::answer(412, r#"{"items":[]}"#);
            }
        }
        for put in body.get("put_items").list() {
            let (key, lease) = (put.get("key").text(), put.get("lease").number());
            if key.starts_with("op/") || key.starts_with("servers/") {
                return Message::answer(403, "{}");
            }
            if lease != 0 && !state.content.leases.contains_key(&lease) {
                return Message::answer(404, "{}");
            }
        }
        for put in body.get("put_items").list() {
            let value = put.get("value").text().to_owned();
            state.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        Message::answer(200, &format!(r#"{{"revision":{}}}"#, state.content.revision))
    }

    fn lease(&self, body: &Json) -> Message {
        let mut state = self.state();
        let ttl = Duration::from_millis(body.get("ttl_ms").number().clamp(1_000, 600_000));
        state.content.last_lease += 1;
        let id = state.content.last_lease;
        state.content.leases.insert(id, Lease { ttl, end: Instant::now() + ttl });
        Message::answer(200, &format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, ttl.as_millis()))
    }

    fn keep(&self, id: u64) -> Message {
        let mut state = self.state();
        let Some(lease) = state.content.leases.get_mut(&id) else {
            return Message::answer(404, "{}");
        };
        lease.end = Instant::now() + lease.ttl;
        Message::answer(200, &format!(r#"{{"ttl_ms":{}}}"#, lease.ttl.as_millis()))
    }
}
