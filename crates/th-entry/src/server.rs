//! Starts and stops the process: its listeners and its tasks.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime},
};

use eyre::{Result, WrapErr};
use rand::Rng;
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
    listen::Listener,
    peer,
    settings::Settings,
    task::{perform, poll_vms, run_ticks, watch_store},
};

/// Number of random low bits of an incarnation, so that two starts within the same millisecond differ.
const INCARNATION_RANDOM_BITS: u32 = 10;

/// Time-out for a listener to answer what has arrived.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a stop that has reached its time limit, which only rejects what has not been read.
const LIMIT_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A running entry process.
pub struct Running {
    entry: Arc<Entry>,
    addresses: Addresses,
    listeners: Vec<Listener>,
    tasks: Vec<JoinHandle<()>>,
}

/// Handle to the number of requests in flight of an entry process.
pub struct RequestCount(Arc<Entry>);

impl RequestCount {
    /// Returns the present number.
    pub fn now(&self) -> u32 {
        self.0.in_flight.count()
    }
}

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped {
    /// Number of requests that were cut off because the stop reached its time limit.
    pub cut: u32,
}

/// Starts an entry process that uses `store`.
pub async fn start(settings: Settings, store: Arc<dyn Platform>) -> Result<Running> {
    start_with(settings, EngineSettings::default(), store).await
}

/// Starts an entry process that uses `store`, with the given settings of the steering engine.
pub async fn start_with(
    settings: Settings,
    engine_settings: EngineSettings,
    store: Arc<dyn Platform>,
) -> Result<Running> {
    let callers = bind(settings.listen.callers).await?;
    let peers = bind(settings.listen.peers).await?;
    let addresses = Addresses { callers: callers.local_addr()?, peers: peers.local_addr()? };
    let limits = settings.limits;
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let store = CountedPlatform::new(store, settings.pace.call);
    let start_info = start_info(clock.now());
    let entry = Entry::new(settings, engine_settings, store, clock, addresses, start_info);
    let entry = Arc::new(entry);
    let listeners = vec![
        Listener::start(callers, caller::router(&entry), limits)?,
        Listener::start(peers, peer::router(&entry), limits)?,
    ];
    let tasks = vec![
        tokio::spawn(run_ticks(Arc::clone(&entry))),
        tokio::spawn(poll_vms(Arc::clone(&entry))),
        tokio::spawn(watch_store(Arc::clone(&entry))),
        tokio::spawn(contact_peers(Arc::clone(&entry))),
    ];
    log::info!(target: "entry", "Listening for callers at {}, for peers at {}.", addresses.callers, addresses.peers);
    Ok(Running { entry, addresses, listeners, tasks })
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening at {address}"))
}

/// Returns the values that differ between two starts.
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

/// Sends a heartbeat to each peer of the settings, and fetches the peer records from the first that returns them.
async fn contact_peers(entry: Arc<Entry>) {
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
                log::debug!(target: "peer", "The first heartbeat to a peer failed: {error}.");
                continue;
            }
        }
        entry.tick_now.notify_one();
        if !has_records {
            has_records = fetch_records(&entry, address).await;
        }
    }
}

/// Fetches the records of all entry VMs that a peer knows; `false` if the request failed.
async fn fetch_records(entry: &Entry, address: SocketAddr) -> bool {
    let answer =
        peer::client::call::<_, Vec<PeerRecord>>(entry, peer::Route::Records, address, &());
    match answer.await {
        Ok(records) => {
            entry.with_engine(|engine, now| engine.on_records(&records, now));
            true
        }
        Err(error) => {
            log::debug!(target: "peer", "Fetching records from a peer failed: {error}.");
            false
        }
    }
}

impl Running {
    /// Returns the address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address of the listener for other entry VMs.
    pub fn peers(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Returns a handle to the number of requests in flight, which remains valid after a stop.
    pub fn in_flight(&self) -> RequestCount {
        RequestCount(Arc::clone(&self.entry))
    }

    /// Returns the status that `GET /v1/status` reports.
    pub fn status(&self) -> Status {
        caller::status_of(&self.entry)
    }

    /// Ends the process's tasks and connections immediately, as a loss of the VM would.
    pub fn kill(self) {
        for listener in &self.listeners {
            listener.kill();
        }
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Stops in steps that cut no request within the time limit: removes this VM from look-up answers, then rejects new
    /// requests, then waits for those in flight.
    pub async fn stop(self) -> Stopped {
        let stop = self.entry.settings.stop;
        log::info!(target: "stop", "Removing this VM from look-up answers.");
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
        if is_idle {
            self.release_shards().await;
            // Callers may use cached look-up answers until these expire. Until then this VM stays reachable and tells
            // them to look up another entry VM. Other entry VMs may have returned this VM's address until they were
            // notified that it leaves, which the linger time allows for.
            let lookup_ttl_left =
                ttl.plus(stop.linger).min(stop.limit).minus(entry.now().since(began));
            sleep(Duration::from_millis(lookup_ttl_left.0)).await;
        }
        let cut = self.close(if is_idle { CLOSE_TIMEOUT } else { LIMIT_CLOSE_TIMEOUT }).await;
        log::info!(target: "stop", "Stopped; {cut} requests were cut.");
        Stopped { cut }
    }

    /// Releases the shards, so that their next owners need not wait.
    async fn release_shards(&self) {
        for action in self.entry.with_engine(|engine, _| engine.release_shards()) {
            perform(Arc::clone(&self.entry), th_steer::engine::Action::Shard(action)).await;
        }
    }

    /// Ends the tasks, and closes each listener within `limit`. Returns the number of requests that are cut.
    async fn close(mut self, limit: Duration) -> u32 {
        for task in &self.tasks {
            task.abort();
        }
        for listener in &mut self.listeners {
            listener.close(limit).await;
        }
        let cut = self.entry.in_flight.count();
        for listener in self.listeners {
            listener.cut().await;
        }
        cut
    }
}
