//! Clients: each request is one attempt with an id of its own.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use crate::{
    entry::Entry,
    http::{Message, call},
    record::Record,
};

/// Time for which clients wait.
const DEADLINE_MS: u64 = 4_000;

/// A request that was sent.
#[derive(Debug, Clone)]
pub struct Sent {
    pub attempt: String,
    pub entry: String,
    pub at: Instant,
    pub answered: Instant,
    /// 0 for none.
    pub status: u16,
    /// Whether the answer said that its backend leaves.
    pub is_leaving: bool,
}

#[derive(Clone)]
pub struct Clients {
    record: Record,
    last: Arc<AtomicU64>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    pub fn new(record: &Record) -> Clients {
        Clients { record: record.clone(), last: Arc::default(), sent: Arc::default() }
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("no holder fails").clone()
    }

    /// Sends a request to a process of the system, and waits for the answer.
    pub fn send(&self, entry: &Entry, method: &str, path: &str) -> Sent {
        let attempt = format!("{:016x}", 0xa000 + self.last.fetch_add(1, Relaxed));
        let first = [method, path, "HTTP/1.1"].map(str::to_owned).to_vec();
        let request = Message { first, ..Message::default() };
        let request = request.with("Host", "desk.example").with("Attempt-Id", &attempt);
        let request = request.with("Request-Deadline", DEADLINE_MS).with("Connection", "close");
        let at = Instant::now();
        self.record.note(format!("client sends {attempt} to {}: {method} {path}", entry.name));
        let answer = call(entry.callers, &request, Duration::from_millis(DEADLINE_MS));
        let answered = Instant::now();
        let (status, is_leaving, body) = match &answer {
            Ok(it) => {
                let body = String::from_utf8_lossy(&it.body).into_owned();
                (it.status(), it.header("server-leaving").is_some(), body)
            }
            Err(_) => (0, false, String::new()),
        };
        let leaving = if is_leaving { ", Server-Leaving" } else { "" };
        self.record.note(format!(
            "client gets for {attempt} from {}: {status}{leaving} {body}",
            entry.name
        ));
        let sent = Sent { attempt, entry: entry.name.clone(), at, answered, status, is_leaving };
        self.sent.lock().expect("no holder fails").push(sent.clone());
        sent
    }
}
