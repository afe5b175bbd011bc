//! The state of one VM in the spread of bundles.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use th_protocol::{BundleHead, Digest, Millis, Time};
use thiserror::Error;

use super::{
    FetchResult, HeadOrder, ManifestInfo, Source, SpreadSettings, compare_heads,
    fetch::{BundleFetch, PendingFetch},
};

/// Versions that are remembered as on offer.
const MAX_OFFERS: usize = 4;
/// Sources that are remembered for each.
const MAX_SOURCES: usize = 4;
/// Refusals that are kept for reports.
const MAX_REJECTED: usize = 16;

/// What an adapter must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpreadAction {
    /// Read the head in the store; the answer goes to `Spread::on_head`.
    ReadHead,
    /// Fetch a manifest, check it, and give it to `Spread::on_manifest`.
    FetchManifest {
        /// Which one.
        head: BundleHead,
        /// From where.
        from: Source,
    },
    /// Fetch a part, check its hash, keep its bytes, and tell `Spread::on_part`.
    FetchPart {
        /// Which one.
        hash: Digest,
        /// From where.
        from: Source,
    },
    /// Put the bundle in force: all its parts are here.
    Apply(BundleHead),
    /// Forget the bytes of a part that the bundle in force does not use.
    Drop(Digest),
}

/// A head that was refused, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum RejectedHead {
    /// Other content under the version in force.
    #[error("version {} has other content elsewhere", .0.version)]
    Conflict(BundleHead),
    /// No good signature.
    #[error("version {} has no good signature", .0.version)]
    Unsigned(BundleHead),
}

/// Why a VM has no bundle in force yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotReady {
    /// Neither the store nor a peer named a bundle.
    #[error("neither the store nor a peer has named a bundle")]
    NoHead,
    /// A bundle is known, its manifest is not here.
    #[error("waiting for the manifest of version {}", .0.version)]
    NoManifest(BundleHead),
    /// Parts are missing.
    #[error("waiting for {missing} parts of version {}", .head.version)]
    NoParts {
        /// The bundle.
        head: BundleHead,
        /// How many parts.
        missing: usize,
    },
    /// All that was named was refused.
    #[error("the only bundles named were refused: {0}")]
    Rejected(RejectedHead),
}

/// The state of one VM in the spread of bundles. It holds hashes; the adapter holds the bytes.
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
    /// A VM that holds nothing and asks after a random wait.
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

    /// The bundle in force, for heartbeats.
    pub fn head(&self) -> Option<BundleHead> {
        self.in_force.as_ref().map(|manifest| manifest.head)
    }

    /// The manifest in force, which peers may fetch.
    pub fn manifest(&self) -> Option<&ManifestInfo> {
        self.in_force.as_ref()
    }

    /// The heads that were refused, latest last.
    pub fn rejected(&self) -> &[RejectedHead] {
        &self.rejected
    }

    /// The bundle in force, or why there is none.
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

    /// Takes a head from a heartbeat or from the store.
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

    /// Takes the end of a manifest's fetch.
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

    /// Takes the end of a part's fetch.
    pub fn on_part(
        &mut self,
        hash: Digest,
        from: &Source,
        fetched: FetchResult<()>,
        now: Time,
        rng: &mut impl Rng,
    ) {
        let Some(fetch) = &mut self.fetch else { return };
        fetch.part_fetches.remove(&hash);
        let head = fetch.head;
        match fetched {
            FetchResult::Good(()) => {
                fetch.is_peer_busy &= *from == Source::Store;
                self.parts.insert(hash);
            }
            FetchResult::Busy => self.back_off(now, rng),
            FetchResult::Corrupt | FetchResult::Unsigned | FetchResult::Missing => {
                self.remove_source(head, from)
            }
        }
    }

    /// Gives what is due. `watcher` says whether this VM watches the store.
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

    /// Works on the highest version on offer.
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
        let timeout = self.settings.timeout;
        let Some(fetch) = &mut self.fetch else { return };
        if now < fetch.not_before {
            return;
        }
        let Some(sources) = self.offers.get(&fetch.head) else { return };
        let is_overdue = |fetch: &PendingFetch| timeout <= now.since(fetch.sent);
        let Some(missing) = fetch.missing(&self.parts) else {
            if fetch.manifest_fetch.as_ref().is_some_and(|it| !is_overdue(it)) {
                return;
            }
            let Some(from) = fetch.next_source(sources) else { return };
            fetch.manifest_fetch = Some(PendingFetch { from: from.clone(), sent: now });
            actions.push(SpreadAction::FetchManifest { head: fetch.head, from });
            return;
        };
        for hash in missing.into_iter().take(self.settings.parallel) {
            if fetch.part_fetches.get(&hash).is_some_and(|it| !is_overdue(it)) {
                continue;
            }
            let Some(from) = fetch.next_source(sources) else { return };
            fetch.part_fetches.insert(hash, PendingFetch { from: from.clone(), sent: now });
            actions.push(SpreadAction::FetchPart { hash, from });
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
        for hash in self.parts.difference(&used) {
            actions.push(SpreadAction::Drop(*hash));
        }
        self.parts = used;
    }

    fn back_off(&mut self, now: Time, rng: &mut impl Rng) {
        let span = Millis(rng.random_range(0..=self.settings.backoff.0));
        let Some(fetch) = &mut self.fetch else { return };
        fetch.manifest_fetch = None;
        fetch.is_peer_busy = true;
        fetch.not_before = now.after(span);
    }

    /// Forgets that a source offers a bundle; it may offer it again.
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
