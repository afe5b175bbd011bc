//! The secret keys that authenticate tickets.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::ticket::{MAX_TICKET_BYTES, Result, SEPARATOR, Ticket, TicketError};

/// Length of a ticket key, in bytes.
pub const KEY_BYTES: usize = 32;

/// A secret shared by all entry VMs.
#[derive(Clone, PartialEq, Eq)]
pub struct TicketKey(pub [u8; KEY_BYTES]);

impl fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

impl TicketKey {
    fn mac(&self, payload: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(payload.as_bytes());
        mac
    }
}

/// The accepted keys.
///
/// To rotate keys, add the new one as the last on all VMs, then make it the first on all VMs, then
/// remove the old one.
#[derive(Debug, Clone)]
pub struct TicketKeys {
    first: TicketKey,
    others: Vec<TicketKey>,
}

impl TicketKeys {
    /// Creates a set of keys that seals with `first` and opens with any of them.
    pub fn new(first: TicketKey, others: Vec<TicketKey>) -> TicketKeys {
        TicketKeys { first, others }
    }

    /// Returns the ticket as URL-safe text with its authentication code.
    pub fn seal(&self, ticket: &Ticket) -> String {
        let payload = ticket.payload();
        let code = self.first.mac(&payload).finalize().into_bytes();
        format!("{payload}{SEPARATOR}{}", hex::encode(code))
    }

    /// Opens a sealed ticket.
    ///
    /// Verifies the authentication code in constant time before it parses any field.
    pub fn open(&self, text: &str) -> Result<Ticket> {
        if MAX_TICKET_BYTES < text.len() {
            return Err(TicketError::TooLong(text.len()));
        }
        let (payload, code) = text.rsplit_once(SEPARATOR).ok_or(TicketError::Unreadable("end"))?;
        let code = hex::decode(code).map_err(|_| TicketError::Forged)?;
        for key in std::iter::once(&self.first).chain(&self.others) {
            if key.mac(payload).verify_slice(&code).is_ok() {
                return Ticket::parse(payload);
            }
        }
        Err(TicketError::Forged)
    }
}
