//! Dispatch of requests without a ticket: routing by host and path, a table of self-registered backend servers,
//! object-affine placement, queueing by rank, and budgets shared by all entry VMs without coordination.
//!
//! Each entry VM enforces its own part of a shared budget, so that the sum over all VMs stays within the limit.

mod addresses;
mod admission;
mod backend;
mod crashes;
mod decide;
mod dispatcher;
mod external_load;
mod fingerprint;
mod job;
mod limited;
mod links;
mod lookup;
mod lookups;
mod objects;
mod pace;
mod place;
mod process;
mod reach;
mod record;
mod remote_copy;
mod retry;
mod round_robin;
mod route;
mod server_share;
mod settings;
mod slot_limit;
mod spill;
mod statements;
mod table;
mod warm;
mod work;

pub use backend::{Attempt, AttemptOutcome};
pub use crashes::{CRASH_MEMORY, CrashReport};
pub use dispatcher::Dispatcher;
pub use fingerprint::Fingerprint;
pub use job::{Job, Placement, Rejection};
pub use links::vm_shares;
pub use lookup::{Topology, lookup_shares};
pub use lookups::{Sign, unresponsive_vms};
pub use objects::ObjectsInUse;
pub use pace::{Pace, rate_share};
pub use process::{BackendProcess, ProcessError};
pub use record::{BackendRecord, EntryRecord, Serving};
pub use retry::RetryWindow;
pub use round_robin::RoundRobin;
pub use route::{CallerLimits, Route, RouteTable, WeightedService};
pub use settings::DispatchSettings;
pub use warm::WarmSet;
pub use work::WorkTimes;
