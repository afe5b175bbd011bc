//! Outcome of an attempt at a backend server.

use th_protocol::Millis;

/// Outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The complete answer was received.
    Answered,
    /// The server shed the request without running any of it; the value is its hint when to
    /// retry.
    Shed(Option<Millis>),
    /// No connection could be established.
    ConnectFailed,
    /// No answer was received in time.
    Timeout,
    /// The connection broke before the answer was complete.
    Cut,
    /// The complete answer was received, and its status is a server error.
    ErrorStatus,
    /// The caller cancelled the request.
    Cancelled,
}

impl Outcome {
    /// Returns whether the server certainly did not execute the request.
    pub fn is_not_executed(self) -> bool {
        matches!(self, Outcome::Shed(_) | Outcome::ConnectFailed)
    }

    /// Returns whether the outcome counts as a failure of the server.
    pub(crate) fn is_failure(self) -> bool {
        matches!(
            self,
            Outcome::ConnectFailed | Outcome::Timeout | Outcome::Cut | Outcome::ErrorStatus
        )
    }

    /// Returns whether the connection of the attempt delivered an answer.
    pub(crate) fn is_progress(self) -> bool {
        matches!(self, Outcome::Answered | Outcome::ErrorStatus | Outcome::Shed(_))
    }
}
