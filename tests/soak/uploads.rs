//! Callers that upload, each upload on a connection of its own to the VM itself.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use reqwest::Client;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Instant, sleep, timeout},
};

use crate::{
    callers::{CallLog, CallOutcome, LOOKUP_PERIOD, Lookup, SentRequest},
    fleet::{Fleet, UPLOAD_LIMIT, ZONES},
    options::DEFAULT_VMS,
    stand_in::WORK_MARK,
};

/// Number of concurrent callers for each four VMs.
const CALLERS: usize = 24;
/// Mean and maximum size of a body, in bytes.
const SIZE: (f64, f64) = (60_000.0, 360_000.0);
/// Time for which some callers use an answer to a look-up beyond the usual.
const KEEP_MS: u64 = 5_000;
/// Longest time from opening a connection to using it.
const OPEN_MS: u64 = 600;
/// Longest time that a body takes.
const WRITE_MS: u64 = 2_000;
/// Number of parts in which a body is written that takes time.
const PARTS: usize = 8;
/// Longest time that a server takes for an upload.
const WORK_MS: u64 = 3_000;
/// Bounds on the pause of a caller between two uploads.
const PAUSE_MS: (u64, u64) = (100, 400);
/// Time beyond the limit for which a caller waits.
const MARGIN: Duration = Duration::from_millis(500);

/// An upload. It is written from `sent.at` on.
#[derive(Debug, Clone)]
pub(crate) struct Upload {
    pub(crate) sent: SentRequest,
    pub(crate) connected: Option<Instant>,
    /// When the last byte of the body was written.
    pub(crate) written: Option<Instant>,
}

impl Upload {
    /// Names the way in which it ended.
    pub(crate) fn end(&self) -> String {
        match &self.sent.outcome {
            CallOutcome::Answer(status, ..) => status.to_string(),
            CallOutcome::Refused => "no connection".to_owned(),
            CallOutcome::Cut(_) if self.written.is_none() => "cut in the body".to_owned(),
            CallOutcome::Cut(_) if UPLOAD_LIMIT <= self.sent.end - self.sent.at => {
                "no answer in time".to_owned()
            }
            CallOutcome::Cut(_) => "cut after the body".to_owned(),
        }
    }
}

struct Uploader {
    fleet: Arc<Fleet>,
    log: Arc<CallLog>,
    client: Client,
    rng: ChaCha8Rng,
    lookup: Lookup,
    max_age: Duration,
    zone: &'static str,
}

impl Uploader {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    /// Returns a time below the maximum in one of so many cases, otherwise none.
    fn sometimes(&mut self, cases: u64, max_ms: u64) -> Duration {
        let (is_drawn, span) = (self.below(cases) == 0, self.below(max_ms));
        Duration::from_millis(if is_drawn { span } else { 0 })
    }

    fn size(&mut self) -> usize {
        let share = (self.rng.next_u64() as f64 / u64::MAX as f64).max(f64::MIN_POSITIVE);
        (-SIZE.0 * share.ln()).min(SIZE.1) as usize
    }

    async fn pick(&mut self) -> Option<SocketAddr> {
        let vm = self.below(self.fleet.vms.len() as u64) as usize;
        if self.lookup.is_due(self.max_age) || self.lookup.addresses.is_empty() {
            self.lookup.renew(self.fleet.vms[vm].listen.lookups, self.zone, &self.client).await;
        }
        let pick = self.rng.next_u64() as usize % self.lookup.addresses.len().max(1);
        self.lookup.addresses.get(pick).copied()
    }

