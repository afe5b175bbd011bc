//! Connections to backend servers.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{SendRequest, handshake},
    },
};
use hyper_util::rt::TokioIo;
use prometheus::IntCounter;
use th_protocol::{Millis, Time};
use thiserror::Error;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{
    core::Core,
    memory::{MemoryPool, Reservation},
};

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

/// A connection to a backend server or another entry VM; closed on drop.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) address: SocketAddr,
    /// Time from which it is not used again, since the server may close it.
    pub(crate) expires: Time,
    /// Number of requests sent.
    requests: u64,
    driver: AbortHandle,
    _memory: Reservation,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Millis,
        memory: &Rc<MemoryPool>,
    ) -> Result<Connection> {
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
        let (driver, memory) = (task.abort_handle(), Reservation::connection(memory));
        Ok(Connection {
            sender,
            address,
            expires: Time::ZERO,
            requests: 0,
            driver,
            _memory: memory,
        })
    }

    /// Whether only one request has been sent.
    pub(crate) fn is_first(&self) -> bool {
        self.requests == 1
    }

    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.requests += 1;
        self.sender.try_send_request(request).await
    }
}

/// Reason why a request got no answer.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// No connection could be opened.
    #[error("{0}")]
    Connect(#[from] ConnectError),
    /// The connection failed before the request was sent.
    #[error("{0}")]
    Unsent(hyper::Error),
    /// The connection failed after that.
    #[error("{0}")]
    Broken(hyper::Error),
}

impl SendError {
    /// Whether nothing of the request was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        !matches!(self, SendError::Broken(_))
    }
}

/// Idle connections, by the server or entry VM at their other end.
pub(crate) struct Pool<K> {
    idle: BTreeMap<K, Vec<Connection>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Pool<K> {
        Pool { idle: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Pool<K> {
    /// Removes and returns the most recently used connection that is still usable.
    pub(crate) fn take(&mut self, key: &K, address: SocketAddr, now: Time) -> Option<Connection> {
        let connections = self.idle.get_mut(key)?;
        while let Some(connection) = connections.pop() {
            let usable = connection.address == address && now < connection.expires;
            if usable && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn put(&mut self, key: &K, connection: Connection) {
        self.idle.entry(key.clone()).or_default().push(connection);
    }

    pub(crate) fn remove(&mut self, key: &K) {
        self.idle.remove(key);
    }

    /// Closes all connections.
    pub(crate) fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes expired connections and those that the other side closed.
    pub(crate) fn sweep(&mut self, now: Time) {
        for connections in self.idle.values_mut() {
            connections.retain(|it| now < it.expires && !it.sender.is_closed());
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Sends a request over an idle connection, or over a new one if there is none or if it closed before the request was
/// sent; `opened` counts the latter. Returns the head of the answer, and the connection for its body.
pub(crate) async fn send_pooled<K: Ord + Clone>(
    core: &Core,
    pool: &RefCell<Pool<K>>,
    key: &K,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    opened: &IntCounter,
) -> Result<(Response<Incoming>, Connection), SendError> {
    let pooled = pool.borrow_mut().take(key, address, core.now());
    if let Some(mut connection) = pooled {
        match connection.send(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(SendError::Broken(error.into_error())),
            },
        }
    }
    let mut connection =
        Connection::open(address, core.settings.connect_timeout, &core.memory).await?;
    opened.inc();
    match connection.send(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => Err(match error.take_message() {
            Some(_) => SendError::Unsent(error.into_error()),
            None => SendError::Broken(error.into_error()),
        }),
    }
}
