//! Ids, units, the bundle and the messages that the system's processes exchange.

mod block;
mod bundle;
pub mod header;
mod ids;
mod load;
mod lookup;
mod peer;
mod units;
mod verdict;

pub use block::{Block, BlockError};
pub use bundle::{
    Backend, Bundle, Class, Link, Operation, Region, Service, Shift, Slo, Target, Zone,
};
pub use ids::{
    BackendId, ClassId, CustomerId, IdError, LinkId, MAX_ID_BYTES, OperationId, OperatorId,
    RegionId, ServiceId, VmId, ZoneId,
};
pub use load::LoadReport;
pub use lookup::{EntryAddress, LookupAnswer};
pub use peer::{
    BundleAnswer, BundleHead, BundleRequest, CheckAnswer, ContentHash, HeadroomDigest, Heartbeat,
    IndirectCheck, LeavingNotice, LeavingSource, MemberState, PeerRecord,
};
pub use units::{
    AttemptId, Bytes, Connections, Incarnation, Mbit, Millis, Permille, Revision, Slots, Time,
    UnitError, Version,
};
pub use verdict::{Notice, Reason, Verdict, VerdictError};
