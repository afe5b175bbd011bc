//! Structured log lines on standard output, written without blocking the data path.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Duration, Instant, SystemTime},
};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Maximum number of lines that wait to be written; about one second of lines at the highest rate.
const BUFFER_LINES: usize = 512;
/// Rate limit of lines about requests that were answered successfully.
const SUCCESS_LINES_PER_S: f64 = 20.0;
/// Rate limit of all other lines.
const OTHER_LINES_PER_S: f64 = 200.0;
/// Burst size of both limits, in seconds of the rate.
const BURST_S: f64 = 2.0;
/// Longest wait at the end of the process until all lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest text of a line in bytes; it may quote what others wrote, of any size.
const MAX_TEXT: usize = 4_096;
/// Log target of the lines about requests.
const CALL_TARGET: &str = "call";

/// Numbers of lines that were dropped, by reason.
#[derive(Debug, Default)]
pub struct LineCounts {
    /// Exceeded the rate limit.
    pub thinned: AtomicU64,
    /// Could not be buffered, since standard output is blocked or closed.
    pub lost: AtomicU64,
}

#[derive(Debug)]
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_s: f64) -> TokenBucket {
        TokenBucket { per_s, tokens: per_s * BURST_S, refilled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s * BURST_S);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What the thread that writes lines gets.
enum Message {
    Line(String),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

struct LineLogger {
    sender: SyncSender<Message>,
    success: Mutex<TokenBucket>,
    other: Mutex<TokenBucket>,
    counts: Arc<LineCounts>,
    level: LevelFilter,
}

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let success = record.target() == CALL_TARGET && Level::Info <= record.level();
        let bucket = if success { &self.success } else { &self.other };
        let allowed = bucket.lock().is_ok_and(|mut it| it.take());
        if !allowed {
            self.counts.thinned.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut text = record.args().to_string();
        if MAX_TEXT < text.len() {
            let size = text.len();
            text.truncate(text.floor_char_boundary(MAX_TEXT));
            text.push_str(&format!("... ({size} bytes)"));
        }
        let line = serde_json::json!({
            "at": humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
            "level": record.level().as_str(),
            "part": record.target(),
            "text": text,
        });
        if self.sender.try_send(Message::Line(format!("{line}\n"))).is_err() {
            self.counts.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (sender, written) = sync_channel(1);
        if self.sender.try_send(Message::Flush(sender)).is_ok() {
            // Standard output may be blocked; the process must not wait for it.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(receiver: &Receiver<Message>) {
    let mut out = std::io::stdout().lock();
    for message in receiver {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(sender) => {
                // Whoever waited may have given up.
                let _ = sender.send(());
                continue;
            }
        };
        if out.write_all(line.as_bytes()).and_then(|()| out.flush()).is_err() {
            // Standard output is closed. The process keeps serving without a log.
            return;
        }
    }
}

/// Starts logging. A separate thread writes the lines.
pub fn start_logging(level: LevelFilter) -> Result<Arc<LineCounts>, log::SetLoggerError> {
    let (sender, receiver) = sync_channel(BUFFER_LINES);
    let counts = Arc::new(LineCounts::default());
    let logger = LineLogger {
        sender,
        success: Mutex::new(TokenBucket::new(SUCCESS_LINES_PER_S)),
        other: Mutex::new(TokenBucket::new(OTHER_LINES_PER_S)),
        counts: Arc::clone(&counts),
        level,
    };
    log::set_boxed_logger(Box::new(logger))?;
    log::set_max_level(level);
    std::thread::spawn(move || write_lines(&receiver));
    Ok(counts)
}
