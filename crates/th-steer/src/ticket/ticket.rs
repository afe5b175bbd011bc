//! The ticket, which states which incarnation of which entry VM may dispatch an operation, and until
//! when.

use std::str::FromStr;

use rand::Rng;
use th_protocol::{Incarnation, Millis, OperationId, Reason, ServiceId, Time, VmId};
use thiserror::Error;

/// Result of opening a ticket.
pub(crate) type Result<T, E = TicketError> = std::result::Result<T, E>;

/// Maximum length of a sealed ticket, in bytes.
pub const MAX_TICKET_BYTES: usize = 512;

/// First field of the text form, the format version.
const FORMAT: &str = "1";
/// Separator of the fields: unreserved in URLs and not allowed in ids.
pub(crate) const SEPARATOR: char = '~';

/// Why a ticket is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The text is longer than [`MAX_TICKET_BYTES`].
    #[error("a ticket has at most {MAX_TICKET_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The authentication code matches none of the accepted keys.
    #[error("the ticket's authentication code does not match")]
    Forged,
    /// The ticket is for another service or operation.
    #[error("the ticket is for {0}")]
    WrongTarget(&'static str),
    /// A field is missing, superfluous (`end`) or cannot be parsed.
    #[error("invalid ticket field: {0}")]
    Unreadable(&'static str),
}

impl TicketError {
    /// Returns the reason code to send to the caller; the request was not run.
    pub fn reason(self) -> Reason {
        Reason::BadTicket
    }
}

/// A random number that makes each ticket unique.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce(pub u128);

/// Permission for one incarnation of an entry VM to dispatch one kind of operation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The owner: the entry VM that may dispatch the operation.
    pub vm: VmId,
    /// The owner's incarnation.
    pub incarnation: Incarnation,
    /// The service that the ticket is valid for.
    pub service: ServiceId,
    /// The operation that the ticket is valid for.
    pub operation: OperationId,
    /// First time, on the owner's clock, at which the ticket is no longer valid.
    pub expiry: Time,
    /// Distinguishes the ticket from others with the same content.
    pub nonce: Nonce,
}

impl Ticket {
    /// Issues a ticket for `owner`'s incarnation.
    ///
    /// `owner_clock` is the issuer's reading or estimate of the owner's clock. If it is not later than
    /// the owner's current time, the ticket is valid for at most `lifetime`. A later one lengthens
    /// the ticket's life; the owner rejects a ticket that expires further in the future than
    /// [`TicketSettings::max_lifetime`](super::TicketSettings::max_lifetime).
    pub fn issue(
        owner: (VmId, Incarnation),
        target: (ServiceId, OperationId),
        owner_clock: Time,
        lifetime: Millis,
        rng: &mut impl Rng,
    ) -> Ticket {
        Ticket {
            vm: owner.0,
            incarnation: owner.1,
            service: target.0,
            operation: target.1,
            expiry: owner_clock.after(lifetime),
            nonce: Nonce(rng.random()),
        }
    }

    /// Checks that the ticket is valid for an operation of a service.
    pub fn permits(&self, service: &ServiceId, operation: &OperationId) -> Result<()> {
        if self.service != *service {
            return Err(TicketError::WrongTarget("another service"));
        }
        if self.operation != *operation {
            return Err(TicketError::WrongTarget("another operation"));
        }
        Ok(())
    }

    /// Returns the text that the authentication code covers.
    pub(crate) fn payload(&self) -> String {
        let Ticket { vm, incarnation, service, operation, expiry, nonce } = self;
        let (incarnation, expiry, nonce) = (incarnation.0, expiry.0, nonce.0);
        format!("{FORMAT}~{vm}~{incarnation}~{service}~{operation}~{expiry}~{nonce:032x}")
    }

    /// Parses an authenticated payload.
    pub(crate) fn parse(payload: &str) -> Result<Ticket> {
        let mut fields = payload.split(SEPARATOR);
        let format: String = field(&mut fields, "format")?;
        if format != FORMAT {
            return Err(TicketError::Unreadable("format"));
        }
        let ticket = Ticket {
            vm: field(&mut fields, "entry VM")?,
            incarnation: Incarnation(field(&mut fields, "incarnation")?),
            service: field(&mut fields, "service")?,
            operation: field(&mut fields, "operation")?,
            expiry: Time(field(&mut fields, "expiry")?),
            nonce: nonce(&mut fields)?,
        };
        if fields.next().is_some() {
            return Err(TicketError::Unreadable("end"));
        }
        Ok(ticket)
    }
}

fn field<'a, T: FromStr>(
    fields: &mut impl Iterator<Item = &'a str>,
    name: &'static str,
) -> Result<T> {
    let text = fields.next().ok_or(TicketError::Unreadable(name))?;
    text.parse().map_err(|_| TicketError::Unreadable(name))
}

fn nonce<'a>(fields: &mut impl Iterator<Item = &'a str>) -> Result<Nonce> {
    let text: String = field(fields, "nonce")?;
    let raw = u128::from_str_radix(&text, 16).map_err(|_| TicketError::Unreadable("nonce"))?;
    Ok(Nonce(raw))
}
