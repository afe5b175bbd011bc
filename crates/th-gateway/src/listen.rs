//! Listeners and the connections that they accept.

use std::{
    convert::Infallible,
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    task::Poll,
    time::Duration,
};

use futures_util::poll;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use th_protocol::{Millis, Time};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
};
use tokio_util::sync::CancellationToken;

use crate::{
    body::AnswerBody,
    core::Core,
    memory::Reservation,
    pipeline::{Pipeline, PipelinedStream, StartAhead},
};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time that a caller has for its first request on a new connection, and for the rest of a request whose head has come in
/// part, while a planned stop closes idle connections; as long as callers wait for a connection.
const REQUEST_WAIT: Millis = Millis(1_000);
/// Factor between the idle time-out stated to callers and the one enforced here, so that callers close idle connections
/// first.
const IDLE_FACTOR: u64 = 2;
/// Minimum size of the buffer for a request head, in bytes.
const MIN_HEAD_BUFFER: usize = 16 << 10;

/// The address of a request's sender.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerAddress(pub(crate) IpAddr);

/// Answers a request.
pub(crate) type Serve = Rc<dyn Fn(Request<Incoming>) -> HandlerFuture>;

/// Handles the requests of a listener.
#[derive(Clone)]
pub(crate) struct Handler {
    /// Who sends the requests, for the log.
    pub(crate) users: &'static str,
    pub(crate) serve: Serve,
    /// Starts pipelined requests ahead of their turn.
    pub(crate) ahead: Option<StartAhead>,
}

/// Future of a handler's answer.
pub(crate) type HandlerFuture =
    std::pin::Pin<Box<dyn Future<Output = Result<Response<AnswerBody>, Infallible>>>>;

/// A caller's connection, counted as open until this is dropped.
struct OpenConnection {
    core: Rc<Core>,
    opened: Time,
}

impl OpenConnection {
    fn new(core: &Rc<Core>) -> OpenConnection {
        core.connections.set(core.connections.get() + 1);
        OpenConnection { core: Rc::clone(core), opened: core.now() }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.core.connections.set(self.core.connections.get() - 1);
    }
}

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

/// Accepts connections until the port is to be closed, those that have arrived by then included.
pub(crate) async fn accept(
    core: Rc<Core>,
    listener: TcpListener,
    handler: Handler,
    closing: CancellationToken,
) {
    let users = handler.users;
    let serve = |stream, address: SocketAddr| {
        let caller = CallerAddress(address.ip());
        let open = OpenConnection::new(&core);
        spawn_local(handle_connection(open, stream, caller, handler.clone()));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, address)) => serve(stream, address),
            Err(error) => {
                log::warn!(target: "entry", "Accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // The system resets the connections in the queue of a closed port, and knows of some that have not been reported yet.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "stop", "Accepting the connections that wait at a port failed: {error}");
            return;
        }
    };
    let mut queued = 0;
    loop {
        match accept_queued(&listener) {
            Ok(Some((stream, address))) => {
                serve(stream, address);
                queued += 1;
            }
            Ok(None) => break,
            Err(error) => {
                log::warn!(target: "stop", "Accepting a connection that waits at a port failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    log::info!(target: "stop", "queued={queued} Closed the port for {users}.");
}

/// Accepts a connection that waits at the port; `None` if there is none.
fn accept_queued(
    listener: &std::net::TcpListener,
) -> std::io::Result<Option<(TcpStream, SocketAddr)>> {
    match listener.accept() {
        Ok((stream, address)) => {
            stream.set_nonblocking(true)?;
            Ok(Some((TcpStream::from_std(stream)?, address)))
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Returns the answer to the next request of a connection, which may already run.
async fn answer_in_turn(
    core: Rc<Core>,
    pipeline: Rc<Pipeline>,
    serve: Serve,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let answer = match pipeline.receive() {
        Some(answer) => answer.await,
        None => None,
    };
    let mut answer = match answer {
        Some(answer) => answer,
        None => serve(request).await?,
    };
    // Requests behind a closing answer would be lost, so those that already run are answered first.
    if core.is_stopping() && !pipeline.has_ahead() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    pipeline.on_answered();
    Ok(answer)
}

async fn handle_connection(
    open: OpenConnection,
    stream: TcpStream,
    caller: CallerAddress,
    handler: Handler,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "entry", "Setting TCP_NODELAY failed: {error}");
    }
    let core = Rc::clone(&open.core);
    let _memory = Reservation::connection(&core.memory);
    let limits = core.dispatcher.borrow().routes().map(|it| it.limits()).unwrap_or_default();
    let idle = Duration::from_millis(limits.idle.plus(limits.send).0.saturating_mul(IDLE_FACTOR));
    let max_head = (limits.head.0 as usize).saturating_mul(2).max(MIN_HEAD_BUFFER);
    let depth = core.settings.pipeline_depth;
    let ahead = handler.ahead.map(|ahead| -> StartAhead {
        Rc::new(move |mut request| {
            request.extensions_mut().insert(caller);
            ahead(request)
        })
    });
    let pipeline = Rc::new(Pipeline::new(ahead, depth, max_head, &core.memory));
    // The rest of a body is not longer.
    let max_discarded = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    let total = &core.metrics.discarded;
    let stream = PipelinedStream::new(stream, Rc::clone(&pipeline), idle, max_discarded, total);
    let shared = (Rc::clone(&core), Rc::clone(&pipeline));
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        let (core, pipeline) = shared.clone();
        answer_in_turn(core, pipeline, Rc::clone(&handler.serve), request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(max_head)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A planned stop notifies repeatedly, until all that has arrived is answered.
    let mut noticed = None;
    let ended = loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => break ended,
            () = core.closing.notified() => {}
        }
        pipeline.check_socket();
        if let Poll::Ready(ended) = poll!(connection.as_mut()) {
            break ended;
        }
        let now = core.now();
        let noticed = *noticed.get_or_insert(now);
        let is_new = pipeline.is_unused() && now < open.opened.after(REQUEST_WAIT);
        let is_arriving = pipeline.has_unread() && now < noticed.after(REQUEST_WAIT);
        if !is_new && !is_arriving && !pipeline.has_ahead() {
            connection.as_mut().graceful_shutdown();
            break connection.await;
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "entry", "A caller's connection ended: {error}");
    }
}
