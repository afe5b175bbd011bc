//! The stream between a caller's socket and the HTTP library.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::BytesMut;
use prometheus::IntCounter;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};
use tokio_util::io::poll_read_buf;

use super::connection::Pipeline;

/// Maximum number of bytes that are read behind the current request. Beyond it, reading pauses until that request is
/// answered.
const MAX_BUFFERED: usize = 64 << 10;
/// Number of bytes that are read at a time where none are kept, or where the socket is not reported as readable.
const PART: usize = 4 << 10;
/// Time without bytes of the caller after which a closed connection is not read on. Closing it with unread bytes would reset
/// it, which could cost the caller the last answer.
const LINGER: Duration = Duration::from_millis(500);
/// Longest time for which a closed connection is read on.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// Time-outs of the reads after the end of a connection.
struct Linger {
    /// Running time-out for the next bytes.
    silence: Pin<Box<Sleep>>,
    /// When the reads stop in any case.
    end: Instant,
    /// Number of bytes that may still be read.
    left: usize,
}

impl Linger {
    fn new(left: usize) -> Linger {
        Linger { silence: Box::pin(sleep(LINGER)), end: Instant::now() + MAX_LINGER, left }
    }

    fn is_over(&self) -> bool {
        self.left == 0 || self.end <= Instant::now()
    }
}

/// A caller's connection, of which the HTTP library sees one request at a time.
pub(crate) struct PipelinedStream {
    stream: TcpStream,
    pipeline: Rc<Pipeline>,
    /// Whether the caller has closed its side.
    ended: bool,
    /// Longest time for which the caller may accept no bytes of an answer.
    write_timeout: Duration,
    /// Running time-out of a write.
    stalled: Option<Pin<Box<Sleep>>>,
    /// Reads after the end.
    linger: Option<Linger>,
    /// Maximum number of bytes that are read after the end.
    max_discarded: usize,
    /// Number of bytes discarded after the end.
    discarded: u64,
    /// Counts such bytes of all connections.
    total: IntCounter,
}

impl Drop for PipelinedStream {
    fn drop(&mut self) {
        if 0 < self.discarded {
            let caller =
                self.stream.peer_addr().map_or_else(|_| String::new(), |it| it.to_string());
            log::info!(target: "entry", "caller={caller} discarded={} Closed a connection with bytes of the caller that no request got.", self.discarded);
        }
    }
}

impl PipelinedStream {
    pub(crate) fn new(
        stream: TcpStream,
        pipeline: Rc<Pipeline>,
        write_timeout: Duration,
        max_discarded: usize,
        total: &IntCounter,
    ) -> PipelinedStream {
        let (ended, stalled, linger, discarded) = (false, None, None, 0);
        let total = total.clone();
        PipelinedStream {
            stream,
            pipeline,
            ended,
            write_timeout,
            stalled,
            linger,
            max_discarded,
            discarded,
            total,
        }
    }

    /// Counts bytes of the caller that no request gets.
    fn count_discarded(&mut self, length: usize) {
        self.discarded += length as u64;
        self.total.inc_by(length as u64);
    }

    /// Passes on the result of a write, unless the caller has accepted nothing for too long.
    fn check_stall(
        &mut self,
        written: Poll<Result<usize>>,
        bytes: &[u8],
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let limit = self.write_timeout;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(stalled.as_mut().poll(cx));
        self.stalled = None;
        // The kernel reports a socket as writable only once a third of its buffer is free. A slow caller that reads on has made
        // less room by now.
        match self.write_unreported(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let text = format!("the caller accepted no bytes of an answer for {limit:?}");
                Poll::Ready(Err(Error::new(ErrorKind::TimedOut, text)))
            }
            written => Poll::Ready(written),
        }
    }

    /// Writes to the socket whether or not it is reported as writable.
    fn write_unreported(&self, bytes: &[u8]) -> Result<usize> {
        (&*SockRef::from(&self.stream)).write(bytes)
    }

    /// Reads from the socket whether or not it is reported as readable.
    fn read_unreported(&self, buffer: &mut BytesMut) -> Poll<Result<usize>> {
        let mut part = [0; PART];
        match (&*SockRef::from(&self.stream)).read(&mut part) {
            Ok(length) => {
                buffer.extend_from_slice(&part[..length]);
                Poll::Ready(Ok(length))
            }
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::Interrupted => Poll::Pending,
                _ => Poll::Ready(Err(error)),
            },
        }
    }
}

impl AsyncRead for PipelinedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let pipeline = Rc::clone(&self.pipeline);
        loop {
            if pipeline.pass(out, self.ended) || self.ended {
                return Poll::Ready(Ok(()));
            }
            pipeline.start_ahead();
            pipeline.set_waker(cx.waker());
            if !pipeline.may_read(MAX_BUFFERED) {
                return Poll::Pending;
            }
            let stream = Pin::new(&mut self.stream);
            let mut read = pipeline.fill(|buffer| poll_read_buf(stream, cx, buffer));
            if read.is_pending() && pipeline.take_check() {
                read = pipeline.fill(|buffer| self.read_unreported(buffer));
            }
            self.ended = ready!(read)? == 0;
        }
    }
}

impl AsyncWrite for PipelinedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_stall(written, bytes, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        let first = parts.iter().find(|it| !it.is_empty());
        self.check_stall(written, first.map_or(&[], |it| it), cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.count_discarded(this.pipeline.buffered());
        }
        let max = this.max_discarded;
        let linger = this.linger.get_or_insert_with(|| Linger::new(max));
        let mut discarded = BytesMut::with_capacity(PART);
        let mut length = 0;
        while !this.ended && !linger.is_over() {
            discarded.clear();
            match poll_read_buf(Pin::new(&mut this.stream), cx, &mut discarded) {
                Poll::Ready(read) => {
                    let read = read?;
                    this.ended = read == 0;
                    length += read;
                    linger.left = linger.left.saturating_sub(read);
                }
                Poll::Pending => break,
            }
        }
        if 0 < length {
            linger.silence.as_mut().reset(linger.end.min(Instant::now() + LINGER));
        }
        let is_over = this.ended || linger.is_over() || linger.silence.as_mut().poll(cx).is_ready();
        this.count_discarded(length);
        if is_over { Poll::Ready(Ok(())) } else { Poll::Pending }
    }
}
