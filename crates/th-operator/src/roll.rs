//! Rolls a bundle: writes its parts, then replaces the head with a compare-and-swap.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use th_platform::{Entry, Key, Platform, PlatformError, WriteOutcome};
use th_protocol::{
    Bundle, Digest, Manifest, ManifestError, Millis, OperatorId, PartName, Revision, SignError,
    SignedBundle, SignedManifest, Version, assemble_bundle, check_bundle, layout,
};
use thiserror::Error;
use tokio::time;

use crate::{
    outcome::{Outcome, Rejection},
    plan::{Head, Plan, find_rolled, plan},
};

/// The result of reading the bundle in force, or of one phase of a roll.
pub(crate) type Result<T, E = RollError> = std::result::Result<T, E>;

/// An error on reading the bundle in force.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum RollError {
    /// The platform's service did not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The head is not a valid signed manifest.
    #[error(transparent)]
    Sign(#[from] SignError),
    /// The parts do not form the bundle that the manifest describes.
    #[error(transparent)]
    Parts(#[from] ManifestError),
}

impl From<RollError> for Outcome {
    fn from(error: RollError) -> Outcome {
        match error {
            RollError::Platform(e) => Outcome::Unreachable(e.to_string()),
            RollError::Sign(e) => Outcome::Rejected(Rejection::MalformedHead(e.to_string())),
            RollError::Parts(e) => Outcome::Rejected(Rejection::MalformedHead(e.to_string())),
        }
    }
}

/// Retry settings of a roll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RollSettings {
    /// Attempts of each call.
    pub attempts: u32,
    /// Delay before the second attempt. It doubles with each further attempt, up to 64 times this.
    pub retry_delay: Millis,
}

impl Default for RollSettings {
    fn default() -> RollSettings {
        RollSettings { attempts: 4, retry_delay: Millis(200) }
    }
}

/// Rolls `signed`. Repeating the call is safe, whatever the outcome.
pub async fn roll(
    platform: &Arc<dyn Platform>,
    signed: &SignedBundle,
    settings: RollSettings,
) -> Outcome {
    let (manifest, bundle) = match validate(signed) {
        Ok(it) => it,
        Err(rejection) => return Outcome::Rejected(rejection),
    };
    let roller = Roller { platform, signed, settings, version: manifest.version };
    match roller.run(&manifest, &bundle.operators).await {
        Ok(outcome) => outcome,
        Err(e) => e.into(),
    }
}

/// Returns the manifest and bundle that `signed` holds, if it is complete and passes validation.
fn validate(signed: &SignedBundle) -> Result<(Manifest, Bundle), Rejection> {
    let manifest = signed.head.unverified()?;
    let bundle = assemble_bundle(&manifest, &signed.parts)?;
    let faults = check_bundle(&bundle);
    if faults.is_empty() { Ok((manifest, bundle)) } else { Err(Rejection::Faults(faults)) }
}

struct Roller<'a> {
    platform: &'a Arc<dyn Platform>,
    signed: &'a SignedBundle,
    settings: RollSettings,
    version: Version,
}

