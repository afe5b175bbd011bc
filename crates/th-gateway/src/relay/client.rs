//! Questions to other entry VMs for changes.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use th_protocol::{Era, Millis, Revision, StoreMoment};
use th_steer::relay::{ItemChange, News};

use super::{
    error::{RelayError, Result},
    packing::{ENCODING, unpack},
    peer_call::{AnswerLimits, PeerAnswer, message, post},
    wire::{
        AGE, CHANGES_PATH, ChangePart, ChangesAnswer, ChangesRequest, ERA, HELD, PARTIAL,
        read_number,
    },
};
use crate::{connection::Connection, core::Core};

/// Maximum size of an answer, in bytes: far more than the changes of a few seconds.
const MAX_ANSWER: usize = 16 << 20;

/// Changes that another VM passed on.
#[derive(Debug)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<ItemChange>,
    /// Moment up to which they are complete.
    pub at: StoreMoment,
    /// Time since the store was at that moment, when the VM answered.
    pub age: Millis,
    /// Time for which the VM held the request.
    pub held: Millis,
    /// Whether there may be others that the VM does not know.
    pub is_partial: bool,
    /// The era that it stated; earlier builds state none and do not tell eras apart.
    pub stated: Option<Era>,
}

impl Changes {
    /// What decides whether they are taken over.
    pub fn news(&self) -> News {
        News { age: self.age, era: self.at.era, is_stated: self.stated.is_some() }
    }
}

/// A question to another VM for changes.
#[derive(Debug, Clone, Copy)]
pub struct Question {
    /// The moment after which they are asked for.
    pub after: StoreMoment,
    /// Time for which the VM may wait for some.
    pub wait: Millis,
    /// Time after that until its answer must have begun, and longest time without any of it from there.
    pub slack: Millis,
    /// Longest time for its answer once it has begun.
    pub transfer: Millis,
    /// Whether some changes are taken where not all are known.
    pub takes_part: bool,
}

/// Asks other VMs for changes; keeps the connection to the VM that was asked last.
#[derive(Default)]
pub struct RelayClient {
    connection: Option<Connection>,
}

impl RelayClient {
    /// Asks for changes.
    pub async fn changes(
        &mut self,
        core: &Core,
        address: SocketAddr,
        question: Question,
    ) -> Result<Changes> {
        let kept = self.connection.take().filter(|it| it.address == address);
        let (changes, connection) = ask(core, kept, address, question).await?;
        self.connection = Some(connection);
        Ok(changes)
    }
}

async fn ask(
    core: &Core,
    kept: Option<Connection>,
    address: SocketAddr,
    question: Question,
) -> Result<(Changes, Connection)> {
    let after = question.after;
    let malformed = |cause: String| RelayError::Malformed(address, cause);
    let asked = ChangesRequest { after: after.revision.0, wait_ms: question.wait.0 };
    let body = rmp_serde::to_vec(&asked).map_err(|it| malformed(it.to_string()))?;
    let mut request = message(CHANGES_PATH, body);
    request.headers_mut().insert(header::ACCEPT_ENCODING, HeaderValue::from_static(ENCODING));
    if after.era != Era::ZERO {
        request.headers_mut().insert(ERA, HeaderValue::from(after.era.0));
    }
    if question.takes_part {
        request.headers_mut().insert(PARTIAL, HeaderValue::from_static("1"));
    }
    let start = question.wait.plus(question.slack);
    let limits = AnswerLimits {
        start,
        stall: question.slack,
        transfer: question.transfer,
        size: MAX_ANSWER,
    };
    let PeerAnswer { head, body, connection } = post(core, kept, address, request, limits).await?;
    if head.status == StatusCode::GONE {
        return Err(RelayError::Unknown(address, after));
    }
    if !head.status.is_success() {
        return Err(RelayError::Status(address, head.status));
    }
    let stated = read_number(&head.headers, &ERA).map(Era);
    let era = stated.unwrap_or(after.era);
    let is_partial = head.headers.contains_key(&PARTIAL);
    let held = read_number(&head.headers, &HELD).map_or(Millis::ZERO, Millis);
    let body = if head.headers.contains_key(header::CONTENT_ENCODING) {
        let unpacked = unpack(&body, MAX_ANSWER);
        Bytes::from(
            unpacked.map_err(|it| malformed(format!("unpacking {} bytes: {it}", body.len())))?,
        )
    } else {
        body
    };
    let answer: ChangesAnswer =
        rmp_serde::from_slice(&body).map_err(|it| malformed(it.to_string()))?;
    let mut changes = Vec::with_capacity(answer.changes.len());
    for part in answer.changes {
        let ChangePart { key, value, revision } = part;
        let moment = StoreMoment::new(era, Revision(revision));
        changes.push(ItemChange { key, value, moment });
    }
    let age = Millis(read_number(&head.headers, &AGE).unwrap_or(answer.age_ms));
    let at = StoreMoment::new(era, Revision(answer.at));
    Ok((Changes { changes, at, age, held, is_partial, stated }, connection))
}
