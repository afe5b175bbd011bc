//! The process: its listeners, its tasks, and its stop.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime},
};

use eyre::{Result, WrapErr};
use hyper_util::rt::TokioTimer;
use rand::Rng;
use salvo::{Router, Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use th_platform::{BootClock, Clock, CountedPlatform, Platform};
use th_protocol::{Incarnation, PeerRecord, Status, Time};
use th_steer::engine::EngineSettings;
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    caller,
    entry::{Addresses, Entry, StartInfo},
    peer,
    settings::Settings,
    task::{perform, poll_vms, run_ticks, watch_store},
};

/// Bits of an incarnation that are drawn at random, so that two starts within a millisecond differ.
const INCARNATION_RANDOM_BITS: u32 = 10;

/// A running entry process.
pub struct Running {
    entry: Arc<Entry>,
    addresses: Addresses,
    listeners: Vec<Listener>,
    tasks: Vec<JoinHandle<()>>,
}

struct Listener {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// The requests in flight of an entry process.
pub struct RequestCount(Arc<Entry>);

impl RequestCount {
    /// How many there are now.
    pub fn now(&self) -> u32 {
        self.0.in_flight.count()
    }
}

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were cut.
    pub cut: u32,
}

/// Starts an entry process that uses `store`.
pub async fn start(settings: Settings, store: Arc<dyn Platform>) -> Result<Running> {
    start_with(settings, EngineSettings::default(), store).await
}

/// The same with settings of the decisions of its own.
pub async fn start_with(
    settings: Settings,
    engine_settings: EngineSettings,
    store: Arc<dyn Platform>,
) -> Result<Running> {
    let callers = bind(settings.listen.callers).await?;
    let peers = bind(settings.listen.peers).await?;
    let addresses = Addresses { callers: callers.local_addr()?, peers: peers.local_addr()? };
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let store = CountedPlatform::new(store, settings.pace.call);
    let start_info = start_info(clock.now());
    let entry = Entry::new(settings, engine_settings, store, clock, addresses, start_info);
    let entry = Arc::new(entry);
    let listeners = vec![
        serve(callers, caller::router(&entry), &entry)?,
        serve(peers, peer::router(&entry), &entry)?,
    ];
    let tasks = vec![
        tokio::spawn(run_ticks(Arc::clone(&entry))),
        tokio::spawn(poll_vms(Arc::clone(&entry))),
        tokio::spawn(watch_store(Arc::clone(&entry))),
        tokio::spawn(contact_seeds(Arc::clone(&entry))),
    ];
    log::info!(target: "entry", "Listening for callers at {}, for peers at {}.", addresses.callers, addresses.peers);
    Ok(Running { entry, addresses, listeners, tasks })
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening at {address}"))
}

/// What differs between two starts.
fn start_info(now: Time) -> StartInfo {
    let mut rng = rand::rng();
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let wall = wall.as_millis() as u64;
    let low: u64 = rng.random_range(0..1 << INCARNATION_RANDOM_BITS);
    StartInfo {
        incarnation: Incarnation((wall << INCARNATION_RANDOM_BITS) | low),
        origin: Time(wall.saturating_sub(now.0)),
        seed: rng.random(),
    }
}

fn serve(listener: TcpListener, router: Router, entry: &Entry) -> Result<Listener> {
    let mut server = Server::new(TcpAcceptor::try_from(listener)?);
    let limits = entry.settings.limits;
    server
        .http1_mut()
        .max_buf_size(limits.head.0 as usize)
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.slow.0));
    let handle = server.handle();
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(router).await {
            log::error!(target: "entry", "A listener failed: {error}.");
        }
    });
    Ok(Listener { handle, task })
}

