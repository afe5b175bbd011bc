//! Changes of the store's items, passed on from VM to VM.
//!
//! Handles many VMs that all follow the same changing items, each with its own calls to a store whose calls are few and
//! priced. In each data centre one VM watches the store, and the others receive its changes. The order of the VMs follows
//! from their registration, so nothing is agreed on: a VM whose source fails asks the next one, and finally the store.

mod change_log;
mod freshness;
mod last_writes;
mod news;
mod pace;
mod reach;
mod upstream;

pub use change_log::{ChangeLog, ItemChange};
pub use freshness::{relayed_time, watch_time};
pub use last_writes::{LastWrites, Write, WriteMark, WriteOrder};
pub use news::{News, NewsError};
pub use pace::{PaceError, WatchPace};
pub use reach::{Outage, StoreReach};
pub use upstream::{Source, Upstream};
