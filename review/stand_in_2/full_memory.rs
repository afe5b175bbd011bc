//! Large uploads fill the memory for requests, while other clients send small ones.

use std::{
    io::BufReader,
    net::TcpStream,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    backend::Backend,
    config,
    entry::Entry,
    http::{self, Message},
    record::Record,
    store::Store,
};

/// `timeout_ms` of the route of small requests.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// `timeout_ms` of the route of uploads.
const UPLOAD_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Time after it within which an answer is due.
const SLACK: Duration = Duration::from_millis(500);
/// Time for which clients wait.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Clients that upload, the size of their bodies, and the pause from one to the next: together 400 Mbit/s, on a link of 1,000.
/// `body_bytes` of the configuration is 67,108,864.
const UPLOADERS: u64 = 13;
const UPLOAD: usize = 4_995_000;
const UPLOAD_PAUSE: Duration = Duration::from_millis(100);
/// Clients that send small requests, in each of three waves, and the sizes of their bodies in turn.
const SMALL: u64 = 64;
const BODIES: [usize; 4] = [1_200, 600, 200, 0];
const WAVE_PAUSE: Duration = Duration::from_millis(500);
/// Backends, of each service, as many as a small deployment has.
const BACKENDS: u64 = 12;
/// What the record calls an upload.
const UPLOADS: &str = "upload";
/// Fewest requests without an answer for which the rule counts as broken.
const FEWEST: usize = 8;

/// A request whose last byte was sent.
struct Whole {
    attempt: String,
    what: &'static str,
    sent: Instant,
    /// `None` without an answer before the client's deadline.
    answered: Option<Instant>,
    status: u16,
}

struct Play {
    entry: Entry,
    record: Record,
    last: AtomicU64,
    done: Mutex<Vec<Whole>>,
}

impl Play {
    /// Sends a request and waits for its answer.
    fn send(&self, what: &'static str, path: &str, body: usize) {
        let attempt = format!("{:016x}", 0xb000 + self.last.fetch_add(1, Relaxed));
        let first = ["POST", path, "HTTP/1.1"].map(str::to_owned).to_vec();
        let request = Message { first, body: vec![b'x'; body], ..Message::default() };
        let request = request.with("Host", "desk.example").with("Attempt-Id", &attempt);
        let request = request.with("Request-Deadline", DEADLINE.as_millis());
        let request = request.with("Connection", "close");
        let mut sent = Instant::now();
        self.record.note(format!("{what} {attempt} begins"));
        let answer = (|| {
            let mut stream =
                TcpStream::connect_timeout(&self.entry.callers, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            request.write(&mut stream)?;
            sent = Instant::now();
            stream.set_read_timeout(Some(DEADLINE))?;
            http::read(&mut BufReader::new(stream))?.ok_or(std::io::ErrorKind::UnexpectedEof.into())
        })();
        let status = answer.as_ref().map_or(0, Message::status);
        let answered = answer.is_ok().then(Instant::now);
        let took = sent.elapsed().as_secs_f64();
        let cause = answer.err().map_or_else(String::new, |it: std::io::Error| format!(" ({it})"));
        self.record.note(format!(
            "{what} {attempt} ends: status {status}{cause}, {took:.3} s after its last byte"
        ));
        let whole = Whole { attempt, what, sent, answered, status };
        self.done.lock().expect("no holder fails").push(whole);
    }
}

pub fn play(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let store = Store::start();
    store.put("op/config", &config(7));
    let mut backends = Vec::new();
    for number in 1..=BACKENDS {
        backends.push(Backend::start(
            &format!("i-desk-{number}"),
            "bookings",
            "oslo-a",
            &store,
            record,
        ));
        backends.push(Backend::start(
            &format!("i-photo-{number}"),
            "surveys",
            "oslo-a",
            &store,
            record,
        ));
    }
    let entry = Entry::start("frontend-oslo-a-1", "oslo-a", &store, folder);
    if !entry.wait_until_ready() {
        return Verdict::NotRun("the process did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let (last, done) = (AtomicU64::new(0), Mutex::default());
    let play = Arc::new(Play { entry, record: record.clone(), last, done });
    let mut clients = Vec::new();
    let mut start = |count: u64, what: &'static str, path: &'static str, body| {
        for _ in 0..count {
            let play = Arc::clone(&play);
            clients.push(thread::spawn(move || play.send(what, path, body)));
        }
    };
    start(1, "claim before", "/claim/work-50/x", 1_200);
    thread::sleep(Duration::from_secs(1));
    for _ in 0..UPLOADERS {
        if trouble {
            start(1, UPLOADS, "/photo/work-3480/x", UPLOAD);
        }
        thread::sleep(UPLOAD_PAUSE);
    }
    // They are whole once they are at work.
    let at_work =
        || backends.iter().flat_map(|it| it.arrivals()).filter(|it| it.is_unfinished).count();
    let begun = Instant::now();
    while trouble && at_work() < UPLOADERS as usize {
        if Duration::from_secs(3) < begun.elapsed() {
            return Verdict::NotRun("the uploads were not read in time".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.note("all uploads are at work, if there are any");
    for _ in 0..3 {
        for body in BODIES {
            start(SMALL / 4, "claim", "/claim/work-1160/x", body);
        }
        thread::sleep(WAVE_PAUSE);
    }
    thread::sleep(Duration::from_millis(3_000));
    start(5, "claim after", "/claim/work-50/x", 1_200);
    for client in clients {
        let _ = client.join();
    }
    // CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer half a
    // second later.
    let done = play.done.lock().expect("no holder fails");
    let due = |it: &&Whole, slack| {
        let timeout = if it.what == UPLOADS { UPLOAD_TIMEOUT } else { TIMEOUT };
        it.answered.is_none_or(|at| it.sent + timeout + slack < at)
    };
    let open: Vec<&Whole> = done.iter().filter(|it| due(it, Duration::ZERO)).collect();
    let late: Vec<&&Whole> = open.iter().filter(|it| due(it, SLACK)).collect();
    for Whole { attempt, what, sent, status, .. } in &late {
        record.note(format!("CONFIG: {what} {attempt}, whole at {:.3} s, has no answer half a second after its route's timeout; status {status}", record.seconds(*sent)));
    }
    record.note(format!(
        "{} requests, {} unanswered at the timeout, {} of them half a second later",
        done.len(),
        open.len(),
        late.len()
    ));
    if FEWEST <= late.len() && open.len() < 2 * late.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
