//! Room for the answer to a request, which is reserved before the request is sent.

use std::{cell::RefCell, rc::Rc};

use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use th_protocol::{Bytes, Millis, Time};
use th_steer::held::{Admission, HeldKind, Lack};
use thiserror::Error;

use crate::{
    answer::{Answer, reject},
    body::AnswerBody,
    core::Core,
    forward::decline,
    memory::{MemoryPool, Reservation},
    outgoing::AttemptResult,
};

pub(crate) type Result<T, E = AnswerError> = std::result::Result<T, E>;

/// Reason why the body of an answer could not be received.
#[derive(Debug, Error)]
pub(crate) enum AnswerError {
    #[error("the answer exceeds the limit of {0} on one answer")]
    TooLarge(Bytes),
    #[error("reading the answer's body: {0}")]
    Read(#[from] hyper::Error),
}

/// Size of the header fields of a message.
pub(crate) fn head_size(headers: &HeaderMap) -> Bytes {
    Bytes(headers.iter().map(|(name, value)| (name.as_str().len() + value.len()) as u64).sum())
}

/// Rejects a request whose answer could not be held or carried; another VM may take one that was passed on.
pub(crate) fn reject_unheld(forwarded: bool, retry_after: Millis) -> Answer {
    if forwarded {
        return decline();
    }
    reject("This VM holds too many answers; the request was not run.", retry_after)
}

/// Learns the size of a successful answer to a request of a route.
pub(crate) fn learn_size(core: &Core, route: &str, result: &AttemptResult) {
    let Some((head, body)) = result.answer.as_ref().filter(|it| it.0.status.is_success()) else {
        return;
    };
    let size = head_size(&head.headers).plus(Bytes(body.size_hint().lower()));
    core.answer_sizes.borrow_mut().add(route, size);
}

/// Room for the answer to a request, shared by all attempts.
#[derive(Debug, Clone)]
pub(crate) struct AnswerRoom {
    pool: Rc<MemoryPool>,
    expected: Rc<RefCell<Reservation>>,
}

impl AnswerRoom {
    /// Room for an answer of unknown size: each part must fit when it arrives.
    pub(crate) fn none(pool: &Rc<MemoryPool>) -> AnswerRoom {
        AnswerRoom::with(pool, Bytes::ZERO)
    }

    fn with(pool: &Rc<MemoryPool>, reserved: Bytes) -> AnswerRoom {
        let expected = Rc::new(RefCell::new(Reservation::expected(pool, reserved)));
        AnswerRoom { pool: Rc::clone(pool), expected }
    }

    /// Reserves room for the answer to a request of a route, which is due at that time. If there is none, returns what there is
    /// too little of, and the time after which the caller may retry.
    pub(crate) fn reserve(
        core: &Core,
        route: &str,
        deadline: Time,
    ) -> Result<AnswerRoom, (Lack, Millis)> {
        let expected = core.answer_sizes.borrow().expected(route);
        match core.memory.admit(expected, deadline, core.now()) {
            Admission::Reserved(reserved) => Ok(AnswerRoom::with(&core.memory, reserved)),
            Admission::Refused(lack, retry_after) => {
                core.metrics.count_refused(match lack {
                    Lack::Memory => "answer",
                    Lack::Link => "link",
                });
                Err((lack, retry_after))
            }
        }
    }

    /// Adds memory to an answer: first what was reserved for it, then, in turn, what is free. Returns false if the answer
    /// would be larger than any may be.
    async fn grow(&self, answer: &mut Reservation, bytes: u64) -> bool {
        let drawn = answer.draw(&mut self.expected.borrow_mut(), bytes);
        answer.reserve_in_turn(bytes - drawn).await
    }

    /// Buffers a complete answer. Where its memory is neither reserved nor free, the server's connection is not read on.
    pub(crate) async fn buffer(
        &self,
        headers: &HeaderMap,
        mut body: Incoming,
    ) -> Result<AnswerBody> {
        let too_large = || AnswerError::TooLarge(self.pool.largest_message());
        let mut memory = Reservation::new(&self.pool, HeldKind::Answers);
        // Answers that each held a part of the memory could wait for each other, so a stated length is reserved as a whole.
        let stated = body.size_hint().lower();
        let mut reserved = stated;
        if !self.grow(&mut memory, head_size(headers).0.saturating_add(reserved)).await {
            return Err(too_large());
        }
        // Copied, since a part of the HTTP library's buffer would keep all of it.
        let mut collected = Vec::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let length = data.len() as u64;
            if !self.grow(&mut memory, length.saturating_sub(reserved)).await {
                return Err(too_large());
            }
            reserved = reserved.saturating_sub(length);
            if collected.is_empty() {
                collected.reserve_exact(data.len().max(stated as usize));
            }
            collected.extend_from_slice(&data);
        }
        collected.shrink_to_fit();
        Ok(AnswerBody::reserved(collected.into(), memory))
    }
}
