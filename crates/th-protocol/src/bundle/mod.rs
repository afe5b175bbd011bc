//! The bundle: the configuration that operators sign and roll out.

mod check;
mod digest;
mod fault;
pub mod layout;
mod manifest;
mod part;
mod rules;
mod sign;
mod spec;
mod unique;
mod update;

pub use check::{check_bundle, check_rules, parse_bundle};
pub use digest::{Digest, DigestError};
pub use fault::Fault;
pub use manifest::{Manifest, ManifestError, PartName, assemble_bundle};
pub use part::{CLASS_PARTS, MAX_PART_BLOCKS, SplitBundle, split_bundle};
pub use sign::{OperatorChange, SignError, SignedBundle, SignedManifest, Signer, public_key};
pub use spec::{
    Backend, Bundle, Class, Link, Operation, Region, Service, Shift, Slo, Target, Zone,
};
pub use update::update_bundle;
