//! The state of one VM in the distribution of bundles.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use th_protocol::{BundleHead, Digest, Millis, Time};
use thiserror::Error;

use super::{
    FetchResult, HeadOrder, ManifestInfo, Source, SpreadSettings, compare_heads,
    fetch::{BundleFetch, PendingFetch},
};

/// Maximum number of versions on offer that are remembered.
const MAX_OFFERS: usize = 4;
/// Maximum number of sources that are remembered for each version.
const MAX_SOURCES: usize = 4;
/// Maximum number of rejected heads that are retained for reports.
const MAX_REJECTED: usize = 16;

/// An action that the adapter must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpreadAction {
    /// Read the head from the store and pass it to `Spread::on_head`.
    ReadHead,
    /// Fetch a manifest, check it and pass the result to `Spread::on_manifest`.
    FetchManifest {
        /// The head of its bundle.
        head: BundleHead,
        /// The source to fetch it from.
        from: Source,
    },
    /// Fetch a part, check its digest, retain its bytes and pass the result to `Spread::on_part`.
    FetchPart {
        /// The digest of the part.
        digest: Digest,
        /// The source to fetch it from.
        from: Source,
    },
    /// Bring the bundle into force, since all its parts are present.
    Apply(BundleHead),
    /// Discard the bytes of a part that the bundle in force does not use.
    Drop(Digest),
}

/// A rejected head, and why it was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum RejectedHead {
    /// Its version is in force with different content.
    #[error("version {} has other content elsewhere", .0.version)]
    Conflict(BundleHead),
    /// Its manifest has no valid signature.
    #[error("version {} has no good signature", .0.version)]
    Unsigned(BundleHead),
}

/// Why a VM has no bundle in force yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotReady {
    /// No head was received from the store or a peer.
    #[error("neither the store nor a peer has named a bundle")]
    NoHead,
    /// A head is known, but its manifest is not received yet.
    #[error("waiting for the manifest of version {}", .0.version)]
    NoManifest(BundleHead),
    /// The manifest is known, but parts are missing.
    #[error("waiting for {missing} parts of version {}", .head.version)]
    NoParts {
        /// The head of the bundle.
        head: BundleHead,
        /// The number of missing parts.
        missing: usize,
    },
    /// All received heads were rejected; the latest one is given.
    #[error("the only bundles named were refused: {0}")]
    Rejected(RejectedHead),
}

/// The state of one VM in the distribution of bundles.
///
/// It holds only digests; the adapter holds the bytes.
#[derive(Debug, Clone)]
pub struct Spread {
    settings: SpreadSettings,
    in_force: Option<ManifestInfo>,
    parts: BTreeSet<Digest>,
    offers: BTreeMap<BundleHead, Vec<Source>>,
    rejected: Vec<RejectedHead>,
    fetch: Option<BundleFetch>,
    first_fetch: Time,
    next_read: Time,
}

impl Spread {
    /// Creates the state of a VM without a bundle, which sends its first requests after a random
    /// delay.
    pub fn new(settings: SpreadSettings, now: Time, rng: &mut impl Rng) -> Spread {
        let first_fetch = now.after(Millis(rng.random_range(0..=settings.jitter.0)));
        let next_read = now.after(Millis(rng.random_range(0..=settings.jitter.0)));
        Spread {
            settings,
            in_force: None,
            parts: BTreeSet::new(),
            offers: BTreeMap::new(),
            rejected: Vec::new(),
            fetch: None,
            first_fetch,
            next_read,
        }
    }

    /// The head of the bundle in force, for heartbeats.
    pub fn head(&self) -> Option<BundleHead> {
        self.in_force.as_ref().map(|manifest| manifest.head)
    }

    /// The manifest of the bundle in force, which peers may fetch.
    pub fn manifest(&self) -> Option<&ManifestInfo> {
        self.in_force.as_ref()
    }

    /// The rejected heads, latest last.
    pub fn rejected(&self) -> &[RejectedHead] {
        &self.rejected
    }

