//! Rates of requests.

use std::{fmt, num::ParseFloatError, str::FromStr};

use thiserror::Error;

/// The result of parsing a rate.
pub(crate) type Result<T, E = RateError> = std::result::Result<T, E>;

/// Unit of a rate in text.
const UNIT: &str = "/s";
/// Requests a second from which a rate is not a plausible limit of one server.
const MAX_RATE: f64 = 1e9;

/// An error from parsing a rate.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum RateError {
    /// The text is not a number.
    #[error("expected a decimal number of requests a second: {0}")]
    Malformed(#[from] ParseFloatError),
    /// The number is not a rate.
    #[error("expected 0 to {MAX_RATE} requests a second, got {0}")]
    OutOfRange(f64),
}

/// A number of requests a second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the rate of that many requests a second.
    pub fn per_second(requests: f64) -> Result<RequestRate> {
        if !(0.0..=MAX_RATE).contains(&requests) {
            return Err(RateError::OutOfRange(requests));
        }
        Ok(RequestRate(requests))
    }

    /// The number of requests a second.
    pub const fn requests(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{UNIT}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix(UNIT).unwrap_or(text);
        RequestRate::per_second(number.trim().parse()?)
    }
}
