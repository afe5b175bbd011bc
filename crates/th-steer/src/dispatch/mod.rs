//! Dispatch of requests that carry no ticket: routes by host and path, backend servers that register themselves,
//! placement by object, waiting by rank, and the budgets that all entry VMs keep together without talking.

mod away;
mod backend;
mod cold;
mod decide;
mod dispatcher;
mod job;
mod lend;
mod links;
mod lookup;
mod names;
mod place;
mod record;
mod retry;
mod route;
mod settings;
mod split;
mod table;
mod waiting;
mod warm;
mod work;

pub use backend::{Attempt, End};
pub use cold::ColdPace;
pub use dispatcher::Dispatcher;
pub use job::{Job, Placement, Refusal};
pub use links::vm_shares;
pub use lookup::{Topology, lookup_shares};
pub use record::{BackendRecord, EntryRecord, Serving};
pub use retry::RetryWindow;
pub use route::{CallerLimits, Route, RouteTable, Share};
pub use settings::DispatchSettings;
pub use split::Split;
pub use warm::WarmSet;
pub use work::WorkTimes;
