//! Decides whether a planned stop may close a connection.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Time that a caller has for its first request on a connection, and for the rest of a request that has begun.
const REQUEST_WAIT: Duration = Duration::from_secs(1);

struct State {
    /// When the caller opened the connection or last sent something, if nothing was written since.
    since: Option<Instant>,
    /// Whether the next read asks the socket even if it is not reported as readable.
    check: bool,
}

/// What a connection's caller may expect an answer to.
pub(super) struct Unanswered(Mutex<State>);

impl Unanswered {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new() -> Unanswered {
        Unanswered(Mutex::new(State { since: Some(Instant::now()), check: false }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn on_read(&self) {
        self.state().since = Some(Instant::now());
    }

    pub(super) fn on_write(&self) {
        self.state().since = None;
    }

    /// Makes the next read ask the socket even if it is not reported as readable.
    pub(super) fn check_socket(&self) {
        self.state().check = true;
    }

    pub(super) fn take_check(&self) -> bool {
        std::mem::take(&mut self.state().check)
    }

    /// Whether the connection may be closed as soon as it carries no request.
    pub(super) fn may_close(&self) -> bool {
        self.state().since.is_none_or(|it| REQUEST_WAIT <= it.elapsed())
    }
}
