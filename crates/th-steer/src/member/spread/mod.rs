//! The spread of bundles: heads on heartbeats, fetches on difference, parts by content hash.

mod budget;
mod job;
mod rule;
mod settings;
mod state;

pub use budget::ServeBudget;
pub use job::{FetchResult, ManifestInfo, Source};
pub use rule::{HeadOrder, compare_heads};
pub use settings::SpreadSettings;
pub use state::{NotReady, RejectedHead, Spread, SpreadAction};
