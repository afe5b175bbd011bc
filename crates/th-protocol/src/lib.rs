//! Ids, units, the configuration bundle and the messages that the system's processes exchange.

mod block;
mod bundle;
pub mod header;
mod ids;
mod load;
mod lookup;
mod moment;
mod peer;
mod rate;
mod status;
mod units;
mod verdict;
mod vm;

pub use block::{Block, BlockError};
pub use bundle::{
    Backend, Bundle, CLASS_PARTS, Class, Digest, DigestError, Fault, Link, MAX_PART_BLOCKS,
    Manifest, ManifestError, Operation, OperatorChange, PartName, Region, Service, Shift,
    SignError, SignedBundle, SignedManifest, Signer, Slo, SplitBundle, Target, Zone,
    assemble_bundle, check_bundle, check_rules, layout, parse_bundle, public_key, split_bundle,
    update_bundle,
};
pub use ids::{
    BackendId, ClassId, CustomerId, IdError, LinkId, MAX_ID_BYTES, OperationId, OperatorId,
    OrganisationId, RegionId, ServiceId, VmId, ZoneId,
};
pub use load::LoadReport;
pub use lookup::{EntryAddress, LookupAnswer};
pub use moment::{MomentError, StoreMoment};
pub use peer::{
    BundleAnswer, BundleHead, BundleRequest, CheckAnswer, HeadroomDigest, Heartbeat, IndirectCheck,
    LeavingNotice, LeavingSource, MemberState, PeerRecord,
};
pub use rate::{RateError, RequestRate};
pub use status::Status;
pub use units::{
    AttemptId, Bytes, Connections, Era, Incarnation, Mbit, Millis, Permille, Revision, Slots, Time,
    UnitError, Version,
};
pub use verdict::{Notice, Reason, Verdict, VerdictError};
pub use vm::{VmRecord, VmRole, VmState};