impl Roller<'_> {
    async fn run(
        &self,
        next: &Manifest,
        new_operators: &BTreeMap<OperatorId, String>,
    ) -> Result<Outcome> {
        let head = self.read_head().await?;
        let (expected, new) = match plan(head.as_ref(), self.signed, self.version, new_operators) {
            Plan::End(outcome) => return Ok(outcome),
            Plan::Write { expected, head } => (expected, head),
        };
        let stored = match &head {
            Some(head) => head.signed.unverified()?.parts.into_values().collect(),
            None => Vec::new(),
        };
        for digest in next.parts.values() {
            if stored.contains(digest) {
                continue;
            }
            if let Some(rejection) = self.write_part(digest).await? {
                return Ok(Outcome::Rejected(rejection));
            }
        }
        Ok(self.swap_head(expected, &new).await)
    }

    async fn read_head(&self) -> Result<Option<Head>> {
        let mut n = 0;
        loop {
            n += 1;
            match read_head(self.platform).await {
                Err(RollError::Platform(_)) if n < self.settings.attempts => {
                    self.wait_before_retry(n).await
                }
                result => return result,
            }
        }
    }

    /// Writes a part unless the store already has it under its digest, so a repeat changes nothing.
    async fn write_part(&self, digest: &Digest) -> Result<Option<Rejection>> {
        let key = Key::new(layout::part_key(digest));
        let bytes = self.signed.parts[digest].as_bytes();
        let mut n = 0;
        loop {
            n += 1;
            match self.platform.cas(&key, None, Some(bytes.to_vec()), None).await {
                WriteOutcome::Applied(_) => return Ok(None),
                WriteOutcome::Refused(Some(entry)) if entry.value.as_deref() == Some(bytes) => {
                    return Ok(None);
                }
                WriteOutcome::Refused(_) => return Ok(Some(Rejection::PartMismatch(*digest))),
                WriteOutcome::Unknown(_) if n < self.settings.attempts => {
                    self.wait_before_retry(n).await
                }
                WriteOutcome::Unknown(e) => return Err(e.into()),
            }
        }
    }

    /// Replaces the head if it still has the expected revision.
    ///
    /// A lost answer is resolved by repeating the same write. If the repeat applies, no earlier
    /// write did or can; if it is refused, the present head shows whether this bundle was written.
    /// A read that still shows the old head proves nothing, since the write may arrive later.
    async fn swap_head(&self, expected: Option<Revision>, head: &SignedManifest) -> Outcome {
        let key = Key::new(layout::HEAD);
        let mut n = 0;
        loop {
            n += 1;
            let write = self.platform.cas(&key, expected, Some(head.to_json()), None).await;
            let error = match write {
                WriteOutcome::Applied(_) => return self.rolled(),
                WriteOutcome::Refused(entry) => return self.outcome_from_head(entry, 1 < n),
                WriteOutcome::Unknown(e) => e,
            };
            if let Ok(found) = self.platform.read(&key).await
                && found.as_ref().map(|it| it.revision) != expected
            {
                return self.outcome_from_head(found, true);
            }
            if self.settings.attempts <= n {
                return Outcome::Unknown(error.to_string());
            }
            self.wait_before_retry(n).await;
        }
    }

    fn rolled(&self) -> Outcome {
        Outcome::Rolled { version: self.version, replaced_by: None }
    }

    /// Returns the outcome where `found` was read instead of the expected head. `answer_lost` says
    /// that this roll has sent a write whose answer was lost.
    fn outcome_from_head(&self, found: Option<Entry>, answer_lost: bool) -> Outcome {
        let version = self.version;
        let head = match found.ok_or_else(|| "it was removed".to_owned()).and_then(parse_head) {
            Ok(head) => head,
            Err(cause) if answer_lost => {
                return Outcome::Unknown(format!("the new head cannot be read: {cause}"));
            }
            Err(cause) => return Outcome::Rejected(Rejection::MalformedHead(cause)),
        };
        if let Some(replaced_by) = find_rolled(&self.signed.head, &head) {
            if answer_lost {
                return Outcome::Rolled { version, replaced_by };
            }
            return Outcome::AlreadyRolled { version, replaced_by };
        }
        let retained = Version(layout::MAX_EARLIER_HEADS as u64);
        if answer_lost && version.plus(retained) < head.version {
            return Outcome::Unknown(format!("{} has been rolled since", head.info()));
        }
        Outcome::Conflict(head.info())
    }

    async fn wait_before_retry(&self, n: u32) {
        let delay_ms = self.settings.retry_delay.0.saturating_mul(1 << (n - 1).min(6));
        time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Parses a head. Its operators are left empty: they take another read.
fn parse_head(entry: Entry) -> Result<Head, String> {
    let signed = match &entry.value {
        Some(bytes) => SignedManifest::from_json(bytes).map_err(|e| e.to_string())?,
        None => return Err("it was removed".into()),
    };
    let version = signed.version().map_err(|e| e.to_string())?;
    Ok(Head { revision: entry.revision, signed, version, operators: BTreeMap::new() })
}

/// Reads the present head, with the operators who may sign the next bundle.
pub async fn read_head(platform: &Arc<dyn Platform>) -> Result<Option<Head>> {
    let entry = platform.read(&Key::new(layout::HEAD)).await?;
    let Some(entry) = entry.filter(|it| it.value.is_some()) else { return Ok(None) };
    let mut head = parse_head(entry).map_err(SignError::Malformed)?;
    let manifest = head.signed.unverified()?;
    let topology = manifest.parts.get(&PartName::Topology);
    let parts = topology.map(|it| (PartName::Topology, *it)).into_iter().collect();
    let topology_only = Manifest { parts, ..manifest };
    head.operators = read_parts(platform, &topology_only).await?.operators;
    Ok(Some(head))
}

/// Reads the present head and its bundle.
pub async fn read_bundle(platform: &Arc<dyn Platform>) -> Result<Option<(Head, Bundle)>> {
    let Some(head) = read_head(platform).await? else { return Ok(None) };
    let bundle = read_parts(platform, &head.signed.unverified()?).await?;
    Ok(Some((head, bundle)))
}

async fn read_parts(platform: &Arc<dyn Platform>, manifest: &Manifest) -> Result<Bundle> {
    let mut parts = BTreeMap::new();
    for digest in manifest.parts.values() {
        let entry = platform.read(&Key::new(layout::part_key(digest))).await?;
        if let Some(bytes) = entry.and_then(|it| it.value) {
            parts.insert(*digest, bytes);
        }
    }
    Ok(assemble_bundle(manifest, &parts)?)
}
