//! HTTP clients, with one connection pool for the newest generation of each backend server.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use reqwest::Client;
use th_protocol::{BackendId, Millis};
use th_steer::backend::Generation;

/// Time-outs of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClientSettings {
    /// Time-out for opening a connection.
    pub(crate) connect_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub(crate) idle_timeout: Millis,
}

impl Default for ClientSettings {
    fn default() -> ClientSettings {
        ClientSettings { connect_timeout: Millis(500), idle_timeout: Millis(2_000) }
    }
}

/// Creates a client with its own connection pool.
pub(crate) fn client(settings: ClientSettings) -> Client {
    Client::builder()
        .http1_only()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_millis(settings.connect_timeout.0))
        .pool_idle_timeout(Duration::from_millis(settings.idle_timeout.0))
        .tcp_nodelay(true)
        .build()
        .expect("building a client without TLS does not fail")
}

/// The clients of backend servers, each with the generation of connections that it is for.
#[derive(Default)]
pub(crate) struct Clients {
    settings: ClientSettings,
    pools: Mutex<BTreeMap<BackendId, (Generation, Client)>>,
}

impl Clients {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<BackendId, (Generation, Client)>> {
        self.pools.lock().expect("no holder of this lock panics")
    }

    /// Returns the client of that generation. The first call with a newer generation retires the older pool: its
    /// requests continue, and its idle connections are closed. An older generation gets a client that is not retained.
    pub(crate) fn get(&self, backend: &BackendId, generation: Generation) -> Client {
        let mut pools = self.lock();
        if let Some((held, client)) = pools.get(backend)
            && *held == generation
        {
            return client.clone();
        }
        let fresh = client(self.settings);
        let newer = pools.get(backend).is_none_or(|(held, _)| *held < generation);
        if newer {
            pools.insert(backend.clone(), (generation, fresh.clone()));
        }
        fresh
    }
}
