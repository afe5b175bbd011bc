//! Listeners and the connections that they accept.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
};

use crate::core::Core;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Factor between the idle time-out stated to callers and the one enforced here, so that callers close idle connections
/// first.
const IDLE_FACTOR: u64 = 2;

/// Handles the requests of a listener.
pub(crate) type Handler = Rc<dyn Fn(Request<Incoming>) -> HandlerFuture>;
/// Future of a handler's answer.
pub(crate) type HandlerFuture =
    std::pin::Pin<Box<dyn Future<Output = Result<Response<Full<Bytes>>, Infallible>>>>;

/// Opens a listener whose address can be reused as soon as the process has ended.
pub(crate) fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the task is aborted.
pub(crate) async fn accept(core: Rc<Core>, listener: TcpListener, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(handle_connection(Rc::clone(&core), stream, Rc::clone(&handler)));
            }
            Err(error) => {
                log::warn!(target: "entry", "Accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_connection(core: Rc<Core>, stream: TcpStream, handler: Handler) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "entry", "Setting TCP_NODELAY failed: {error}");
    }
    core.connections.set(core.connections.get() + 1);
    let limits = core.dispatcher.borrow().routes().map(|it| it.limits()).unwrap_or_default();
    let service = service_fn(move |request| handler(request));
    let idle = Duration::from_millis(limits.idle.plus(limits.send).0 * IDLE_FACTOR);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size((limits.head.0 as usize * 2).max(16 << 10))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = core.closing.notified();
    tokio::pin!(closing);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    core.connections.set(core.connections.get() - 1);
    if let Err(error) = ended {
        log::debug!(target: "entry", "A caller's connection ended: {error}");
    }
}
