//! A backend server: registers in the store, runs requests, says that it leaves, and ends.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message, listen},
    record::Record,
    store::Store,
};

/// In a path, stands before the time that a request takes, in milliseconds.
const WORK: &str = "/work-";
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A request that reached a backend and was meant for it.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub attempt: String,
    pub at: Instant,
    /// Whether it is at work, or was when the backend ended.
    pub is_unfinished: bool,
}

pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    born: u64,
    sequence: AtomicU64,
    store: Store,
    record: Record,
    /// Whether it keeps its entry in the store.
    is_registered: AtomicBool,
    is_draining: AtomicBool,
    /// Whether it says in its answers that it leaves.
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Backend {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        store: &Store,
        record: &Record,
    ) -> Arc<Backend> {
        let listener = listen();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let backend = Arc::new(Backend {
            id: id.to_owned(),
            address: listener.local_addr().expect("the address of a listener"),
            service,
            zone,
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
            is_registered: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let (serving, writing) = (Arc::clone(&backend), Arc::clone(&backend));
        thread::spawn(move || serving.accept(listener));
        thread::spawn(move || {
            while !writing.has_ended.load(Relaxed) {
                if writing.is_registered.load(Relaxed) {
                    writing.write_entry();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        backend
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The next entry, with the start of the backend.
    fn entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Relaxed);
        let fields = self.fields(state, sequence);
        format!(r#"{{{fields},"born":{}}}"#, self.born)
    }

    /// All fields of an entry but `born`.
    pub fn fields(&self, state: &str, sequence: u64) -> String {
        let Backend { service, address, zone, .. } = self;
        format!(
            r#""service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":4,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence}"#
        )
    }

    fn write_entry(&self) -> bool {
        let is_draining = self.is_draining.load(Relaxed);
        let entry = self.entry(if is_draining { "draining" } else { "ready" });
        self.store.put(&self.key(), &entry)
    }

    pub fn sequence(&self) -> u64 {
        self.sequence.load(Relaxed)
    }

    /// Reports `draining`, and says so in its answers.
    pub fn drain(&self) {
        self.is_leaving.store(true, Relaxed);
        self.is_draining.store(true, Relaxed);
        let taken = self.write_entry();
        self.record.note(format!("backend {} reports draining, accepted: {taken}", self.id));
    }

    /// Leaves without a report: its entry is removed, and it says in its answers that it leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Relaxed);
        self.is_registered.store(false, Relaxed);
        let taken = self.store.remove(&self.key());
        self.record
            .note(format!("backend {} leaves; its entry is removed, accepted: {taken}", self.id));
    }

    /// Ends: closes the port and all connections.
    pub fn end(&self) {
        self.has_ended.store(true, Relaxed);
        for stream in self.connections.lock().expect("no holder fails").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let mut cut = Vec::new();
        for arrival in self.arrivals().iter().filter(|it| it.is_unfinished) {
            cut.push(arrival.attempt.clone());
        }
        self.record.note(format!("backend {} ends, at work on {cut:?}", self.id));
    }

    /// What reached it, and which of it is unfinished.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no holder fails").clone()
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        while !self.has_ended.load(Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let Ok(kept) = stream.try_clone() else { continue };
            self.connections.lock().expect("no holder fails").push(kept);
            let backend = Arc::clone(&self);
            thread::spawn(move || backend.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let answer = self.run(&request);
            if self.has_ended.load(Relaxed) || answer.write(&mut writer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn run(&self, request: &Message) -> Message {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("expected-instance").is_some_and(|it| it != self.id) {
            return Message::answer(421, "").with("Instance-Id", &self.id);
        }
        let at = Instant::now();
        let (method, path) = (request.method(), request.path());
        self.record.note(format!("backend {} gets {attempt}: {method} {path}", self.id));
        let index = {
            let mut arrivals = self.arrivals.lock().expect("no holder fails");
            arrivals.push(Arrival { attempt: attempt.clone(), at, is_unfinished: true });
            arrivals.len() - 1
        };
        let work = path.split_once(WORK).map_or("20", |it| it.1.split('/').next().unwrap_or("20"));
        thread::sleep(Duration::from_millis(work.parse().unwrap_or(20)));
        if !self.has_ended.load(Relaxed) {
            self.arrivals.lock().expect("no holder fails")[index].is_unfinished = false;
        }
        let answer = Message::answer(200, &format!("{} ran {attempt} {path}", self.id));
        let answer = answer.with("Attempt-Id", &attempt).with("Server-Load", "1,0,4");
        let answer = answer.with("Server-Signature", format!("3e1b.{}.{attempt}", self.id));
        if self.is_leaving.load(Relaxed) { answer.with("Server-Leaving", 1) } else { answer }
    }
}
