//! Bodies that are passed on bit by bit.

use std::{io, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::BoxStream};
use th_protocol::Millis;
use th_steer::backend::Outcome;
use tokio::time::timeout;

use super::attempt::Attempt;

/// A body that holds its attempt's slot until it has passed. A body that breaks off, or stands still for `idle`, ends
/// with an error.
pub(crate) fn hold_slot(
    body: BoxStream<'static, io::Result<Bytes>>,
    attempt: Attempt,
    outcome: Outcome,
    stall_timeout: Millis,
) -> BoxStream<'static, io::Result<Bytes>> {
    let state = Some((body, attempt));
    let step = move |state: Option<(BoxStream<'static, io::Result<Bytes>>, Attempt)>| async move {
        let (mut body, attempt) = state?;
        match timeout(Duration::from_millis(stall_timeout.0), body.next()).await {
            Ok(Some(Ok(chunk))) => Some((Ok(chunk), Some((body, attempt)))),
            Ok(Some(Err(error))) => {
                attempt.end(Outcome::Cut);
                Some((Err(error), None))
            }
            Ok(None) => {
                attempt.end(outcome);
                None
            }
            Err(_) => {
                attempt.end(Outcome::Timeout);
                Some((Err(io::ErrorKind::TimedOut.into()), None))
            }
        }
    };
    futures_util::stream::unfold(state, step).boxed()
}
