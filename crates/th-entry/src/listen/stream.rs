//! The stream between a caller's socket and the HTTP library.

use std::{
    io::{ErrorKind, IoSlice, Read, Result},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::unanswered::Unanswered;

/// A caller's connection that records what is unanswered.
pub(super) struct CallerStream {
    stream: TcpStream,
    unanswered: Arc<Unanswered>,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, unanswered: Arc<Unanswered>) -> CallerStream {
        CallerStream { stream, unanswered }
    }

    /// Reads from the socket whether or not it is reported as readable.
    fn read_unreported(&self, out: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        match (&*SockRef::from(&self.stream)).read(out.initialize_unfilled()) {
            Ok(length) => {
                out.advance(length);
                Poll::Ready(Ok(()))
            }
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::Interrupted => Poll::Pending,
                _ => Poll::Ready(Err(error)),
            },
        }
    }

    fn record_write(&self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(1..)) = &written {
            self.unanswered.on_write();
        }
        written
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = out.filled().len();
        let mut read = Pin::new(&mut self.stream).poll_read(cx, out);
        if read.is_pending() && self.unanswered.take_check() {
            read = self.read_unreported(out);
        }
        ready!(read)?;
        if before < out.filled().len() {
            self.unanswered.on_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
