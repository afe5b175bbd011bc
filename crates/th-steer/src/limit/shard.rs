//! Which entry VM owns a shard of its data centre's capacity.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use th_protocol::{Incarnation, Millis, Revision, Time, VmId};

use crate::limit::Answer;

/// The value `shard/<zone>/<i>` of the store. It has no lease: an outage takes nothing away.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The owner.
    pub vm: VmId,
    /// Its process.
    pub incarnation: Incarnation,
}

/// Whether `me` may replace what `found` claims, given the VMs that the platform lists.
///
/// A VM that is no longer listed has stopped. A VM that is listed may be dead, or paused, so it
/// keeps its shard. A VM that is not yet listed must not claim, or it would look stopped to others;
/// so `listed` must be the answer to a call made after `found` was read. A later start of the same VM has replaced the earlier process.
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

/// One shard, as one VM sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShardSlot {
    /// Another VM's, or unknown.
    #[default]
    Other,
    /// The claim is on its way, or its answer was lost; taken from nobody or not.
    Claiming {
        /// Whether somebody owned it before.
        had_owner: bool,
    },
    /// This VM's, and usable from that time on.
    Owned(Time),
}

impl ShardSlot {
    /// Whether the shard's share may be spent.
    pub fn usable(&self, now: Time) -> bool {
        matches!(self, ShardSlot::Owned(from) if *from <= now)
    }

    /// Takes in a read. Returns the revision to write the claim over, where that is due.
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
            // A write whose answer was lost took effect.
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

    /// Takes in how the claim's write ended.
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
