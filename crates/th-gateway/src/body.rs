//! Bodies of the answers to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};

use crate::memory::Reservation;

/// Bytes of an answer, together with the memory reserved for them until the caller's socket has taken the last one.
pub(crate) struct HeldBytes {
    data: Bytes,
    _memory: Option<Reservation>,
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.data.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.data.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.data.advance(count);
    }
}

/// A complete body.
#[derive(Default)]
pub(crate) struct AnswerBody {
    /// `None` if it is empty or has been handed over.
    data: Option<HeldBytes>,
}

impl AnswerBody {
    pub(crate) fn new(data: Bytes) -> AnswerBody {
        AnswerBody::with(data, None)
    }

    pub(crate) fn reserved(data: Bytes, memory: Reservation) -> AnswerBody {
        AnswerBody::with(data, Some(memory))
    }

    fn with(data: Bytes, memory: Option<Reservation>) -> AnswerBody {
        let data = HeldBytes { data, _memory: memory };
        AnswerBody { data: Some(data).filter(Buf::has_remaining) }
    }
}

impl Body for AnswerBody {
    type Data = HeldBytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, Infallible>>> {
        Poll::Ready(self.data.take().map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, Buf::remaining) as u64)
    }
}
