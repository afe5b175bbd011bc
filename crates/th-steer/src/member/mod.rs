//! Membership of entry VMs, and the spread of bundles between them.

mod action;
mod headroom;
mod protocol;
mod rumor;
mod settings;
mod spread;
mod table;
mod watcher;

pub use action::{Content, MemberAction, MemberCounts, Seed};
pub use headroom::Headroom;
pub use protocol::Members;
pub use settings::MemberSettings;
pub use spread::{
    Budget, Fetched, ManifestInfo, Meaning, NotReady, RefusedHead, Source, Spread, SpreadAction,
    SpreadSettings, judge,
};
pub use watcher::watchers;
