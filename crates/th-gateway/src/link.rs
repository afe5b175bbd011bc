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
pub(crate) type Result<T, E = LinkError> = std::result::Result<T, E>;

/// Why there is no connection to a backend server.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    #[error("connecting to {0}: no answer in time")]
    Timeout(SocketAddr),
    #[error("connecting to {0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    #[error("connecting to {0}: {1}")]
    Handshake(SocketAddr, hyper::Error),
}

/// One connection to a backend server, closed when it is dropped.
pub(crate) struct Link {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) address: SocketAddr,
    /// When the server is taken to close it.
    pub(crate) until: Time,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    pub(crate) async fn open(address: SocketAddr, within: Millis) -> Result<Link> {
        let connecting = timeout(Duration::from_millis(within.0), TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| LinkError::Timeout(address))?;
        let stream = stream.map_err(|it| LinkError::Connect(address, it))?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "backend", "address={address} Setting TCP_NODELAY failed: {error}");
        }
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, driver) = shaken.map_err(|it| LinkError::Handshake(address, it))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!(target: "backend", "address={address} The connection ended: {error}");
            }
        });
        Ok(Link { sender, address, until: Time::ZERO, driver: task.abort_handle() })
    }
}

/// Idle connections, by backend server.
#[derive(Default)]
pub(crate) struct Pool {
    idle: BTreeMap<BackendId, Vec<Link>>,
}

impl Pool {
    /// The connection used last that is still good.
    pub(crate) fn take(
        &mut self,
        backend: &BackendId,
        address: SocketAddr,
        now: Time,
    ) -> Option<Link> {
        let links = self.idle.get_mut(backend)?;
        while let Some(link) = links.pop() {
            let good = link.address == address && now < link.until;
            if good && link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    pub(crate) fn put(&mut self, backend: &BackendId, link: Link) {
        self.idle.entry(backend.clone()).or_default().push(link);
    }

    pub(crate) fn forget(&mut self, backend: &BackendId) {
        self.idle.remove(backend);
    }

    /// Closes what will not be used again.
    pub(crate) fn sweep(&mut self, now: Time) {
        for links in self.idle.values_mut() {
            links.retain(|it| now < it.until && !it.sender.is_closed());
        }
        self.idle.retain(|_, links| !links.is_empty());
    }
}
