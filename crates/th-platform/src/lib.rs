//! The platform's service behind one trait.

mod clock;
mod error;
mod platform;

pub use clock::{BootClock, Clock, ManualClock};
pub use error::{PlatformError, Result, Step};
pub use platform::{Entry, Key, LeaseId, MAX_VALUE_BYTES, Platform, VmRecord, VmState, Write};