/// Makes the peers of the settings known, and takes the records of the first that answers.
async fn contact_seeds(entry: Arc<Entry>) {
    let mut has_records = false;
    for address in entry.settings.peers.clone() {
        if address == entry.with_engine(|engine, _| engine.me().peers) {
            continue;
        }
        let message = entry.with_engine(|engine, _| engine.first_heartbeat());
        let answer = peer::client::call::<_, th_protocol::Heartbeat>(
            &entry,
            peer::Route::Heartbeat,
            address,
            &message,
        );
        match answer.await {
            Ok(answer) => entry.with_engine(|engine, now| engine.on_answer(&answer, now)),
            Err(error) => {
                log::debug!(target: "peer", "No greeting: {error}.");
                continue;
            }
        }
        entry.tick_now.notify_one();
        if !has_records {
            has_records = fetch_records(&entry, address).await;
        }
    }
}

/// Takes the records that a peer has; `false` where it did not give them.
async fn fetch_records(entry: &Entry, address: SocketAddr) -> bool {
    let answer =
        peer::client::call::<_, Vec<PeerRecord>>(entry, peer::Route::Records, address, &());
    match answer.await {
        Ok(records) => {
            entry.with_engine(|engine, now| engine.on_records(&records, now));
            true
        }
        Err(error) => {
            log::debug!(target: "peer", "No records: {error}.");
            false
        }
    }
}

impl Running {
    /// Where it listens for callers.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Where it listens for other entry VMs.
    pub fn peers(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// A count of the requests in flight, which outlives this.
    pub fn in_flight(&self) -> RequestCount {
        RequestCount(Arc::clone(&self.entry))
    }

    /// What it says of itself.
    pub fn status(&self) -> Status {
        caller::status_of(&self.entry)
    }

    /// Ends at once, as if the VM were lost.
    pub fn kill(self) {
        for listener in &self.listeners {
            // The listener's task ends itself, and the connections with it.
            listener.handle.stop_forcible();
        }
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Stops without cutting a request: leaves look-ups, then takes nothing new, then finishes what it holds.
    pub async fn stop(self) -> Stopped {
        let stop = self.entry.settings.stop;
        log::info!(target: "stop", "Leaving look-ups.");
        let entry = &self.entry;
        let ttl = entry.with_engine(|engine, now| {
            engine.leave(now);
            engine.longest_ttl()
        });
        entry.tick_now.notify_one();
        let began = entry.now();
        sleep(Duration::from_millis(stop.linger.0)).await;
        log::info!(target: "stop", "Taking no new requests; {} are in flight.", entry.in_flight.count());
        entry.stopping.store(true, Ordering::SeqCst);
        entry.with_engine(|engine, _| engine.close());
        let time_left = Duration::from_millis((stop.limit - stop.linger).0);
        let is_idle = timeout(time_left, entry.in_flight.wait_idle()).await.is_ok();
        let cut = if is_idle { 0 } else { entry.in_flight.count() };
        if is_idle {
            self.release_shards().await;
            // Until their look-ups' answers have ended callers are told to look up another entry VM. Other entry VMs may
            // have given such answers until they heard that this one leaves, for which the linger time is meant.
            let lookup_ttl_left =
                ttl.plus(stop.linger).min(stop.limit).minus(entry.now().since(began));
            sleep(Duration::from_millis(lookup_ttl_left.0)).await;
        }
        self.close(is_idle).await;
        log::info!(target: "stop", "Stopped; {cut} requests were cut.");
        Stopped { cut }
    }

    /// Gives the shards back, so that a successor need not wait.
    async fn release_shards(&self) {
        for action in self.entry.with_engine(|engine, _| engine.release_shards()) {
            perform(Arc::clone(&self.entry), th_steer::engine::Action::Shard(action)).await;
        }
    }

    async fn close(self, is_graceful: bool) {
        for task in &self.tasks {
            task.abort();
        }
        for listener in self.listeners {
            match is_graceful {
                true => listener.handle.stop_graceful(CLOSE_TIMEOUT),
                false => listener.handle.stop_forcible(),
            }
            if timeout(CLOSE_TIMEOUT, listener.task).await.is_err() {
                log::warn!(target: "stop", "A listener did not close in time.");
            }
        }
    }
}

/// Longest time that the last answers' bytes may take to leave.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
