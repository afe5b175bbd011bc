//! Reasons why another entry VM gave no changes.

use std::net::SocketAddr;

use http::StatusCode;
use th_protocol::{Bytes, Millis, StoreMoment, VmId};
use thiserror::Error;

use crate::connection::ConnectError;

/// The result of asking another VM.
pub(crate) type Result<T, E = RelayError> = std::result::Result<T, E>;

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Reason why another VM gave no changes.
#[derive(Debug, Error)]
pub enum RelayError {
    /// It could not be reached.
    #[error("{0}")]
    Connect(#[from] ConnectError),
    /// It has no known address for other VMs.
    #[error("{0}: no address for other VMs")]
    NoAddress(VmId),
    /// The connection broke.
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
    /// It does not know the changes after that moment.
    #[error("{0}: it does not know the changes after {1}")]
    Unknown(SocketAddr, StoreMoment),
    /// It answered with an error status.
    #[error("{0}: status {1}")]
    Status(SocketAddr, StatusCode),
    /// Its answer is not of the expected form.
    #[error("{0}: malformed answer: {1}")]
    Malformed(SocketAddr, String),
    /// It did not answer in time.
    #[error("{0}: no answer after {1}")]
    Timeout(SocketAddr, Millis),
    /// Its answer took too long after it had begun.
    #[error("{0}: the answer did not end {1} after it had begun")]
    Slow(SocketAddr, Millis),
    /// Nothing more of its answer arrived.
    #[error("{address}: no more of the answer after {after}; received={received}")]
    Stalled {
        /// Its address.
        address: SocketAddr,
        /// Time after which the answer was given up.
        after: Millis,
        /// What had arrived of it.
        received: Bytes,
    },
}
