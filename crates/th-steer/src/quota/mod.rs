//! Quotas of organisations over all entry VMs.

#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod quota;

pub use quota::Quota;
