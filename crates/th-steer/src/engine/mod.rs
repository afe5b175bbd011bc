//! All decisions of one entry VM, put together.

mod action;
mod call;
mod capacity;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod engine;
mod finish;
mod identity;
mod lookup;
pub mod notices;
mod place;
mod receive;
mod routing;
mod settings;
mod shards;
mod store;
mod tick;
mod view;

pub use action::{Action, ShardAction};
pub use call::{Call, Peer, Place, Receive, Run, Wake};
pub use engine::Engine;
pub use identity::Identity;
pub use settings::EngineSettings;
pub use view::View;
