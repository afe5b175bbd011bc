//! Plans the next action of a roll from the present head.

use std::collections::BTreeMap;

use th_protocol::{
    OperatorId, Revision, SignError, SignedBundle, SignedManifest, Version,
    layout::{MAX_EARLIER_HEADS, MAX_OPERATOR_CHANGES},
};

use crate::outcome::{HeadInfo, Outcome, Rejection};

/// The present head: the signed manifest of the bundle in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The revision that a write of the head expects.
    pub revision: Revision,
    /// The signed manifest.
    pub signed: SignedManifest,
    /// Its version.
    pub version: Version,
    /// The operators who may sign the next bundle, with their public keys.
    pub operators: BTreeMap<OperatorId, String>,
}

impl Head {
    pub(crate) fn info(&self) -> HeadInfo {
        HeadInfo { version: self.version, by: self.signed.operator.clone() }
    }
}

/// The next action of a roll.
#[derive(Debug, Clone, PartialEq)]
pub enum Plan {
    /// Nothing is to be written; the roll ends with this outcome.
    End(Outcome),
    /// Write a new head if the present one still has the expected revision.
    Write {
        /// The revision that the head must have; `None` if there must be no head.
        expected: Option<Revision>,
        /// The new head.
        head: SignedManifest,
    },
}

/// Plans a roll of `signed`, whose version is `version`.
///
/// `new_operators` are the operators that the bundle itself names. They may sign the first bundle,
/// since there is no earlier bundle that names any.
pub fn plan(
    head: Option<&Head>,
    signed: &SignedBundle,
    version: Version,
    new_operators: &BTreeMap<OperatorId, String>,
) -> Plan {
    let next = &signed.head;
    let Some(head) = head else {
        return match next.verify(new_operators) {
            Ok(_) => Plan::Write { expected: None, head: next.clone() },
            Err(e) => reject(e),
        };
    };
    if let Some(replaced_by) = find_rolled(next, head) {
        return Plan::End(Outcome::AlreadyRolled { version, replaced_by });
    }
    if version <= head.version {
        return Plan::End(Outcome::Conflict(head.info()));
    }
    if head.version.plus(Version(1)) < version {
        let rejection = Rejection::VersionGap { head: head.version, version };
        return Plan::End(Outcome::Rejected(rejection));
    }
    let manifest = match next.verify(&head.operators) {
        Ok(manifest) => manifest,
        Err(e) => return reject(e),
    };
    if manifest.base.is_some_and(|base| base != head.signed.digest()) {
        return Plan::End(Outcome::Conflict(head.info()));
    }
    let mut earlier = vec![head.signed.digest()];
    earlier.extend(head.signed.earlier.iter().take(MAX_EARLIER_HEADS - 1));
    let mut changes = head.signed.changes.clone();
    if *new_operators != head.operators {
        let change = &signed.change;
        if change.version != version || change.operators != *new_operators {
            let cause = "the change of operators is not this bundle's".to_owned();
            return reject(SignError::Malformed(cause));
        }
        if let Err(e) = change.verify(&head.operators) {
            return reject(e);
        }
        changes.push(change.clone());
        changes.drain(..changes.len().saturating_sub(MAX_OPERATOR_CHANGES));
    }
    let next = SignedManifest { earlier, changes, ..next.clone() };
    Plan::Write { expected: Some(head.revision), head: next }
}

fn reject(error: SignError) -> Plan {
    Plan::End(Outcome::Rejected(error.into()))
}

/// Looks for `next` at `head` and in its list of earlier heads.
///
/// Returns `None` if it is not there, `Some(None)` if it is the present head, and otherwise the head
/// that has replaced it.
pub(crate) fn find_rolled(next: &SignedManifest, head: &Head) -> Option<Option<HeadInfo>> {
    let digest = next.digest();
    if head.signed.digest() == digest {
        return Some(None);
    }
    if head.signed.earlier.contains(&digest) {
        return Some(Some(head.info()));
    }
    None
}
