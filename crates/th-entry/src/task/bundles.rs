//! Fetches bundles from the store and from peers, verifies them, and puts them in force.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use th_platform::{Key, Platform};
use th_protocol::{
    BundleAnswer, BundleHead, BundleRequest, Digest, OperatorId, SignedManifest, layout,
};
use th_steer::member::{FetchResult, ManifestInfo, Source, SpreadAction};

use crate::{
    bundle_cache::head_of,
    entry::Entry,
    peer::{Route, client::call},
};

/// Carries out one action of the distribution of bundles among entry VMs.
pub(crate) async fn perform(entry: &Arc<Entry>, action: SpreadAction) {
    match action {
        SpreadAction::ReadHead => read_head(entry).await,
        SpreadAction::FetchManifest { head, from } => fetch_manifest(entry, head, from).await,
        SpreadAction::FetchPart { digest, from } => fetch_part(entry, digest, from).await,
        SpreadAction::Apply(head) => apply(entry, head).await,
        SpreadAction::Drop(digest) => entry.bundle_cache().remove_part(&digest),
    }
}

/// Reads the signed manifest at the store's head key.
async fn read_stored_head(entry: &Entry) -> Option<SignedManifest> {
    let found = match entry.store.read(&Key::new(layout::HEAD)).await {
        Ok(found) => found?,
        Err(error) => {
            log::debug!(target: "store", "The bundle head cannot be read from the store: {error}.");
            return None;
        }
    };
    match SignedManifest::from_json(found.value.as_deref()?) {
        Ok(signed) => Some(signed),
        Err(error) => {
            log::warn!(target: "bundle", "The store's head is refused: {error}.");
            None
        }
    }
}

/// Reads the store's head and reports it to the engine, unless it is malformed or older than the bundle in force.
pub(crate) async fn read_head(entry: &Arc<Entry>) {
    let Some(signed) = read_stored_head(entry).await else {
        return;
    };
    let Ok(manifest) = signed.unverified() else {
        log::warn!(target: "bundle", "The store's head is refused: its manifest is malformed.");
        return;
    };
    let in_force =
        entry.with_engine(|engine, _| engine.bundle().map(|it| it.version)).unwrap_or_default();
    if manifest.version < in_force {
        let version = manifest.version;
        log::warn!(target: "bundle", "The store's head is refused: version {version} is older than {in_force}.");
        return;
    }
    let head = head_of(&signed, &manifest);
    entry.with_engine(|engine, _| engine.on_head(Source::Store, head));
    entry.tick_now.notify_one();
}

/// Returns the public keys of the operators who may sign the next bundle.
fn trusted_operators(entry: &Entry) -> BTreeMap<OperatorId, String> {
    let in_force = entry.with_engine(|engine, _| engine.bundle().map(|it| it.operators.clone()));
    in_force.unwrap_or_else(|| entry.settings.keys.operators.clone())
}

async fn fetch_manifest(entry: &Arc<Entry>, head: BundleHead, from: Source) {
    let fetched = match &from {
        Source::Store => Ok(read_stored_head(entry).await),
        Source::Peer(_) => {
            let request = BundleRequest::Manifest(head);
            let content = fetch_from_peer(entry, &from, &request).await;
            content.map(|it| it.and_then(|it| SignedManifest::from_json(&it).ok()))
        }
    };
    let fetched = match fetched {
        Ok(Some(signed)) => check_manifest(entry, head, signed),
        Ok(None) => FetchResult::Missing,
        Err(failure) => failure,
    };
    entry.with_engine(|engine, now| engine.on_manifest(head, &from, fetched, now));
    entry.tick_now.notify_one();
}

fn check_manifest(
    entry: &Entry,
    head: BundleHead,
    signed: SignedManifest,
) -> FetchResult<ManifestInfo> {
    if signed.digest() != head.digest {
        return FetchResult::Corrupt;
    }
    let in_force =
        entry.with_engine(|engine, _| engine.bundle().map(|it| it.version)).unwrap_or_default();
    let manifest = match signed.verify_after(in_force, &trusted_operators(entry)) {
        Ok(manifest) => manifest,
        Err(error) => {
            log::warn!(target: "bundle", "Version {} is refused: {error}.", head.version);
            return FetchResult::Unsigned;
        }
    };
    if manifest.version != head.version {
        return FetchResult::Corrupt;
    }
    let info = entry.bundle_cache().add_manifest(signed, manifest);
    if is_faulty(entry, &head) { FetchResult::Unsigned } else { FetchResult::Good(info) }
}

