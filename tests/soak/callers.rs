//! Callers that look up VMs, send requests and record the outcomes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use reqwest::{Client, Method, Response};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    fleet::{Fleet, ZONES},
    stand_in::SIZE_MARK,
    uploads::Upload,
};

/// Number of concurrent callers.
const CALLERS: u64 = 16;
/// Time-out of a caller for an answer; longer than every limit of the system.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval of a caller's look-ups.
pub(crate) const LOOKUP_PERIOD: Duration = Duration::from_millis(1_000);
const CALL_PAUSE: Duration = Duration::from_millis(15);
/// Number of further callers, which take large answers, and take them slowly.
const SLOW_CALLERS: u64 = 3;
/// Size of an answer to a slow caller, in bytes: more than sockets take.
const LARGE: usize = 6 << 20;
/// Time that a slow caller takes for an answer.
const READING_TIME: Duration = Duration::from_millis(1_500);

/// Outcome of a request as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// Status, attempt id and body of the answer.
    Answer(u16, String, String),
    /// No connection could be opened.
    Refused,
    /// The connection ended without a complete answer.
    Cut(String),
}

/// A request that a caller sent.
#[derive(Debug, Clone)]
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) vm: usize,
    pub(crate) path: String,
    pub(crate) length: usize,
    pub(crate) safe: bool,
    /// Configuration version whose own route it uses.
    pub(crate) version: Option<u64>,
    pub(crate) at: Instant,
    /// When it ended; for a slow caller, when the head of a complete answer arrived.
    pub(crate) end: Instant,
    pub(crate) outcome: CallOutcome,
}

/// Record of the requests of all callers.
#[derive(Default)]
pub(crate) struct CallLog {
    pub(crate) sent: Mutex<Vec<SentRequest>>,
    pub(crate) uploads: Mutex<Vec<Upload>>,
    count: AtomicU64,
    ended: AtomicBool,
}

impl CallLog {
    /// Makes callers stop after their current request.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Returns a number for the next request.
    pub(crate) fn next_number(&self) -> u64 {
        self.count.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// The last answer that a caller got to a look-up.
#[derive(Default)]
pub(crate) struct Lookup {
    pub(crate) addresses: Vec<SocketAddr>,
    at: Option<Instant>,
}

impl Lookup {
    /// Asks that VM. A failed look-up leaves the last answer.
    pub(crate) async fn renew(&mut self, vm: SocketAddr, zone: &str, client: &Client) {
        let url = format!("http://{vm}/-/resolve?name=desk.example&zone={zone}");
        let answer = client.get(url).timeout(Duration::from_millis(400)).send().await;
        let Ok(answer) = answer else { return };
        let Ok(answer) = answer.json::<Value>().await else { return };
        self.addresses.clear();
        for address in answer["addresses"].as_array().into_iter().flatten() {
            if let Some(address) = address.as_str().and_then(|it| it.parse().ok()) {
                self.addresses.push(address);
            }
        }
        self.at = Some(Instant::now());
    }

    pub(crate) fn is_due(&self, max_age: Duration) -> bool {
        self.at.is_none_or(|it| max_age <= it.elapsed())
    }
}

struct Caller {
    fleet: Arc<Fleet>,
    log: Arc<CallLog>,
    client: Client,
    rng: ChaCha8Rng,
    slow: bool,
    lookup: Lookup,
}

impl Caller {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    async fn look_up(&mut self) {
        if !self.lookup.is_due(LOOKUP_PERIOD) {
            return;
        }
        let vm = self.below(self.fleet.vms.len() as u64) as usize;
        self.lookup.renew(self.fleet.vms[vm].listen.lookups, ZONES[0], &self.client).await;
    }

    async fn call(&mut self) {
        self.look_up().await;
        let count = self.lookup.addresses.len().max(1) as u64;
        let pick = self.below(count) as usize;
        let vm = self.lookup.addresses.get(pick).and_then(|it| self.fleet.vm_of(*it));
        let vm = vm.unwrap_or(self.below(self.fleet.vms.len() as u64) as usize);
        let number = self.log.next_number();
        let (id, length) = (format!("soak-{number}"), self.below(3_000) as usize);
        let version = self.fleet.configs.lock().unwrap().keys().next_back().copied();
        let (safe, version, path) = match self.below(10) {
            _ if self.slow => (true, None, format!("/load/{number}{SIZE_MARK}{LARGE}")),
            0..5 => (false, None, format!("/book/{number}")),
            5..9 => (true, None, format!("/look/{number}")),
            _ => (true, version, format!("/v{}/{number}", version.unwrap_or_default())),
        };
        let method = if safe { Method::GET } else { Method::POST };
        let url = format!("http://{}{path}", self.fleet.vms[vm].callers.address);
        let object = self.below(60);
        let request = self.client.request(method, url).header("host", "desk.example");
        let request = request.header("attempt-id", &id).header("request-deadline", "4000");
        let request = request.header("cookie", format!("Affinity-Key={object}"));
        let at = Instant::now();
        let mut end = at;
        let answer = request.body("x".repeat(length)).timeout(ANSWER_TIMEOUT).send().await;
        let outcome = match answer {
            Ok(answer) => {
                let status = answer.status().as_u16();
                let echoed = answer.headers().get("attempt-id");
                let echoed = echoed.and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned();
                end = Instant::now();
                match read_body(answer, self.slow).await {
                    Ok(body) => CallOutcome::Answer(status, echoed, body),
                    Err(error) => CallOutcome::Cut(format!("{error:?}")),
                }
            }
            Err(error) if error.is_connect() => CallOutcome::Refused,
            Err(error) => CallOutcome::Cut(format!("{error:?}")),
        };
        if !self.slow || !matches!(outcome, CallOutcome::Answer(..)) {
            end = Instant::now();
        }
        let sent = SentRequest { id, vm, path, length, safe, version, at, end, outcome };
        self.log.sent.lock().unwrap().push(sent);
    }
}

/// Reads a body; a slow caller pauses after each part.
async fn read_body(mut answer: Response, slow: bool) -> reqwest::Result<String> {
    let mut body = Vec::new();
    while let Some(part) = answer.chunk().await? {
        body.extend_from_slice(&part);
        if slow {
            sleep(READING_TIME.mul_f64(part.len() as f64 / LARGE as f64)).await;
        }
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Runs the callers until the log is ended.
pub(crate) async fn run_callers(fleet: &Arc<Fleet>, log: &Arc<CallLog>, seed: u64) {
    let mut tasks = Vec::new();
    for number in 0..CALLERS + SLOW_CALLERS {
        let mut caller = Caller {
            fleet: Arc::clone(fleet),
            log: Arc::clone(log),
            client: Client::builder().no_proxy().build().unwrap(),
            rng: ChaCha8Rng::seed_from_u64(seed * 1_000 + number),
            slow: CALLERS <= number,
            lookup: Lookup::default(),
        };
        tasks.push(tokio::spawn(async move {
            while !caller.log.has_ended() {
                caller.call().await;
                sleep(CALL_PAUSE).await;
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
}
