//! The platform's service behind one trait.

mod clock;
mod counted;
mod error;
mod http;
mod platform;
mod wire;

pub use clock::{BootClock, Clock, ManualClock};
pub use counted::{Calls, Counted};
pub use error::{PlatformError, Result, Step};
pub use http::{HttpPlatform, HttpSettings};
pub use platform::{Entry, Key, LeaseId, MAX_VALUE_BYTES, Platform, Write};
pub use wire::{CasAnswer, CasRequest, KeepAnswer, LeaseRequest};
