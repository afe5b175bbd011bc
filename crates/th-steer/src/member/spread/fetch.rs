//! The fetch of one bundle by this VM.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{BundleHead, Digest, Time, VmId};

/// A source to fetch a bundle from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The store of the platform's service.
    Store,
    /// Another entry VM.
    Peer(VmId),
}

/// A manifest whose digest and signature are valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestInfo {
    /// The version of its bundle and its own digest.
    pub head: BundleHead,
    /// The digests of its parts.
    pub parts: Vec<Digest>,
}

/// The result of a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchResult<T> {
    /// The content was received, and its digest (for a manifest also its signature) is valid.
    Good(T),
    /// Content with a different digest was received.
    Corrupt,
    /// A manifest with the right digest was received, but its signature is invalid.
    Unsigned,
    /// The source does not have the content or is unreachable.
    Missing,
    /// The source has used up its budget for now.
    Busy,
}

/// A fetch that is not answered yet.
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
    /// The pending fetch of the manifest.
    pub(crate) manifest_fetch: Option<PendingFetch>,
    /// The pending fetches of parts.
    pub(crate) part_fetches: BTreeMap<Digest, PendingFetch>,
    /// Number of fetches so far, to use the sources in turn.
    pub(crate) turn: usize,
    /// Time before which no fetch is sent.
    pub(crate) not_before: Time,
    /// Whether a peer was busy and no peer has served a part since.
    pub(crate) peer_busy: bool,
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
            peer_busy: false,
        }
    }

    /// The missing parts, or `None` before the manifest is received.
    pub(crate) fn missing(&self, held: &BTreeSet<Digest>) -> Option<Vec<Digest>> {
        let manifest = self.manifest.as_ref()?;
        let mut missing = BTreeSet::new();
        for digest in &manifest.parts {
            if !held.contains(digest) {
                missing.insert(*digest);
            }
        }
        Some(missing.into_iter().collect())
    }

    /// Returns the next source in turn. The store, whose read rate is limited, is used only if no
    /// peer offers the bundle or peers are busy. `overdue` is used again only if it is the only one.
    pub(crate) fn next_source(
        &mut self,
        sources: &[Source],
        overdue: Option<&Source>,
    ) -> Option<Source> {
        let mut usable: Vec<&Source> = sources.iter().collect();
        if !self.peer_busy && usable.iter().any(|it| **it != Source::Store) {
            usable.retain(|it| **it != Source::Store);
        }
        if 1 < usable.len() {
            usable.retain(|it| Some(*it) != overdue);
        }
        if usable.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(usable[self.turn % usable.len()].clone())
    }
}
