//! The manifest: the version of a bundle and the digests of its parts.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{
    Block, ClassId, ServiceId, Version,
    bundle::{
        digest::Digest,
        layout::MAX_PART_BYTES,
        part::{CLASS_PARTS, Topology, class_shard},
        spec::{Bundle, Class},
    },
};

/// The result of assembling a bundle.
pub(crate) type Result<T, E = ManifestError> = std::result::Result<T, E>;

/// An error from assembling a bundle from a manifest and its parts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// The manifest is malformed.
    #[error("the manifest is malformed: {0}")]
    Malformed(String),
    /// The text is not the name of a part.
    #[error("{0:?} is not the name of a part of a bundle")]
    UnknownPart(String),
    /// A part that the manifest lists is missing.
    #[error("part {name} ({digest}) is missing")]
    Missing {
        /// The part.
        name: PartName,
        /// Its digest.
        digest: Digest,
    },
    /// A part's bytes do not match the digest in the signed manifest.
    #[error("part {name} has digest {found}, not {wanted}")]
    Mismatch {
        /// The part.
        name: PartName,
        /// The digest in the manifest.
        wanted: Digest,
        /// The digest of the bytes.
        found: Digest,
    },
    /// A part is larger than [`MAX_PART_BYTES`].
    #[error("part {name} has {size} bytes; the limit is {MAX_PART_BYTES}")]
    TooLarge {
        /// The part.
        name: PartName,
        /// Its size in bytes.
        size: usize,
    },
    /// A part's text cannot be parsed, or has entries that do not belong to the part.
    #[error("part {name} is malformed: {cause}")]
    MalformedPart {
        /// The part.
        name: PartName,
        /// The underlying error.
        cause: String,
    },
}

/// The name of a part.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum PartName {
    /// Regions, zones, links and operators.
    Topology,
    /// One service.
    Service(ServiceId),
    /// One shard of the classes.
    Classes(u8),
    /// Blocks whose addresses start with these bits, written as the characters `0` and `1`.
    Blocks(String),
}

impl PartName {
    /// Returns the path of the bundle's field that the part holds.
    pub(crate) fn path(&self) -> String {
        match self {
            PartName::Topology => "regions".into(),
            PartName::Service(id) => format!("services.{id}"),
            PartName::Classes(_) => "classes".into(),
            PartName::Blocks(_) => "blocks".into(),
        }
    }
}

impl fmt::Display for PartName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PartName::Topology => f.write_str("topology"),
            PartName::Service(id) => write!(f, "service/{id}"),
            PartName::Classes(shard) => write!(f, "classes/{shard}"),
            PartName::Blocks(bits) => write!(f, "blocks/{bits}"),
        }
    }
}

impl FromStr for PartName {
    type Err = ManifestError;

    fn from_str(text: &str) -> Result<PartName> {
        let unknown = || ManifestError::UnknownPart(text.to_owned());
        if text == "topology" {
            return Ok(PartName::Topology);
        }
        let (kind, rest) = text.split_once('/').ok_or_else(unknown)?;
        match kind {
            "service" => rest.parse().map(PartName::Service).map_err(|_| unknown()),
            "classes" => {
                let shard = rest.parse::<u8>().map_err(|_| unknown())?;
                if CLASS_PARTS <= shard { Err(unknown()) } else { Ok(PartName::Classes(shard)) }
            }
            "blocks" if rest.len() <= 32 && rest.bytes().all(|b| b == b'0' || b == b'1') => {
                Ok(PartName::Blocks(rest.to_owned()))
            }
            _ => Err(unknown()),
        }
    }
}

impl TryFrom<String> for PartName {
    type Error = ManifestError;

    fn try_from(text: String) -> Result<PartName> {
        text.parse()
    }
}

impl From<PartName> for String {
    fn from(name: PartName) -> String {
        name.to_string()
    }
}

/// The version of a bundle and the digests of its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The bundle's version.
    pub version: Version,
    /// The digest of the manifest that this one replaces, if the signer knew it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Digest>,
    /// The digest of each part.
    pub parts: BTreeMap<PartName, Digest>,
}

