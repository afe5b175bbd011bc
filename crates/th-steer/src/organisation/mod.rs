//! Organisations, on whose behalf callers make requests: their keys, what each may do, and their shares of the slots
//! where there are too few.

mod admission;
mod fair;
mod key;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod organisation;
mod table;

pub use admission::{Denial, admit};
pub(crate) use fair::FairShares;
pub use key::{KeyDigest, KeyDigestError};
pub use organisation::Organisation;
pub use table::{OrganisationTable, TableError};
