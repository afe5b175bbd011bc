//! A backend server. It registers in the store and works on a request for the time that the request's path states
//! (`ms=`); it drops a request whose connection closes.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Connection, Message, serve},
    json::quote,
    record::Record,
    store::Store,
};

/// Requests that a server works on at once, and that it queues beyond that.
pub const SLOTS: usize = 4;
const QUEUE: usize = 12;
/// Interval of a server's writes to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// How a run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Answered,
    /// Its connection closed before the work was done.
    Dropped,
}

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub backend: String,
    pub ended: Duration,
    pub end: End,
}

pub struct Backend {
    pub id: String,
    service: String,
    zone: String,
    pub address: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    registered: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    /// Times at which requests arrived.
    pub arrivals: Mutex<Vec<(Duration, String)>>,
    record: Arc<Record>,
    /// Requests that run and that wait for a slot.
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Backend {
    /// Starts a server and registers it.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        (id, service, zone): (&str, &str, &str),
    ) -> Arc<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Arc::new(Backend {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            sequence: AtomicU64::new(0),
            registered: AtomicBool::new(true),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
            busy: Mutex::default(),
            freed: Condvar::new(),
        });
        let shared = Arc::clone(&backend);
        serve(listener, move |connection| shared.serve(connection));
        backend.write(store);
        let (shared, store) = (Arc::clone(&backend), Arc::clone(store));
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if shared.registered.load(Ordering::SeqCst) {
                    shared.write(&store);
                }
            }
        });
        backend
    }

    fn write(&self, store: &Store) {
        let (key, entry) = self.next_entry("ready");
        store.put(&key, &entry);
    }

    /// The key and value of the server's next write to the store.
    pub fn next_entry(&self, state: &str) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"1\",\"slots\":{SLOTS},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            quote(&self.service),
            self.address,
            quote(&self.zone),
            self.born
        );
        (format!("servers/{}", self.id), entry)
    }

    /// Ends the writes at each heartbeat; the case makes them itself from now on.
    pub fn write_by_hand(&self) {
        self.registered.store(false, Ordering::SeqCst);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let id = request.header("attempt-id").to_owned();
        let echo = ("attempt-id", id.clone());
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != self.id {
            return connection.answer(421, &[echo], b"");
        }
        let arrived = self.record.now();
        let left = request.header("request-deadline").to_owned();
        self.arrivals.lock().unwrap().push((arrived, id.clone()));
        self.record.add(format!("{} gets request {id}, deadline {left} ms", self.id));
        if !self.take_slot() {
            self.record.add(format!("{} rejects request {id}: 503 not executed", self.id));
            let rejected = ("not-executed", "1".to_owned());
            return connection.answer(503, &[echo, rejected, self.load()], b"");
        }
        if connection.is_closed() {
            self.free_slot();
            self.record.add(format!("{} drops request {id}, which waited", self.id));
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        self.record.add(format!("{} runs request {id}", self.id));
        let work = request.query("ms").and_then(|it| it.parse().ok()).unwrap_or(20);
        let until = Instant::now() + Duration::from_millis(work);
        let mut is_closed = false;
        while Instant::now() < until && !is_closed {
            thread::sleep(Duration::from_millis(5));
            is_closed = connection.is_closed();
        }
        self.free_slot();
        if is_closed {
            self.end(&id, End::Dropped);
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        self.end(&id, End::Answered);
        let signature = ("server-signature", format!("{}.{id}", self.id));
        let body = format!("{} ran {id}", self.id);
        connection.answer(200, &[echo, signature, self.load()], body.as_bytes())
    }

    /// Waits for a slot; false if too many requests wait.
    fn take_slot(&self) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if SLOTS + QUEUE <= busy.0 + busy.1 {
            return false;
        }
        busy.1 += 1;
        while SLOTS <= busy.0 {
            busy = self.freed.wait(busy).unwrap();
        }
        *busy = (busy.0 + 1, busy.1 - 1);
        true
    }

    fn free_slot(&self) {
        self.busy.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    /// The header that tells the load.
    fn load(&self) -> (&'static str, String) {
        let (running, waiting) = *self.busy.lock().unwrap();
        ("server-load", format!("{running},{waiting},{SLOTS}"))
    }

    fn end(&self, id: &str, end: End) {
        self.record.add(format!("{} ends request {id}: {end:?}", self.id));
        let (id, backend, ended) = (id.to_owned(), self.id.clone(), self.record.now());
        self.runs.lock().unwrap().push(Run { id, backend, ended, end });
    }
}
