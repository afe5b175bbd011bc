//! The keys that seal tickets.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::ticket::{MAX_TICKET_BYTES, Result, SEPARATOR, Ticket, TicketError};

/// Length of a ticket key, in bytes.
pub const KEY_BYTES: usize = 32;

/// A secret that all entry VMs share.
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

/// The accepted keys. To change keys, add the new one last everywhere, then move it first, then drop the old one.
#[derive(Debug, Clone)]
pub struct TicketKeys {
    first: TicketKey,
    others: Vec<TicketKey>,
}

impl TicketKeys {
    /// Seals with `first` and opens with all.
    pub fn new(first: TicketKey, others: Vec<TicketKey>) -> TicketKeys {
        TicketKeys { first, others }
    }

    /// The ticket as URL-safe text.
    pub fn seal(&self, ticket: &Ticket) -> String {
        let payload = ticket.payload();
        let code = self.first.mac(&payload).finalize().into_bytes();
        format!("{payload}{SEPARATOR}{}", hex::encode(code))
    }

    /// Reads a sealed ticket. Compares the authentication code in constant time, before anything else is read.
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
