//! The spread of bundles: heads on heartbeats, fetches on difference, parts by content hash.

mod budget;
mod job;
mod rule;
mod settings;
mod state;

pub use budget::Budget;
pub use job::{Fetched, ManifestInfo, Source};
pub use rule::{Meaning, judge};
pub use settings::SpreadSettings;
pub use state::{NotReady, RefusedHead, Spread, SpreadAction};
