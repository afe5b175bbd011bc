//! An organisation's quota.

use th_protocol::RequestRate;

/// The requests that an organisation may make at all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The rate that it may keep up.
    pub rate: RequestRate,
    /// The number of requests that it may make beyond that at once.
    pub burst: f64,
}
