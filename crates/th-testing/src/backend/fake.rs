//! A fake backend server with slots, a service time and a load report.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::{Result, eyre};
use salvo::{
    conn::tcp::TcpAcceptor,
    http::{ResBody, StatusCode},
    prelude::*,
    server::ServerHandle,
};
use th_platform::{BootClock, Clock};
use th_protocol::{LoadReport, Millis, Slots, header};
use tokio::{net::TcpListener, sync::Notify, time::sleep};

use super::{Run, RunLog};
use crate::listen::listen;

/// The header with the name of a request, which the answer repeats.
pub const REQUEST_HEADER: &str = "x-request";

/// The behaviour of a fake backend server, which tests can change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Behaviour {
    /// Service time of a request.
    pub service_time: Millis,
    /// Least size of an answer's body in bytes.
    pub answer_size: usize,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// Whether it sheds every request.
    pub shed: bool,
    /// Whether its health endpoint reports success.
    pub healthy: bool,
    /// Whether its load report always shows no busy slots.
    pub reports_idle: bool,
    /// Whether its connections break half way through the answer.
    pub truncated: bool,
    /// Whether its answers carry the id of another attempt.
    pub wrong_attempt: bool,
    /// Whether it runs requests but never answers.
    pub unresponsive: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            service_time: Millis(5),
            answer_size: 0,
            leaving: false,
            shed: false,
            healthy: true,
            reports_idle: false,
            truncated: false,
            wrong_attempt: false,
            unresponsive: false,
        }
    }
}

/// Settings of a fake backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Its name.
    pub name: String,
    /// The address to listen at; port 0 takes any free port.
    pub address: SocketAddr,
    /// Limit on the requests that run at the same time.
    pub slots: Slots,
    /// Its initial behaviour.
    pub behaviour: Behaviour,
    /// The log that it records its runs in.
    pub run_log: RunLog,
}

impl Default for BackendSettings {
    fn default() -> BackendSettings {
        BackendSettings {
            name: "backend".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: Slots(4),
            behaviour: Behaviour::default(),
            run_log: RunLog::default(),
        }
    }
}

struct Shared {
    name: String,
    slots: u32,
    busy: AtomicU32,
    probes: AtomicU64,
    behaviour: Mutex<Behaviour>,
    run_log: RunLog,
    run_started: Notify,
}

/// A running fake backend server.
pub struct FakeBackend {
    /// The address that it listens at.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    handle: ServerHandle,
}

impl FakeBackend {
    /// Starts the server.
    pub async fn start(settings: BackendSettings) -> Result<FakeBackend> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            name: settings.name,
            slots: settings.slots.0,
            busy: AtomicU32::new(0),
            probes: AtomicU64::new(0),
            behaviour: Mutex::new(settings.behaviour),
            run_log: settings.run_log,
            run_started: Notify::new(),
        });
        let router = Router::with_hoop(affix_state::inject(Arc::clone(&shared)))
            .push(Router::with_path("load").get(load))
            .push(Router::with_path("health").get(health))
            .push(Router::with_path("{**path}").goal(run));
        let handle = listen(TcpAcceptor::try_from(listener)?, router);
        Ok(FakeBackend { address, shared, handle })
    }

    /// Changes the server's behaviour.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.lock());
    }

    /// Returns the number of requests that are running.
    pub fn busy(&self) -> u32 {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// Returns the number of calls of the load and health endpoints so far.
    pub fn probes(&self) -> u64 {
        self.shared.probes.load(Ordering::SeqCst)
    }

    /// Waits until the next request begins to run.
    pub async fn wait_for_run(&self) {
        self.shared.run_started.notified().await;
    }

    /// Stops the server and closes every connection.
    pub fn stop(&self) {
        self.handle.stop_forcible();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().expect("no holder of this lock panics")
    }
}

/// A slot in use, released when dropped.
struct Slot(Arc<Shared>);

impl Slot {
    fn take(shared: &Arc<Shared>) -> Option<Slot> {
        let busy = shared.busy.fetch_add(1, Ordering::SeqCst);
        let slot = Slot(Arc::clone(shared));
        (busy < shared.slots).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

fn shared(depot: &Depot) -> Result<Arc<Shared>> {
    let shared = depot.obtain::<Arc<Shared>>();
    shared
        .cloned()
        .map_err(|_| eyre!("the request carries no server state, which the router injects"))
}

#[handler]
async fn load(depot: &mut Depot, res: &mut Response) -> Result<()> {
    let shared = shared(depot)?;
    shared.probes.fetch_add(1, Ordering::SeqCst);
    let behaviour = shared.lock().clone();
    let busy = if behaviour.reports_idle { 0 } else { shared.busy.load(Ordering::SeqCst) };
    let slots = Slots(shared.slots);
    res.render(Json(LoadReport { busy: Slots(busy), slots, leaving: behaviour.leaving }));
    Ok(())
}

#[handler]
async fn health(depot: &mut Depot, res: &mut Response) -> Result<()> {
    let shared = shared(depot)?;
    shared.probes.fetch_add(1, Ordering::SeqCst);
    if !shared.lock().healthy {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(())
}

#[handler]
async fn run(req: &mut Request, depot: &mut Depot, res: &mut Response) -> Result<()> {
    let shared = shared(depot)?;
    let behaviour = shared.lock().clone();
    let request: String = req.header(REQUEST_HEADER).unwrap_or_default();
    let attempt: u64 = req.header(header::ATTEMPT).unwrap_or_default();
    let sent = req.payload_with_max_size(16 << 20).await?.len();
    if behaviour.leaving {
        res.add_header(header::LEAVING, "1", true)?;
    }
    let echoed = if behaviour.wrong_attempt { attempt + 1 } else { attempt };
    res.add_header(header::ATTEMPT, echoed.to_string(), true)?;
    let slot = Slot::take(&shared);
    if slot.is_none() {
        shared.run_log.add_overrun();
    }
    if behaviour.shed || slot.is_none() {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        res.add_header(header::SHED, "1", true)?;
        res.add_header("retry-after", "1", true)?;
        return Ok(());
    }
    let number = record_start(&shared, &request, req.uri().path());
    sleep(Duration::from_millis(behaviour.service_time.0)).await;
    if behaviour.unresponsive {
        std::future::pending::<()>().await;
    }
    shared.run_log.end(number, BootClock.now());
    res.add_header(REQUEST_HEADER, request.clone(), true)?;
    let mut body = format!("{request} ran at {} with {sent} bytes\n", shared.name);
    while body.len() < behaviour.answer_size {
        body.push('.');
    }
    if behaviour.truncated {
        let half = body[..body.len() / 2].to_owned();
        let chunks = vec![Ok(half), Err(std::io::Error::other("cut"))];
        res.body(ResBody::stream(futures_util::stream::iter(chunks)));
    } else {
        res.body(body);
    }
    Ok(())
}

fn record_start(shared: &Shared, request: &str, path: &str) -> usize {
    let operation = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let number = shared.run_log.begin(Run {
        request: request.to_owned(),
        operation: operation.to_owned(),
        server: shared.name.clone(),
        began: BootClock.now(),
        ended: None,
    });
    shared.run_started.notify_waiters();
    number
}
