//! Notices to callers, with one message for each reason.

use th_protocol::{Millis, Notice, Reason, Verdict};

/// The request was not run, and a retry under the same conditions gives the same result.
pub fn not_run(reason: Reason) -> Notice {
    notice(Verdict::NotRun, reason, None)
}

/// The request was not run and may be retried after `retry_after`.
pub fn refused(reason: Reason, retry_after: Millis) -> Notice {
    notice(Verdict::Refused, reason, Some(retry_after))
}

/// The request may have run.
pub fn unknown(reason: Reason) -> Notice {
    notice(Verdict::Unknown, reason, None)
}

fn notice(verdict: Verdict, reason: Reason, retry: Option<Millis>) -> Notice {
    let detail = format!("{}; {}.", cause(reason), advice(verdict));
    Notice { verdict, reason, detail, retry, ticket: None }
}

fn advice(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun => "the request was not run",
        Verdict::Refused => "the request was not run, come back after the time in Retry-After",
        Verdict::Unknown => "the request may have run, do not send it under a new key",
    }
}

fn cause(reason: Reason) -> &'static str {
    match reason {
        Reason::NoBundle => "This entry VM has no bundle yet",
        Reason::NoService => "The bundle has no such service",
        Reason::NoOperation => "The service has no such operation",
        Reason::NoBackend => "No backend server can take the request",
        Reason::NoSlot => "Every slot is taken",
        Reason::RegionCap => "The region's cap is reached",
        Reason::LinkCap => "The link's cap is reached",
        Reason::ShiftCap => "The cap on shifts between regions is reached",
        Reason::QueueFull => "Too many requests wait",
        Reason::Deadline => "The request cannot finish before its deadline",
        Reason::Stopping => "This entry VM is stopping: look up another one",
        Reason::NoTicket => "The operation is not idempotent and needs a ticket from a look-up",
        Reason::BadTicket => "The ticket is not one for this operation",
        Reason::TicketExpired => "The ticket has expired",
        Reason::NoKey => "The operation needs an Idempotency-Key header",
        Reason::TicketsFull => "This entry VM keeps no more operations or answers",
        Reason::KeyReused => "The idempotency key was used with another request",
        Reason::OwnerGone => "The entry VM that holds this ticket is gone",
        Reason::Unreachable => "The backend server could not be reached",
        Reason::Timeout => "No answer came before the deadline",
        Reason::Cut => "The answer broke off",
        Reason::Shed => "The backend server sheds load",
        Reason::BadRequest => "The request is malformed or too large",
        Reason::SlowCaller => "The request arrived too slowly",
        Reason::Overloaded => "Too many requests are in progress",
        Reason::Cancelled => "The request was cancelled",
    }
}
