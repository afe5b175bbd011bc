//! One bundle on its way to this VM.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{BundleHead, Digest, Time, VmId};

/// Where to fetch from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The platform's service.
    Store,
    /// Another entry VM.
    Peer(VmId),
}

/// A manifest whose hash and signature are good.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestInfo {
    /// Its version and its own hash.
    pub head: BundleHead,
    /// The hashes of its parts.
    pub parts: Vec<Digest>,
}

/// How a fetch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchResult<T> {
    /// The content came, and its hash (and for a manifest its signature) is good.
    Good(T),
    /// Content came whose hash is another one.
    Corrupt,
    /// A manifest with that hash came, but its signature is not good.
    Unsigned,
    /// The source does not hold it, or could not be reached.
    Missing,
    /// The source has no budget left at present.
    Busy,
}

/// A fetch that was not answered yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingFetch {
    pub(crate) from: Source,
    pub(crate) sent: Time,
}

/// The bundle that is being fetched.
#[derive(Debug, Clone)]
pub(crate) struct BundleFetch {
    pub(crate) head: BundleHead,
    pub(crate) manifest: Option<ManifestInfo>,
    /// The fetch of the manifest.
    pub(crate) manifest_fetch: Option<PendingFetch>,
    /// The fetches of parts.
    pub(crate) part_fetches: BTreeMap<Digest, PendingFetch>,
    /// Counts fetches, to take sources in turn.
    pub(crate) turn: usize,
    /// No fetch before this time.
    pub(crate) not_before: Time,
    /// Whether a peer was busy and no part has come since.
    pub(crate) is_peer_busy: bool,
}

impl BundleFetch {
    pub(crate) fn new(head: BundleHead, now: Time) -> BundleFetch {
        BundleFetch {
            head,
            manifest: None,
            manifest_fetch: None,
            part_fetches: BTreeMap::new(),
            turn: 0,
            not_before: now,
            is_peer_busy: false,
        }
    }

    /// The parts that are still missing, or `None` before the manifest came.
    pub(crate) fn missing(&self, held: &BTreeSet<Digest>) -> Option<Vec<Digest>> {
        let manifest = self.manifest.as_ref()?;
        let mut missing = BTreeSet::new();
        for hash in &manifest.parts {
            if !held.contains(hash) {
                missing.insert(*hash);
            }
        }
        Some(missing.into_iter().collect())
    }

    /// The next source in turn. The store, whose reads are few, only helps out where no peer
    /// offers the bundle or where peers are busy.
    pub(crate) fn next_source(&mut self, sources: &[Source]) -> Option<Source> {
        let mut usable: Vec<&Source> = sources.iter().collect();
        if !self.is_peer_busy && usable.iter().any(|it| **it != Source::Store) {
            usable.retain(|it| **it != Source::Store);
        }
        if usable.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(usable[self.turn % usable.len()].clone())
    }
}