    /// Returns the head of the bundle in force, or why there is none.
    pub fn ready(&self) -> Result<BundleHead, NotReady> {
        if let Some(head) = self.head() {
            return Ok(head);
        }
        if let Some(fetch) = &self.fetch {
            let Some(missing) = fetch.missing(&self.parts) else {
                return Err(NotReady::NoManifest(fetch.head));
            };
            return Err(NotReady::NoParts { head: fetch.head, missing: missing.len() });
        }
        if let Some((head, _)) = self.offers.last_key_value() {
            return Err(NotReady::NoManifest(*head));
        }
        match self.rejected.last() {
            Some(rejected) => Err(NotReady::Rejected(*rejected)),
            None => Err(NotReady::NoHead),
        }
    }

    /// Handles a head from a heartbeat or from the store.
    pub fn on_head(&mut self, from: Source, head: BundleHead) {
        match compare_heads(self.head(), head) {
            HeadOrder::Same | HeadOrder::Older => return,
            HeadOrder::Conflict => return self.record_rejected(RejectedHead::Conflict(head)),
            HeadOrder::Newer => {}
        }
        if self.rejected.contains(&RejectedHead::Unsigned(head)) {
            return;
        }
        let sources = self.offers.entry(head).or_default();
        if !sources.contains(&from) && sources.len() < MAX_SOURCES {
            sources.push(from);
        }
        if MAX_OFFERS < self.offers.len() {
            self.offers.pop_first();
        }
    }

    /// Handles the result of fetching a manifest.
    pub fn on_manifest(
        &mut self,
        head: BundleHead,
        from: &Source,
        fetched: FetchResult<ManifestInfo>,
        now: Time,
        rng: &mut impl Rng,
    ) {
        match fetched {
            FetchResult::Good(manifest) if manifest.head == head => {
                let Some(fetch) = &mut self.fetch else { return };
                if fetch.head == head {
                    fetch.manifest = Some(manifest);
                    fetch.manifest_fetch = None;
                }
            }
            FetchResult::Unsigned => {
                self.record_rejected(RejectedHead::Unsigned(head));
                self.offers.remove(&head);
                self.fetch.take_if(|fetch| fetch.head == head);
            }
            FetchResult::Busy => self.back_off(now, rng),
            FetchResult::Good(_) | FetchResult::Corrupt | FetchResult::Missing => {
                self.remove_source(head, from)
            }
        }
    }

    /// Handles the result of fetching a part.
    pub fn on_part(
        &mut self,
        digest: Digest,
        from: &Source,
        fetched: FetchResult<()>,
        now: Time,
        rng: &mut impl Rng,
    ) {
        let Some(fetch) = &mut self.fetch else { return };
        fetch.part_fetches.remove(&digest);
        let head = fetch.head;
        match fetched {
            FetchResult::Good(()) => {
                fetch.peer_busy &= *from == Source::Store;
                self.parts.insert(digest);
            }
            FetchResult::Busy => self.back_off(now, rng),
            FetchResult::Corrupt | FetchResult::Unsigned | FetchResult::Missing => {
                self.remove_source(head, from)
            }
        }
    }

    /// Returns the actions that are due. `watcher` states whether this VM watches the store.
    pub fn tick(&mut self, watcher: bool, now: Time, rng: &mut impl Rng) -> Vec<SpreadAction> {
        let mut actions = Vec::new();
        if (watcher || self.in_force.is_none()) && self.next_read <= now {
            let half = self.settings.poll.0 / 2;
            self.next_read = now.after(Millis(half + rng.random_range(0..=half)));
            actions.push(SpreadAction::ReadHead);
        }
        if self.in_force.is_none() && now < self.first_fetch {
            return actions;
        }
        self.choose_fetch(now);
        self.start_fetches(now, &mut actions);
        self.apply(&mut actions);
        actions
    }

