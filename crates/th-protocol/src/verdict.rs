//! Answers that the system itself generates in place of a backend server's answer.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Millis;

/// The result of parsing a verdict or a reason.
pub(crate) type Result<T, E = VerdictError> = std::result::Result<T, E>;

/// An error from parsing a verdict or a reason: the text is not a known code.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown verdict or reason {0:?}")]
pub struct VerdictError(pub String);

macro_rules! codes {
    ($(#[$top:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$top])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name {
            $($(#[$doc])* $variant,)*
        }

        impl $name {
            /// All variants.
            pub const ALL: &[$name] = &[$($name::$variant),*];

            /// Returns the code used in headers, bodies and metrics.
            pub fn code(self) -> &'static str {
                match self {
                    $($name::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.code())
            }
        }

        impl FromStr for $name {
            type Err = VerdictError;

            fn from_str(text: &str) -> Result<$name> {
                match text {
                    $($text => Ok($name::$variant),)*
                    _ => Err(VerdictError(text.to_owned())),
                }
            }
        }
    };
}

codes! {
    /// Whether a request that the system itself answers was run by a backend server.
    Verdict {
        /// No backend server ran the request, and none will.
        NotRun = "not-run",
        /// A backend server may have run the request.
        Unknown = "unknown",
        /// The request was not run; a later attempt may succeed.
        Refused = "refused",
    }
}

codes! {
    /// Why the system itself answered in place of a backend server.
    Reason {
        /// The entry VM has no bundle yet.
        NoBundle = "no-bundle",
        /// The service is not in the bundle.
        NoService = "no-service",
        /// The operation is not in the bundle.
        NoOperation = "no-operation",
        /// No backend server can accept the request.
        NoBackend = "no-backend",
        /// All slots that the entry VM may use are in use.
        NoSlot = "no-slot",
        /// The request would exceed a region's cap.
        RegionCap = "region-cap",
        /// The request would exceed a link's cap.
        LinkCap = "link-cap",
        /// The request would exceed the cap on traffic shifted between regions.
        ShiftCap = "shift-cap",
        /// The queue of waiting requests is full.
        QueueFull = "queue-full",
        /// The request could not finish before its deadline.
        Deadline = "deadline",
        /// The entry VM is stopping.
        Stopping = "stopping",
        /// A request for a non-idempotent operation had no ticket.
        NoTicket = "no-ticket",
        /// The system did not issue the ticket.
        BadTicket = "bad-ticket",
        /// The ticket has expired.
        TicketExpired = "ticket-expired",
        /// The request had a ticket but no idempotency key.
        NoKey = "no-key",
        /// The entry VM's table of tickets is full.
        TicketsFull = "tickets-full",
        /// The idempotency key was already used with a different request.
        KeyReused = "key-reused",
        /// The entry VM that may dispatch the request no longer exists.
        OwnerGone = "owner-gone",
        /// The backend server could not be reached.
        Unreachable = "unreachable",
        /// The backend server did not answer within the time-out.
        Timeout = "timeout",
        /// The backend server's answer ended early.
        Cut = "cut",
        /// The backend server shed the request.
        Shed = "shed",
        /// The request is malformed or too large.
        BadRequest = "bad-request",
        /// The caller sent the request too slowly.
        SlowCaller = "slow-caller",
        /// Too many requests are in progress.
        Overloaded = "overloaded",
        /// The caller ended the request before the answer.
        Cancelled = "cancelled",
    }
}

impl Reason {
    /// Returns whether the cause lies in the caller's request and not in the system.
    pub fn is_caller_fault(self) -> bool {
        matches!(
            self,
            Reason::NoService
                | Reason::NoOperation
                | Reason::NoTicket
                | Reason::BadTicket
                | Reason::NoKey
                | Reason::KeyReused
                | Reason::BadRequest
                | Reason::SlowCaller
        )
    }
}

/// The body of an answer that the system itself generates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Whether the request was run.
    pub verdict: Verdict,
    /// Why the system itself answered.
    pub reason: Reason,
    /// One sentence of explanation for a human reader.
    pub detail: String,
    /// How long the caller should wait before it tries again.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry: Option<Millis>,
    /// A new ticket, if the request had no usable one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub ticket: Option<String>,
}
