//! Caches manifests and parts of bundles, from which bundles are assembled and which peers may fetch.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use th_protocol::{
    Bundle, BundleHead, Digest, Fault, Manifest, ManifestError, SignedManifest, assemble_bundle,
    check_bundle, check_rules, update_bundle,
};
use th_steer::member::ManifestInfo;
use thiserror::Error;

/// The result of assembling a bundle.
pub(crate) type Result<T, E = AssembleError> = std::result::Result<T, E>;

/// Why the cached parts do not make a valid bundle.
#[derive(Debug, Error)]
pub(crate) enum AssembleError {
    #[error("no manifest of version {} is cached", .0.version)]
    Unknown(BundleHead),
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    #[error("the bundle is faulty: {}", list(.0))]
    Faults(Vec<Fault>),
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|it| format!("{}: {}", it.path, it.cause)).collect();
    lines.join("; ")
}

/// A bundle that was assembled and passed all checks.
#[derive(Debug)]
struct AssembledBundle {
    head: BundleHead,
    manifest: Manifest,
    bundle: Arc<Bundle>,
}

/// Cached manifests and parts.
#[derive(Debug, Default)]
pub(crate) struct BundleCache {
    manifests: BTreeMap<BundleHead, (SignedManifest, Manifest)>,
    parts: BTreeMap<Digest, Bytes>,
    /// The bundle assembled last: the next one is made from it and the parts that differ.
    last_assembled: Option<AssembledBundle>,
}

/// Returns the bundle head of a signed manifest.
pub(crate) fn head_of(signed: &SignedManifest, manifest: &Manifest) -> BundleHead {
    let digest = signed.digest();
    BundleHead { version: manifest.version, digest }
}

impl BundleCache {
    /// Caches a manifest whose signature has been verified, and returns its head and the digests of its parts.
    pub(crate) fn add_manifest(
        &mut self,
        signed: SignedManifest,
        manifest: Manifest,
    ) -> ManifestInfo {
        let head = head_of(&signed, &manifest);
        let mut parts = Vec::new();
        for digest in manifest.parts.values() {
            parts.push(*digest);
        }
        self.manifests.insert(head, (signed, manifest));
        ManifestInfo { head, parts }
    }

    /// Caches a part under the digest of its bytes.
    pub(crate) fn add_part(&mut self, bytes: Bytes) {
        self.parts.insert(Digest::of(&bytes), bytes);
    }

    /// Returns the signed manifest of a bundle.
    pub(crate) fn manifest(&self, head: &BundleHead) -> Option<&SignedManifest> {
        self.manifests.get(head).map(|(signed, _)| signed)
    }

    /// Returns the bytes of a part.
    pub(crate) fn part(&self, digest: &Digest) -> Option<&Bytes> {
        self.parts.get(digest)
    }

    /// Returns whether the manifest and all parts of a bundle are cached.
    pub(crate) fn is_complete(&self, head: &BundleHead) -> bool {
        let Some((_, manifest)) = self.manifests.get(head) else {
            return false;
        };
        manifest.parts.values().all(|digest| self.parts.contains_key(digest))
    }

    /// Returns the bundles that contain a part.
    pub(crate) fn bundles_with(&self, digest: &Digest) -> Vec<BundleHead> {
        let digest = *digest;
        let mut heads = Vec::new();
        for (head, (_, manifest)) in &self.manifests {
            if manifest.parts.values().any(|it| *it == digest) {
                heads.push(*head);
            }
        }
        heads
    }

    /// Assembles a bundle and checks its content.
    pub(crate) fn assemble(&mut self, head: &BundleHead) -> Result<Arc<Bundle>> {
        if let Some(last) = self.last_assembled.as_ref().filter(|it| it.head == *head) {
            return Ok(Arc::clone(&last.bundle));
        }
        let (_, manifest) = self.manifests.get(head).ok_or(AssembleError::Unknown(*head))?;
        let (bundle, faults) = match &self.last_assembled {
            Some(last) => {
                let bundle = update_bundle(&last.bundle, &last.manifest, manifest, &self.parts)?;
                let faults = check_rules(&bundle);
                (bundle, faults)
            }
            None => {
                let bundle = assemble_bundle(manifest, &self.parts)?;
                let faults = check_bundle(&bundle);
                (bundle, faults)
            }
        };
        if !faults.is_empty() {
            return Err(AssembleError::Faults(faults));
        }
        let (manifest, bundle) = (manifest.clone(), Arc::new(bundle));
        self.last_assembled =
            Some(AssembledBundle { head: *head, manifest, bundle: Arc::clone(&bundle) });
        Ok(bundle)
    }

    pub(crate) fn remove_part(&mut self, digest: &Digest) {
        self.parts.remove(digest);
    }

    /// Removes the manifests of bundles older than `head`.
    pub(crate) fn remove_manifests_before(&mut self, head: &BundleHead) {
        self.manifests.retain(|it, _| head.version <= it.version);
    }
}