/// Returns whether all parts of a bundle are cached but do not make a valid bundle.
fn is_faulty(entry: &Entry, head: &BundleHead) -> bool {
    let mut bundle_cache = entry.bundle_cache();
    if !bundle_cache.is_complete(head) {
        return false;
    }
    match bundle_cache.assemble(head) {
        Ok(_) => false,
        Err(error) => {
            log::warn!(target: "bundle", "Version {} is refused: {error}.", head.version);
            true
        }
    }
}

async fn fetch_part(entry: &Arc<Entry>, digest: Digest, from: Source) {
    let fetched = match &from {
        Source::Store => Ok(read_stored_part(entry, &digest).await),
        Source::Peer(_) => fetch_from_peer(entry, &from, &BundleRequest::Part(digest)).await,
    };
    let fetched = match fetched {
        Ok(Some(bytes)) if Digest::of(&bytes) == digest => {
            entry.bundle_cache().add_part(bytes);
            FetchResult::Good(())
        }
        Ok(Some(_)) => {
            log::warn!(target: "bundle", "Part {digest} is refused: it has wrong bytes.");
            FetchResult::Corrupt
        }
        Ok(None) => FetchResult::Missing,
        Err(failure) => failure,
    };
    reject_faulty(entry, &digest, &from);
    entry.with_engine(|engine, now| engine.on_bundle_part(digest, &from, fetched, now));
    entry.tick_now.notify_one();
}

/// Rejects each bundle that this part completes and whose content is faulty.
fn reject_faulty(entry: &Entry, digest: &Digest, from: &Source) {
    let heads = entry.bundle_cache().bundles_with(digest);
    for head in heads {
        if is_faulty(entry, &head) {
            entry.with_engine(|engine, now| {
                engine.on_manifest(head, from, FetchResult::Unsigned, now)
            });
        }
    }
}

async fn read_stored_part(entry: &Entry, digest: &Digest) -> Option<Bytes> {
    let key = Key::new(layout::part_key(digest));
    let found = entry.store.read(&key).await.ok()??;
    found.value.map(Bytes::from)
}

/// Fetches bytes from a peer. `Ok(None)` means that the peer lacks them; the error is the outcome of a failed fetch.
async fn fetch_from_peer<T>(
    entry: &Entry,
    from: &Source,
    request: &BundleRequest,
) -> Result<Option<Bytes>, FetchResult<T>> {
    let address: Option<SocketAddr> = match from {
        Source::Store => None,
        Source::Peer(vm) => entry.with_engine(|engine, _| engine.peer_address(vm)),
    };
    let Some(address) = address else {
        return Err(FetchResult::Missing);
    };
    match call::<_, BundleAnswer>(entry, Route::Bundle, address, request).await {
        Ok(answer) => Ok(answer.content.map(Bytes::from)),
        Err(error) if error.is_busy => Err(FetchResult::Busy),
        Err(error) => {
            log::debug!(target: "peer", "Fetching a bundle's manifest or part from a peer failed: {error}.");
            Err(FetchResult::Missing)
        }
    }
}

async fn apply(entry: &Arc<Entry>, head: BundleHead) {
    let bundle = {
        let mut bundle_cache = entry.bundle_cache();
        bundle_cache.remove_manifests_before(&head);
        bundle_cache.assemble(&head)
    };
    let bundle = match bundle {
        Ok(bundle) => bundle,
        Err(error) => {
            log::error!(target: "bundle", "Version {} cannot be applied: {error}.", head.version);
            return;
        }
    };
    if entry.with_engine(|engine, now| engine.apply(bundle, now)) {
        log::info!(target: "bundle", "Version {} is in force.", head.version);
    }
    entry.tick_now.notify_one();
}
