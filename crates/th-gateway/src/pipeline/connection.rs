//! The requests of one connection: which have been handed over, which are answered, and which run ahead of their turn.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    task::{Poll, Waker},
};

use bytes::{Buf, BytesMut};
use http::{HeaderName, HeaderValue, Request, Response};
use th_protocol::Bytes;
use th_steer::held::HeldKind;
use tokio::{
    io::ReadBuf,
    task::{JoinHandle, spawn_local},
};

use super::framing::{Framing, HeadStatus, MAX_HEADERS, RequestHead, parse_head};
use crate::{
    body::AnswerBody,
    listen::HandlerFuture,
    memory::{MemoryPool, Reservation},
};

/// Starts a bodyless request ahead of its turn; `None` if it must wait for its turn.
pub(crate) type StartAhead = Rc<dyn Fn(Request<()>) -> Option<HandlerFuture>>;

/// A request that runs ahead of its turn; cancelled on drop.
struct Ahead {
    /// Number of the request on its connection.
    number: u64,
    task: JoinHandle<Response<AnswerBody>>,
}

impl Drop for Ahead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct State {
    /// Bytes that were read and not handed over.
    buffer: BytesMut,
    framing: Framing,
    /// Number of requests whose heads were handed over.
    passed: u64,
    /// Number of requests that the service has received.
    received: u64,
    /// Number of requests that the service has answered.
    answered: u64,
    /// Length of the heads at the front of the buffer whose requests run ahead of their turn.
    started: usize,
    ahead: VecDeque<Ahead>,
    /// Memory of the buffer.
    memory: Reservation,
    /// Wakes the connection once the next request may be handed over.
    waker: Option<Waker>,
    /// Whether the next read asks the socket even if it is not reported as readable.
    check: bool,
}

impl State {
    /// Brings the memory held for the buffer up to date.
    fn count_buffer(&mut self) {
        self.memory.set(Bytes(self.buffer.len() as u64));
    }
}

/// The requests of one connection.
pub(crate) struct Pipeline {
    state: RefCell<State>,
    start: Option<StartAhead>,
    /// Maximum number of requests that run ahead of their turn.
    depth: usize,
    /// Maximum length of a head.
    max_head: usize,
}

impl Pipeline {
    pub(crate) fn new(
        start: Option<StartAhead>,
        depth: usize,
        max_head: usize,
        memory: &Rc<MemoryPool>,
    ) -> Pipeline {
        let state = State {
            buffer: BytesMut::new(),
            framing: Framing::default(),
            passed: 0,
            received: 0,
            answered: 0,
            started: 0,
            ahead: VecDeque::new(),
            memory: Reservation::new(memory, HeldKind::Requests),
            waker: None,
            check: false,
        };
        Pipeline { state: RefCell::new(state), start, depth, max_head }
    }

    /// Whether a request runs ahead of its turn.
    pub(crate) fn has_ahead(&self) -> bool {
        !self.state.borrow().ahead.is_empty()
    }

    /// Whether the caller has sent nothing yet.
    pub(crate) fn is_unused(&self) -> bool {
        let state = self.state.borrow();
        state.passed == 0 && state.buffer.is_empty()
    }

    /// Whether bytes were read that belong to no request yet.
    pub(crate) fn has_unread(&self) -> bool {
        !self.state.borrow().buffer.is_empty()
    }

    /// Makes the next read ask the socket even if it is not reported as readable.
    pub(crate) fn check_socket(&self) {
        self.state.borrow_mut().check = true;
    }

    pub(super) fn take_check(&self) -> bool {
        std::mem::take(&mut self.state.borrow_mut().check)
    }

    /// Number of bytes that were read and not handed over.
    pub(super) fn buffered(&self) -> usize {
        self.state.borrow().buffer.len()
    }

    /// Counts a request that the service receives. Returns its answer if it already runs.
    pub(crate) fn receive(
        &self,
    ) -> Option<impl Future<Output = Option<Response<AnswerBody>>> + use<>> {
        let mut state = self.state.borrow_mut();
        state.received += 1;
        let number = state.received;
        let ahead = state.ahead.pop_front_if(|it| it.number == number)?;
        Some(async move {
            let mut ahead = ahead;
            match (&mut ahead.task).await {
                Ok(answer) => Some(answer),
                Err(error) => {
                    log::error!(target: "call", "number={number} A pipelined request ended without an answer; serving it again: {error}");
                    None
                }
            }
        })
    }