/// Assembles a bundle from the bytes of its parts, and checks each part against its digest.
pub fn assemble_bundle<B: AsRef<[u8]>>(
    manifest: &Manifest,
    parts: &BTreeMap<Digest, B>,
) -> Result<Bundle> {
    check_names(manifest)?;
    let mut bundle = Bundle { version: manifest.version, ..Bundle::default() };
    for (name, digest) in &manifest.parts {
        add_part(&mut bundle, name, digest, parts)?;
    }
    Ok(bundle)
}

/// Rejects a manifest without a topology part, or with two parts for the same blocks.
pub(crate) fn check_names(manifest: &Manifest) -> Result<()> {
    if !manifest.parts.contains_key(&PartName::Topology) {
        return Err(ManifestError::Malformed("it names no topology".into()));
    }
    let mut previous: Option<&str> = None;
    for name in manifest.parts.keys() {
        let PartName::Blocks(bits) = name else { continue };
        // Names are sorted, so a prefix directly precedes the names that start with it.
        if previous.is_some_and(|it| bits.starts_with(it)) {
            return Err(ManifestError::Malformed(format!("{name} overlaps another part")));
        }
        previous = Some(bits);
    }
    Ok(())
}

/// Adds the part with this name and digest to the bundle.
pub(crate) fn add_part<B: AsRef<[u8]>>(
    bundle: &mut Bundle,
    name: &PartName,
    digest: &Digest,
    parts: &BTreeMap<Digest, B>,
) -> Result<()> {
    let Some(bytes) = parts.get(digest) else {
        return Err(ManifestError::Missing { name: name.clone(), digest: *digest });
    };
    insert_part(bundle, name, *digest, bytes.as_ref())
}

fn insert_part(bundle: &mut Bundle, name: &PartName, wanted: Digest, bytes: &[u8]) -> Result<()> {
    if MAX_PART_BYTES < bytes.len() {
        return Err(ManifestError::TooLarge { name: name.clone(), size: bytes.len() });
    }
    let found = Digest::of(bytes);
    if found != wanted {
        return Err(ManifestError::Mismatch { name: name.clone(), wanted, found });
    }
    match name {
        PartName::Topology => {
            let it: Topology = read_part(name, bytes)?;
            bundle.regions = it.regions;
            bundle.zones = it.zones;
            bundle.links = it.links;
            bundle.operators = it.operators;
        }
        PartName::Service(id) => {
            bundle.services.insert(id.clone(), read_part(name, bytes)?);
        }
        // `extend` costs time in proportion to the part; `append` would rebuild the whole map.
        PartName::Classes(shard) => {
            let classes: BTreeMap<ClassId, Class> = read_part(name, bytes)?;
            if classes.keys().any(|it| class_shard(it) != *shard) {
                return Err(foreign_entry_error(name));
            }
            bundle.classes.extend(classes);
        }
        PartName::Blocks(bits) => {
            let mut blocks: BTreeMap<Block, ClassId> = read_part(name, bytes)?;
            if blocks.keys().any(|it| !format!("{:032b}", it.base()).starts_with(bits)) {
                return Err(foreign_entry_error(name));
            }
            // Class parts were added first, since names are sorted. Reusing their ids lets all
            // blocks of a class share one allocation of its id.
            for class in blocks.values_mut() {
                if let Some((known, _)) = bundle.classes.get_key_value(class) {
                    *class = known.clone();
                }
            }
            bundle.blocks.extend(blocks);
        }
    }
    Ok(())
}

fn foreign_entry_error(name: &PartName) -> ManifestError {
    let cause = "it has an entry that belongs to another part".to_owned();
    ManifestError::MalformedPart { name: name.clone(), cause }
}

fn read_part<T: DeserializeOwned>(name: &PartName, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes)
        .map_err(|e| ManifestError::MalformedPart { name: name.clone(), cause: e.to_string() })
}
