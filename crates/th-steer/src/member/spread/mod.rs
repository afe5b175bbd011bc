//! Distribution of bundles: heartbeats contain heads, VMs fetch newer bundles by parts, and parts
//! are identified by the digests of their content.

mod budget;
mod fetch;
mod head_order;
mod settings;
mod state;

pub use budget::ServeBudget;
pub use fetch::{FetchResult, ManifestInfo, Source};
pub use head_order::{HeadOrder, compare_heads};
pub use settings::SpreadSettings;
pub use state::{NotReady, RejectedHead, Spread, SpreadAction};
