//! Ownership of shards: each shard of a data centre's capacity belongs to one entry VM.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use th_protocol::{Incarnation, Millis, Revision, Time, VmId};

use crate::limit::Answer;

/// The value of `shard/<zone>/<i>` in the store.
///
/// It has no lease, so that a store outage does not remove it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The owning VM.
    pub vm: VmId,
    /// The incarnation of the owner's process.
    pub incarnation: Incarnation,
}

/// Returns whether `me` may replace the claim `found`, given the VMs that the platform lists.
///
/// A VM that is no longer listed has stopped. A listed VM may be dead or only paused, so it keeps
/// its shard. A VM that is not listed yet must not claim a shard, since it would look stopped to
/// others. `listed` must therefore come from a call made after `found` was read. A later
/// incarnation of the same VM has replaced the earlier process.
pub fn may_claim(found: Option<&ShardClaim>, me: &ShardClaim, listed: &BTreeSet<VmId>) -> bool {
    if !listed.contains(&me.vm) {
        return false;
    }
    let Some(found) = found else { return true };
    if found.vm == me.vm {
        return found.incarnation < me.incarnation;
    }
    !listed.contains(&found.vm)
}

/// State of one shard as seen by one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShardSlot {
    /// The shard belongs to another VM, or its owner is unknown.
    #[default]
    Other,
    /// This VM's claim is not confirmed: its write awaits the answer, the answer was lost, or the claim
    /// has to be read again.
    Claiming {
        /// Whether the claim replaces an earlier one, whose requests may still run.
        had_owner: bool,
    },
    /// The shard belongs to this VM, which may use it from this time on.
    Owned(Time),
}

impl ShardSlot {
    /// Returns whether the shard's share may be used.
    pub fn usable(&self, now: Time) -> bool {
        matches!(self, ShardSlot::Owned(from) if *from <= now)
    }

    /// Applies a read of the claim. Returns the revision that a write of the claim has to replace,
    /// if one is due; the inner `None` means that the store has no value.
    ///
    /// Requests of a former owner may still run for `deadline`, the longest of any operation.
    pub fn on_read(
        &mut self,
        found: Option<(&ShardClaim, Revision)>,
        me: &ShardClaim,
        listed: &BTreeSet<VmId>,
        deadline: Millis,
        now: Time,
    ) -> Option<Option<Revision>> {
        let claim = found.map(|(claim, _)| claim);
        if claim == Some(me) {
            // This VM's claim took effect, possibly by a write whose answer was lost.
            match self {
                ShardSlot::Owned(_) => {}
                ShardSlot::Claiming { had_owner: false } => *self = ShardSlot::Owned(now),
                _ => *self = ShardSlot::Owned(now.after(deadline)),
            }
            return None;
        }
        *self = ShardSlot::Other;
        if !may_claim(claim, me, listed) {
            return None;
        }
        *self = ShardSlot::Claiming { had_owner: claim.is_some() };
        Some(found.map(|(_, revision)| revision))
    }

    /// Applies the outcome of the claim's write.
    pub fn on_write(&mut self, answer: &Answer<Revision>, deadline: Millis, now: Time) {
        let ShardSlot::Claiming { had_owner } = *self else { return };
        match answer {
            Answer::Applied(_) if had_owner => *self = ShardSlot::Owned(now.after(deadline)),
            Answer::Applied(_) => *self = ShardSlot::Owned(now),
            Answer::Refused => *self = ShardSlot::Other,
            Answer::Unknown => {}
        }
    }
}
