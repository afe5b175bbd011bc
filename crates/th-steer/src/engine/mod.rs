//! The decision engine of one entry VM: routing, capacity, tickets, queues, retries and membership.

mod action;
mod bundles;
mod call;
mod capacity;
mod claims;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod engine;
mod finish;
mod grants;
mod identity;
mod lookup;
pub mod notices;
mod place;
mod plan;
mod receive;
mod routing;
mod settings;
mod shards;
mod store;
mod tick;
mod view;

pub use action::{Action, ShardAction};
pub use call::{Call, Peer, Placement, ReceiveOutcome, Run, Wake};
pub use engine::Engine;
pub use identity::Identity;
pub use settings::EngineSettings;
pub use shards::Claims;
pub use view::View;
