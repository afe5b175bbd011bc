//! Quotas of organisations over all entry VMs.
//!
//! Handles many organisations with a quota each, whose callers come in through any of the VMs and move between them within
//! seconds, and ask for many times their usual, while VMs die, freeze and lose each other. A VM admits a request only with a
//! token. One VM, the quota keeper, gives tokens out, and takes back what lies unused, so that the tokens follow the demand.

mod book;
mod keeper;
mod limits;
mod message;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod quota;
mod row;

pub use book::{QuotaBook, QuotaView, REPORT_TIMEOUT};
pub use limits::QuotaLimits;
pub use message::{TokenGrant, UsageAnswer, UsageEntry, UsageReport};
pub use quota::Quota;
