//! Dispatch of requests that carry no ticket: routes by host and path, backend servers that register themselves,
//! placement by object, waiting by rank, and the budgets that all entry VMs keep together without talking.

mod addresses;
mod backend;
mod cold;
mod decide;
mod dispatcher;
mod job;
mod links;
mod lookup;
mod place;
mod record;
mod remote_copy;
mod retry;
mod round_robin;
mod route;
mod settings;
mod spill;
mod table;
mod waiting;
mod warm;
mod work;

pub use backend::{Attempt, AttemptOutcome};
pub use cold::ColdLimiter;
pub use dispatcher::Dispatcher;
pub use job::{Job, Placement, Rejection};
pub use links::vm_shares;
pub use lookup::{Topology, lookup_shares};
pub use record::{BackendRecord, EntryRecord, Serving};
pub use retry::RetryWindow;
pub use round_robin::RoundRobin;
pub use route::{CallerLimits, Route, RouteTable, WeightedService};
pub use settings::DispatchSettings;
pub use warm::WarmSet;
pub use work::WorkTimes;
