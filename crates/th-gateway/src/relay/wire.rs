//! Messages by which entry VMs ask each other for changes.

use http::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};

/// Path of the request for changes.
pub(crate) const CHANGES_PATH: &str = "/v1/changes";
/// Era of the store in which the revisions of a request or an answer are. Earlier builds send none, and ignore it.
pub(crate) const ERA: HeaderName = HeaderName::from_static("th-era");
/// Time in milliseconds from the arrival of a request for changes to its answer. Earlier builds send none, and ignore it.
pub(crate) const HELD: HeaderName = HeaderName::from_static("th-held-ms");
/// Age of the knowledge in milliseconds, on an answer whose body is packed. It goes before the age in the body, which is kept
/// for several VMs.
pub(crate) const AGE: HeaderName = HeaderName::from_static("th-age-ms");
/// Present on a request whose sender cannot reach the store, and takes some changes where not all are known; and on an answer
/// that holds only some. Earlier builds ignore it.
pub(crate) const PARTIAL: HeaderName = HeaderName::from_static("th-partial");

/// Form of [`ItemChange`] on the wire. The revision is of the answer's era; 0 if the change was made in an earlier one and is
/// still in force.
#[derive(Serialize, Deserialize)]
pub(super) struct ChangePart {
    pub(super) key: String,
    #[serde(with = "serde_bytes")]
    pub(super) value: Option<Vec<u8>>,
    pub(super) revision: u64,
}

/// Asks for the changes after a revision.
#[derive(Serialize, Deserialize)]
pub(super) struct ChangesRequest {
    pub(super) after: u64,
    pub(super) wait_ms: u64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct ChangesAnswer {
    pub(super) changes: Vec<ChangePart>,
    /// Revision up to which the changes are complete.
    pub(super) at: u64,
    /// Time since the store had that revision.
    pub(super) age_ms: u64,
}

/// Reads a header of this module; `None` if it is absent or no number, as from a build that sends none.
pub(super) fn read_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    let value = headers.get(name)?;
    let number = value.to_str().ok().and_then(|it| it.parse().ok());
    if number.is_none() {
        log::warn!(target: "store", "{name}={value:?} Not a number; ignoring it.");
    }
    number
}