    /// Chooses the highest version on offer to fetch.
    fn choose_fetch(&mut self, now: Time) {
        let Some((highest, _)) = self.offers.last_key_value() else {
            self.fetch = None;
            return;
        };
        if self.fetch.as_ref().is_some_and(|fetch| fetch.head == *highest) {
            return;
        }
        self.fetch = Some(BundleFetch::new(*highest, now));
    }

    fn start_fetches(&mut self, now: Time, actions: &mut Vec<SpreadAction>) {
        let (timeout, transfer) = (self.settings.timeout, self.settings.transfer);
        let Some(fetch) = &mut self.fetch else { return };
        if now < fetch.not_before {
            return;
        }
        let Some(sources) = self.offers.get(&fetch.head) else { return };
        let is_overdue = |it: &PendingFetch, limit: Millis| limit <= now.since(it.sent);
        let Some(missing) = fetch.missing(&self.parts) else {
            if fetch.manifest_fetch.as_ref().is_some_and(|it| !is_overdue(it, timeout)) {
                return;
            }
            let overdue = fetch.manifest_fetch.as_ref().map(|it| it.from.clone());
            let Some(from) = fetch.next_source(sources, overdue.as_ref()) else { return };
            fetch.manifest_fetch = Some(PendingFetch { from: from.clone(), sent: now });
            actions.push(SpreadAction::FetchManifest { head: fetch.head, from });
            return;
        };
        for digest in missing.into_iter().take(self.settings.parallel) {
            if fetch.part_fetches.get(&digest).is_some_and(|it| !is_overdue(it, transfer)) {
                continue;
            }
            let overdue = fetch.part_fetches.get(&digest).map(|it| it.from.clone());
            let Some(from) = fetch.next_source(sources, overdue.as_ref()) else { return };
            fetch.part_fetches.insert(digest, PendingFetch { from: from.clone(), sent: now });
            actions.push(SpreadAction::FetchPart { digest, from });
        }
    }

    fn apply(&mut self, actions: &mut Vec<SpreadAction>) {
        let Some(fetch) = &self.fetch else { return };
        if fetch.missing(&self.parts).is_none_or(|missing| !missing.is_empty()) {
            return;
        }
        let Some(manifest) = fetch.manifest.clone() else { return };
        if compare_heads(self.head(), manifest.head) != HeadOrder::Newer {
            return;
        }
        let head = manifest.head;
        let used: BTreeSet<Digest> = manifest.parts.iter().copied().collect();
        self.in_force = Some(manifest);
        self.fetch = None;
        self.offers.retain(|offer, _| compare_heads(Some(head), *offer) == HeadOrder::Newer);
        actions.push(SpreadAction::Apply(head));
        for digest in self.parts.difference(&used) {
            actions.push(SpreadAction::Drop(*digest));
        }
        self.parts = used;
    }

    fn back_off(&mut self, now: Time, rng: &mut impl Rng) {
        let span = Millis(rng.random_range(0..=self.settings.backoff.0));
        let Some(fetch) = &mut self.fetch else { return };
        fetch.manifest_fetch = None;
        fetch.peer_busy = true;
        fetch.not_before = now.after(span);
    }

    /// Removes a source of a bundle, until the source offers the bundle again.
    fn remove_source(&mut self, head: BundleHead, from: &Source) {
        if let Some(fetch) = &mut self.fetch
            && fetch.manifest_fetch.as_ref().is_some_and(|it| it.from == *from)
        {
            fetch.manifest_fetch = None;
        }
        let Some(sources) = self.offers.get_mut(&head) else { return };
        sources.retain(|source| source != from);
        if sources.is_empty() {
            self.offers.remove(&head);
        }
    }

    fn record_rejected(&mut self, rejected: RejectedHead) {
        if self.rejected.contains(&rejected) {
            return;
        }
        if MAX_REJECTED <= self.rejected.len() {
            self.rejected.remove(0);
        }
        self.rejected.push(rejected);
    }
}
