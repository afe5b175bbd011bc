//! Membership of entry VMs, and the distribution of bundles between them.

mod action;
mod headroom;
mod protocol;
mod rumor;
mod settings;
mod spread;
mod table;
mod watcher;

pub use action::{HeartbeatContent, MemberAction, MemberCounts, Seed};
pub use headroom::Headroom;
pub use protocol::Members;
pub use settings::MemberSettings;
pub use spread::{
    FetchResult, HeadOrder, ManifestInfo, NotReady, RejectedHead, ServeBudget, Source, Spread,
    SpreadAction, SpreadSettings, compare_heads,
};
pub use watcher::choose_watchers;
