//! Whether a request may be made with the key that it carries.
//!
//! A withdrawn key must not be used once the withdrawal has been in force for some time, also by an entry VM that hears
//! nothing of it. What a VM knows therefore counts only up to an age.

use std::sync::Arc;

use th_protocol::Millis;
use thiserror::Error;

use super::{key::KeyDigest, organisation::Organisation, table::OrganisationTable};

/// Reason why a request is not allowed.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Denial {
    /// It carries no key, and its route is not public.
    #[error("no key")]
    MissingKey,
    /// Its key belongs to no organisation.
    #[error("unknown key")]
    UnknownKey,
    /// The known keys are so old that its key may have been withdrawn or added since.
    #[error("the known keys are {age} old, the limit is {limit}")]
    StaleKeys {
        /// Age of what is known.
        age: Millis,
        /// Age from which keys are not trusted.
        limit: Millis,
        /// The organisation to which the key belonged.
        organisation: Option<Arc<Organisation>>,
    },
    /// Its organisation has used its quota.
    #[error("the quota is used; more after {0}")]
    QuotaUsed(Millis),
}

/// Returns the organisation of a request, by its key and the organisations known `age` ago. `limit` is the age from which
/// keys are not trusted; `None` if they are trusted at any age.
pub fn admit(
    table: &OrganisationTable,
    key: Option<&KeyDigest>,
    age: Millis,
    limit: Option<Millis>,
) -> Result<Arc<Organisation>, Denial> {
    let known = key.and_then(|it| table.find(it));
    if let Some(limit) = limit.filter(|it| *it <= age) {
        return Err(Denial::StaleKeys { age, limit, organisation: known.cloned() });
    }
    match known {
        Some(organisation) => Ok(Arc::clone(organisation)),
        None if key.is_some() => Err(Denial::UnknownKey),
        None => Err(Denial::MissingKey),
    }
}
