//! Connections to backend servers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use th_protocol::{BackendId, Millis, Time};
use thiserror::Error;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// The result of opening a connection.
pub(crate) type Result<T, E = ConnectError> = std::result::Result<T, E>;

/// Reason why a connection to a backend server or another entry VM could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The other side did not answer.
    #[error("connecting to {0}: no answer in time")]
    Timeout(SocketAddr),
    /// The other side rejected the connection.
    #[error("connecting to {0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    /// HTTP could not be set up on the connection.
    #[error("setting up HTTP with {0}: {1}")]
    Handshake(SocketAddr, hyper::Error),
}

/// A connection to a backend server; closed on drop.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) address: SocketAddr,
    /// Time from which it is not used again, since the server may close it.
    pub(crate) expires: Time,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr, limit: Millis) -> Result<Connection> {
        let connecting = timeout(Duration::from_millis(limit.0), TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| ConnectError::Timeout(address))?;
        let stream = stream.map_err(|it| ConnectError::Connect(address, it))?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "backend", "address={address} Setting TCP_NODELAY failed: {error}");
        }
        let result = handshake(TokioIo::new(stream)).await;
        let (sender, driver) = result.map_err(|it| ConnectError::Handshake(address, it))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!(target: "backend", "address={address} The connection ended: {error}");
            }
        });
        Ok(Connection { sender, address, expires: Time::ZERO, driver: task.abort_handle() })
    }
}

/// Idle connections, by backend server.
#[derive(Default)]
pub(crate) struct Pool {
    idle: BTreeMap<BackendId, Vec<Connection>>,
}

impl Pool {
    /// Removes and returns the most recently used connection that is still usable.
    pub(crate) fn take(
        &mut self,
        backend: &BackendId,
        address: SocketAddr,
        now: Time,
    ) -> Option<Connection> {
        let connections = self.idle.get_mut(backend)?;
        while let Some(connection) = connections.pop() {
            let usable = connection.address == address && now < connection.expires;
            if usable && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn put(&mut self, backend: &BackendId, connection: Connection) {
        self.idle.entry(backend.clone()).or_default().push(connection);
    }

    pub(crate) fn remove(&mut self, backend: &BackendId) {
        self.idle.remove(backend);
    }

    /// Closes expired connections and those that the server closed.
    pub(crate) fn sweep(&mut self, now: Time) {
        for connections in self.idle.values_mut() {
            connections.retain(|it| now < it.expires && !it.sender.is_closed());
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}
