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

/// The result of putting a bundle together.
pub(crate) type Result<T, E = ManifestError> = std::result::Result<T, E>;

/// Why a manifest and its parts make no bundle.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// The manifest is not what it should be.
    #[error("the manifest is malformed: {0}")]
    Malformed(String),
    /// The text names no part.
    #[error("{0:?} names no part of a bundle")]
    UnknownPart(String),
    /// A part was not given.
    #[error("part {name} ({digest}) is missing")]
    Missing {
        /// The part.
        name: PartName,
        /// Its digest.
        digest: Digest,
    },
    /// A part's bytes are not those that were signed.
    #[error("part {name} has digest {found}, not {wanted}")]
    Mismatch {
        /// The part.
        name: PartName,
        /// The digest that the manifest names.
        wanted: Digest,
        /// The digest of the bytes.
        found: Digest,
    },
    /// A part is over [`MAX_PART_BYTES`].
    #[error("part {name} has {size} bytes; the limit is {MAX_PART_BYTES}")]
    TooLarge {
        /// The part.
        name: PartName,
        /// Its size in bytes.
        size: usize,
    },
    /// A part's text is not what its name says.
    #[error("part {name} is malformed: {cause}")]
    MalformedPart {
        /// The part.
        name: PartName,
        /// What the parser said.
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
    /// A share of the classes.
    Classes(u8),
    /// Blocks whose addresses start with these bits, written as `0` and `1`.
    Blocks(String),
}

impl PartName {
    /// The field of the bundle that the part comes from.
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
    /// The digest of the manifest that it replaces, where the signer knew it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Digest>,
    /// The digest of each part.
    pub parts: BTreeMap<PartName, Digest>,
}

/// Puts a bundle together from the bytes of its parts, and checks each against its digest.
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

/// Refuses a manifest without a topology, or with two parts for the same blocks.
pub(crate) fn check_names(manifest: &Manifest) -> Result<()> {
    if !manifest.parts.contains_key(&PartName::Topology) {
        return Err(ManifestError::Malformed("it names no topology".into()));
    }
    let mut previous: Option<&str> = None;
    for name in manifest.parts.keys() {
        let PartName::Blocks(bits) = name else { continue };
        // In order, a prefix stands right before what it starts.
        if previous.is_some_and(|it| bits.starts_with(it)) {
            return Err(ManifestError::Malformed(format!("{name} overlaps another part")));
        }
        previous = Some(bits);
    }
    Ok(())
}

/// Adds the part of that name and digest.
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
        // `extend` costs as much as the part; `append` would rebuild the whole map.
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
            // Classes come first; many blocks share the text of one class's id.
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
    let cause = "it holds an entry of another part".to_owned();
    ManifestError::MalformedPart { name: name.clone(), cause }
}

fn read_part<T: DeserializeOwned>(name: &PartName, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes)
        .map_err(|e| ManifestError::MalformedPart { name: name.clone(), cause: e.to_string() })
}
