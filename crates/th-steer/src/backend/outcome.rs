//! How one attempt at a backend server ended.

use th_protocol::Millis;

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer came.
    Answered,
    /// The server refused before running anything, with its hint when to come back.
    Shed(Option<Millis>),
    /// No connection could be made.
    ConnectFailed,
    /// No answer came in time.
    Timeout,
    /// The answer broke off.
    Cut,
    /// The whole answer came, and reports a fault of the server.
    ErrorStatus,
    /// The caller went away.
    Cancelled,
}

impl Outcome {
    /// Whether it is certain that the server did not run the request.
    pub fn is_not_executed(self) -> bool {
        matches!(self, Outcome::Shed(_) | Outcome::ConnectFailed)
    }

    /// Whether it counts against the server's health.
    pub(crate) fn is_failure(self) -> bool {
        matches!(
            self,
            Outcome::ConnectFailed | Outcome::Timeout | Outcome::Cut | Outcome::ErrorStatus
        )
    }

    /// Whether the connection that carried it has answered.
    pub(crate) fn is_progress(self) -> bool {
        matches!(self, Outcome::Answered | Outcome::ErrorStatus | Outcome::Shed(_))
    }
}
