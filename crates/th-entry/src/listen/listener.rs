//! A listener and its connections.

use std::{
    future::pending,
    io::{self, ErrorKind},
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    task::Poll,
    time::Duration,
};

use futures_util::poll;
use http::uri::Scheme;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use salvo::{Router, Service};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};

use super::{stream::CallerStream, unanswered::Unanswered};
use crate::settings::Limits;

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a connection that is to be closed is checked for requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running listener.
pub(crate) struct Listener {
    closing: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Serves `router` at the address of `listener`.
    pub(crate) fn start(
        listener: TcpListener,
        router: Router,
        limits: Limits,
    ) -> io::Result<Listener> {
        let address = listener.local_addr()?;
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(limits.head.0 as usize)
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.slow.0));
        let (closing, receiver) = watch::channel(false);
        let service = Service::new(router);
        let server = Server { address, service, builder, closing: receiver };
        Ok(Listener { closing, task: tokio::spawn(run(listener, Arc::new(server))) })
    }

    /// Closes the port and the connections at once.
    pub(crate) fn kill(&self) {
        self.task.abort();
    }

    /// Closes the port, and the connections once what has arrived is answered. Waits for that at most for `limit`.
    pub(crate) async fn close(&mut self, limit: Duration) {
        self.closing.send_replace(true);
        if timeout(limit, &mut self.task).await.is_err() {
            log::warn!(target: "stop", "A listener has not answered all that had arrived within {limit:?}; its connections are cut.");
        }
    }

    /// Closes the connections that are left.
    pub(crate) async fn cut(self) {
        if !self.task.is_finished() {
            self.task.abort();
            // The error says that the task was aborted.
            let _ = self.task.await;
        }
    }
}

/// What the connections of a listener share.
struct Server {
    address: SocketAddr,
    service: Service,
    builder: http1::Builder,
    closing: watch::Receiver<bool>,
}

impl Server {
    /// Waits until the listener is to close.
    async fn closing(&self) {
        let mut closing = self.closing.clone();
        while !*closing.borrow_and_update() {
            if closing.changed().await.is_err() {
                // Nobody can stop the listener any more.
                pending::<()>().await;
            }
        }
    }
}

/// Accepts connections until the listener is to close, those that have arrived by then included; then waits until all
/// have ended.
async fn run(listener: TcpListener, server: Arc<Server>) {
    let mut connections = JoinSet::new();
    let mut closing = pin!(server.closing());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = &mut closing => break,
        };
        match accepted {
            Ok((stream, address)) => {
                connections.spawn(serve(Arc::clone(&server), stream, address));
            }
            Err(error) => {
                log::warn!(target: "entry", "Accepting a connection at {} failed: {error}.", server.address);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // The system resets the connections in the queue of a closed port, and knows of some that have not been reported yet.
    let queued = match listener.into_std() {
        Ok(listener) => {
            let serve = |stream, address| {
                connections.spawn(serve(Arc::clone(&server), stream, address));
            };
            accept_queued(&listener, server.address, serve).await
        }
        Err(error) => {
            log::error!(target: "stop", "Accepting the connections that wait at {} failed: {error}.", server.address);
            0
        }
    };
    log::info!(target: "stop", "Closed the port {}, where {queued} connections waited.", server.address);
    while connections.join_next().await.is_some() {}
}

/// Hands over the connections that wait at a port. Returns their number.
async fn accept_queued(
    listener: &std::net::TcpListener,
    address: SocketAddr,
    mut serve: impl FnMut(TcpStream, SocketAddr),
) -> u32 {
    let mut queued = 0;
    loop {
        match try_accept(listener) {
            Ok(Some((stream, caller))) => {
                serve(stream, caller);
                queued += 1;
            }
            Ok(None) => return queued,
            Err(error) => {
                log::warn!(target: "stop", "Accepting a connection that waits at {address} failed: {error}.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts a connection that waits; `None` if there is none.
fn try_accept(listener: &std::net::TcpListener) -> io::Result<Option<(TcpStream, SocketAddr)>> {
    match listener.accept() {
        Ok((stream, address)) => {
            stream.set_nonblocking(true)?;
            Ok(Some((TcpStream::from_std(stream)?, address)))
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Serves a connection. Once the listener is to close, the connection is closed as soon as all that has arrived is
/// answered.
async fn serve(server: Arc<Server>, stream: TcpStream, address: SocketAddr) {
    let unanswered = Arc::new(Unanswered::new());
    let stream = CallerStream::new(stream, Arc::clone(&unanswered));
    let (local, remote) = (server.address.into(), address.into());
    let handler = server.service.hyper_handler(local, remote, Scheme::HTTP, None, None);
    let mut connection = pin!(server.builder.serve_connection(TokioIo::new(stream), handler));
    let mut wait = pin!(server.closing());
    let ended = tokio::select! {
        biased;
        ended = &mut connection => Some(ended),
        () = &mut wait => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => loop {
            unanswered.check_socket();
            if let Poll::Ready(ended) = poll!(&mut connection) {
                break ended;
            }
            if unanswered.may_close() {
                connection.as_mut().graceful_shutdown();
                break connection.await;
            }
            if let Ok(ended) = timeout(CHECK_INTERVAL, &mut connection).await {
                break ended;
            }
        },
    };
    if let Err(error) = ended {
        log::debug!(target: "entry", "The connection of {address} ended: {error}.");
    }
}
