//! Bodies of the answers to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::memory::Reservation;

/// A complete body, together with the memory reserved for it until the caller has received it.
#[derive(Default)]
pub(crate) struct AnswerBody {
    data: Full<Bytes>,
    _memory: Option<Reservation>,
}

impl AnswerBody {
    pub(crate) fn new(data: Bytes) -> AnswerBody {
        AnswerBody { data: Full::new(data), _memory: None }
    }

    pub(crate) fn reserved(data: Bytes, memory: Reservation) -> AnswerBody {
        AnswerBody { data: Full::new(data), _memory: Some(memory) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.data).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.data.size_hint()
    }
}
