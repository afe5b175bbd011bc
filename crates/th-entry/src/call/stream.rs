//! Bodies that are passed on as a stream.

use std::{io, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::BoxStream};
use th_protocol::Millis;
use th_steer::backend::Outcome;
use tokio::time::timeout;

use super::attempt::Attempt;

/// Returns a body that holds its attempt's slot until it has been passed on. It ends with an error if the connection
/// fails or no chunk arrives for `stall_timeout`.
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