    /// Counts an answer; the next request may be handed over.
    pub(crate) fn on_answered(&self) {
        let mut state = self.state.borrow_mut();
        state.answered += 1;
        if !state.buffer.is_empty()
            && let Some(waker) = state.waker.take()
        {
            waker.wake();
        }
    }

    /// Runs `read`, which adds bytes to the buffer.
    pub(super) fn fill<T>(&self, read: impl FnOnce(&mut BytesMut) -> Poll<T>) -> Poll<T> {
        let mut state = self.state.borrow_mut();
        let result = read(&mut state.buffer);
        state.count_buffer();
        result
    }

    /// Whether more bytes may be read. What stands behind the current request waits in the socket beyond that many bytes,
    /// or while memory is full.
    pub(super) fn may_read(&self, most: usize) -> bool {
        let state = self.state.borrow();
        state.buffer.is_empty() || (state.buffer.len() < most && state.memory.may_grow())
    }

    pub(super) fn set_waker(&self, waker: &Waker) {
        self.state.borrow_mut().waker = Some(waker.clone());
    }

    /// Copies bytes of the current request to `out`; at its end, those of the next one once it may be served. Returns
    /// whether there are any. `ended` tells that no more bytes follow those in the buffer.
    pub(super) fn pass(&self, out: &mut ReadBuf<'_>, ended: bool) -> bool {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if state.buffer.is_empty() {
            return false;
        }
        if state.framing.is_at_end() {
            if state.answered < state.passed {
                return false;
            }
            match parse_head(&state.buffer) {
                HeadStatus::Partial if !ended && state.buffer.len() < self.max_head => {
                    return false;
                }
                HeadStatus::Partial | HeadStatus::Unclear => state.framing.set_unclear(),
                HeadStatus::Complete(head) => {
                    state.framing.begin(&head);
                    state.passed += 1;
                    state.started = state.started.saturating_sub(head.length);
                }
            }
        }
        let most = state.buffer.len().min(out.remaining());
        let length = state.framing.advance(&state.buffer[..most]);
        out.put_slice(&state.buffer[..length]);
        state.buffer.advance(length);
        state.count_buffer();
        if state.buffer.is_empty() {
            // Idle connections hold no buffer.
            state.buffer = BytesMut::new();
        }
        0 < length
    }

    /// Starts the requests in the buffer that need not wait for their turn. An idempotent request may run again if the
    /// connection closes before its answer is sent; others must not, so they end the series.
    pub(super) fn start_ahead(&self) {
        let Some(start) = &self.start else {
            return;
        };
        loop {
            let state = self.state.borrow();
            let is_behind = state.framing.is_at_end() && state.answered < state.passed;
            if !is_behind || self.depth <= state.ahead.len() {
                return;
            }
            let bytes = &state.buffer[state.started..];
            let HeadStatus::Complete(head) = parse_head(bytes) else {
                return;
            };
            if !head.is_bodyless() || head.is_last {
                return;
            }
            let Some(request) = read_request(&bytes[..head.length]) else {
                return;
            };
            // The last one ahead may already have been handed over, if the service has not received it yet.
            let last = state.ahead.back().map_or(0, |it| it.number);
            let number = state.passed.max(last) + 1;
            drop(state);
            let Some(answer) = start(request) else {
                return;
            };
            self.add_ahead(number, &head, answer);
        }
    }

    fn add_ahead(&self, number: u64, head: &RequestHead, answer: HandlerFuture) {
        let task = spawn_local(async move {
            let Ok(answer) = answer.await;
            answer
        });
        let mut state = self.state.borrow_mut();
        state.started += head.length;
        state.ahead.push_back(Ahead { number, task });
    }
}

/// Reads the head of a bodyless request.
fn read_request(bytes: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(bytes).ok()?;
    let mut request = Request::new(());
    *request.method_mut() = parsed.method?.parse().ok()?;
    *request.uri_mut() = parsed.path?.parse().ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        request.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(request)
}
