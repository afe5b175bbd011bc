//! What makes two requests the same request.

use std::{fmt, num::ParseIntError, str::FromStr};

use crate::route::{hash_bytes, mix};

/// Hash of what makes two requests the same request: method, host, path, caller and body. All VMs and builds compute it
/// alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
        let mut state = 0;
        for part in parts {
            state = mix(state ^ hash_bytes(part));
        }
        Fingerprint(state)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseIntError> {
        u64::from_str_radix(text, 16).map(Fingerprint)
    }
}
