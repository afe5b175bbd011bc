//! JSON bodies of the calls over HTTP.

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Revision};

use crate::{Entry, Key, LeaseId};

/// Encodes and decodes optional bytes as base64 text.
pub(crate) mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(
        value: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match value {
            Some(value) => serializer.serialize_some(&STANDARD.encode(value)),
            None => serializer.serialize_none(),
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let Some(text) = Option::<String>::deserialize(deserializer)? else {
            return Ok(None);
        };
        STANDARD.decode(text).map(Some).map_err(D::Error::custom)
    }
}

/// Body of `POST /v1/cas`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CasRequest {
    /// The value's name.
    pub key: Key,
    /// The revision that the stored value must have; `None` if there must be no value.
    pub expected: Option<Revision>,
    /// The new value; `None` removes it.
    #[serde(with = "base64_bytes")]
    pub value: Option<Vec<u8>>,
    /// The lease with whose end the value is removed.
    pub lease: Option<LeaseId>,
}

/// Answer to `POST /v1/cas`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CasAnswer {
    /// The write took effect.
    Applied(Revision),
    /// The write did not take effect; holds the conflicting stored value, if there is one.
    Refused(Option<Entry>),
}

/// Body of `POST /v1/lease`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time after which the lease expires unless it is extended.
    pub ttl: Millis,
}

/// Answer to `POST /v1/keep-alive/{lease}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KeepAliveAnswer {
    /// The lease was extended.
    Kept,
    /// The lease has expired.
    Lapsed,
}