    async fn upload(&mut self) {
        let Some(address) = self.pick().await else { return };
        let Some(vm) = self.fleet.vm_of(address) else { return };
        let number = self.log.next_number();
        let (id, length) = (format!("soak-{number}"), self.size());
        let (opened, writing) = (self.sometimes(4, OPEN_MS), self.sometimes(6, WRITE_MS));
        let path = match self.sometimes(8, WORK_MS).as_millis() {
            0 => format!("/photo/{number}"),
            work => format!("/photo/{number}{WORK_MARK}{work}"),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: {}\r\nContent-Length: {length}\r\n\r\n",
            UPLOAD_LIMIT.as_millis()
        );
        let mut at = Instant::now();
        let (mut connected, mut written) = (None, None);
        let outcome = match timeout(Duration::from_secs(1), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                connected = Some(Instant::now());
                sleep(opened).await;
                at = Instant::now();
                exchange(stream, &head, &vec![b'x'; length], writing, &mut written).await
            }
            Ok(Err(_)) | Err(_) => CallOutcome::Refused,
        };
        if !matches!(outcome, CallOutcome::Answer(..)) {
            // Callers leave out addresses that have failed them.
            self.lookup.addresses.retain(|it| *it != address);
        }
        let (end, safe, version) = (Instant::now(), false, None);
        let sent = SentRequest { id, vm, path, length, safe, version, at, end, outcome };
        self.log.uploads.lock().unwrap().push(Upload { sent, connected, written });
    }
}

/// Writes a request and reads its answer, which may come before the request is written.
async fn exchange(
    stream: TcpStream,
    head: &str,
    body: &[u8],
    span: Duration,
    written: &mut Option<Instant>,
) -> CallOutcome {
    stream.set_nodelay(true).unwrap();
    if let Ok(0) = stream.try_read(&mut [0]) {
        return CallOutcome::Cut("ended before the first byte".to_owned());
    }
    let (reader, writer) = stream.into_split();
    let writing = async {
        // The other half sees how the connection ends. It stays open on this side.
        let mut writer = writer;
        if write(&mut writer, head, body, span).await.is_ok() {
            *written = Some(Instant::now());
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = writing => unreachable!("it stays open"),
        answer = timeout(UPLOAD_LIMIT + MARGIN, read(reader)) => match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => CallOutcome::Cut(error.to_string()),
            Err(_) => CallOutcome::Cut("the caller left".to_owned()),
        },
    }
}

/// Writes a request; its body over some time, in parts, if there is any.
async fn write(
    writer: &mut OwnedWriteHalf,
    head: &str,
    body: &[u8],
    span: Duration,
) -> io::Result<()> {
    if span.is_zero() {
        return writer.write_all(&[head.as_bytes(), body].concat()).await;
    }
    writer.write_all(head.as_bytes()).await?;
    for part in body.chunks(body.len().div_ceil(PARTS).max(1)) {
        sleep(span / PARTS as u32).await;
        writer.write_all(part).await?;
    }
    Ok(())
}

/// Reads a whole answer.
async fn read(mut reader: OwnedReadHalf) -> io::Result<CallOutcome> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let fields = || head.lines().skip(1).filter_map(|it| it.split_once(": "));
            let field = |name: &str| {
                fields().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.to_owned())
            };
            let length = field("content-length").and_then(|it| it.parse().ok());
            if length.is_some_and(|it: usize| it <= body.len()) {
                let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
                let id = field("attempt-id").unwrap_or_default();
                return Ok(CallOutcome::Answer(status.unwrap_or(0), id, body.to_owned()));
            }
        }
        if reader.read_buf(&mut received).await? == 0 {
            let error = format!("ended after {} bytes of the answer", received.len());
            return Ok(CallOutcome::Cut(error));
        }
    }
}

/// Runs the callers until the log is ended.
pub(crate) async fn run_uploads(fleet: &Arc<Fleet>, log: &Arc<CallLog>, seed: u64) {
    let mut tasks = Vec::new();
    let count = CALLERS * fleet.vms.len().div_ceil(DEFAULT_VMS);
    for number in 0..count as u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(!(seed * 1_000 + number));
        let keep = if rng.next_u64().is_multiple_of(2) { 0 } else { rng.next_u64() % KEEP_MS };
        let mut caller = Uploader {
            fleet: Arc::clone(fleet),
            log: Arc::clone(log),
            client: Client::builder().no_proxy().build().unwrap(),
            rng,
            lookup: Lookup::default(),
            max_age: LOOKUP_PERIOD + Duration::from_millis(keep),
            zone: ZONES[number as usize % ZONES.len()],
        };
        tasks.push(tokio::spawn(async move {
            while !caller.log.has_ended() {
                caller.upload().await;
                let pause = PAUSE_MS.0 + caller.below(PAUSE_MS.1 - PAUSE_MS.0);
                sleep(Duration::from_millis(pause)).await;
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
}
