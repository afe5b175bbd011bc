//! Client of the platform's service, behind one trait.
//!
//! The service offers a key-value store with revisions, leases and watches, and the list of VMs.

mod clock;
mod counted;
mod error;
mod http;
mod platform;
mod receive;
mod wire;

pub use clock::{BootClock, Clock, ManualClock};
pub use counted::{CallCounters, CountedPlatform};
pub use error::{CallKind, PlatformError, Result};
pub use http::{HttpPlatform, HttpSettings};
pub(crate) use platform::upload_time;
pub use platform::{Entry, Key, LeaseId, MAX_TRANSFER, MAX_VALUE_BYTES, Platform, WriteOutcome};
pub use receive::{AnswerLimits, Progress, ReceiveError, Received, receive};
pub use wire::{CasAnswer, CasRequest, KeepAliveAnswer, LeaseRequest};
