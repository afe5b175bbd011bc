//! One data centre's grant of one cap: the state between its requests to the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Revision, Time, ZoneId};

use crate::limit::{Ledger, LedgerEntry, fair_share};

/// A lease, as the store names it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Lease(pub u64);

/// How a write to the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer<T> {
    /// It took effect.
    Applied(T),
    /// It did not and will not take effect.
    Refused,
    /// Its answer is lost: it may have taken effect, and it may yet.
    Unknown,
}

/// A ledger and the revision that it was read at.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revisioned {
    /// The revision; `None` where there is no value yet.
    pub revision: Option<Revision>,
    /// The ledger.
    pub ledger: Ledger,
}

/// What decides the next write.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteInputs<'a> {
    pub(crate) zone: &'a ZoneId,
    pub(crate) lease: Lease,
    pub(crate) total: u64,
    pub(crate) want: u64,
    pub(crate) outstanding: u64,
    pub(crate) expired: &'a BTreeMap<Lease, Time>,
    pub(crate) drift: Millis,
    pub(crate) now: Time,
}

/// The state of one grant.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantState {
    /// The amount that the store last confirmed.
    amount: u64,
    /// Smallest amount of the writes whose end is not known.
    min_pending: Option<u64>,
    /// The write that waits for its answer, or whose end is not known.
    pending: Option<Revisioned>,
    last_seen: Option<Revisioned>,
    busy: bool,
}

impl GrantState {
    /// What may be spent while the lease is good. An unconfirmed write never adds to it.
    pub fn amount(&self) -> u64 {
        self.min_pending.unwrap_or(u64::MAX).min(self.amount)
    }

    /// Whether a call is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy
    }

    /// Whether a read is due.
    pub(crate) fn is_read_due(&self) -> bool {
        !self.busy && self.last_seen.is_none()
    }

    /// The ledger as last seen, where no call is in progress.
    pub(crate) fn idle_ledger(&self) -> Option<&Revisioned> {
        if self.busy {
            return None;
        }
        self.last_seen.as_ref()
    }

    pub(crate) fn start_read(&mut self) {
        self.busy = true;
    }

    /// Forgets what was seen, so that it is read again.
    pub(crate) fn mark_stale(&mut self) {
        if !self.busy {
            self.last_seen = None;
        }
    }

    /// The next write, if one is needed.
    pub(crate) fn plan(&self, inputs: WriteInputs<'_>) -> Option<Revisioned> {
        let seen = self.idle_ledger()?;
        let mut next = seen.ledger.clone();
        next.entries
            .retain(|_, entry| entry.lease == inputs.lease || !is_reclaimable(entry, &inputs));
        let own = next.entries.get(inputs.zone);
        if own.is_some_and(|entry| entry.lease != inputs.lease) {
            return None;
        }
        let mut wants = BTreeMap::new();
        for (zone, entry) in &next.entries {
            wants.insert(zone.clone(), entry.want);
        }
        wants.insert(inputs.zone.clone(), inputs.want);
        let free = inputs.total.saturating_sub(next.granted_to_others(inputs.zone));
        // What is out cannot be called back before it expires.
        let target = fair_share(inputs.total, &wants, inputs.zone)
            .min(free)
            .max(inputs.outstanding.min(self.amount()));
        if target == 0 && inputs.want == 0 {
            next.entries.remove(inputs.zone);
        } else {
            let entry = LedgerEntry { amount: target, want: inputs.want, lease: inputs.lease };
            next.entries.insert(inputs.zone.clone(), entry);
        }
        // A write of unknown end is settled by one more write at the same revision.
        let settled = self.min_pending.is_none();
        if settled && next == seen.ledger {
            return None;
        }
        Some(Revisioned { revision: seen.revision, ledger: next })
    }

    /// Records a write before it is sent.
    pub(crate) fn start_write(&mut self, write: Revisioned, zone: &ZoneId, lease: Lease) {
        let amount = own_amount(&write.ledger, zone, lease);
        self.min_pending = Some(self.min_pending.unwrap_or(u64::MAX).min(amount));
        self.pending = Some(write);
        self.last_seen = None;
        self.busy = true;
    }

    /// Takes in how the write ended.
    pub(crate) fn on_write(&mut self, answer: Answer<Revision>, zone: &ZoneId, lease: Lease) {
        self.busy = false;
        self.last_seen = None;
        let Answer::Applied(revision) = answer else { return };
        let Some(write) = self.pending.take() else { return };
        self.amount = own_amount(&write.ledger, zone, lease);
        self.min_pending = None;
        self.last_seen = Some(Revisioned { revision: Some(revision), ledger: write.ledger });
    }

    /// Takes in a read; `None` where it brought no answer.
    pub(crate) fn on_read(&mut self, read: Option<Revisioned>, zone: &ZoneId, lease: Lease) {
        self.busy = false;
        let Some(read) = read else { return };
        // At the revision that a lost write expected, that write may yet take effect.
        let may_apply = self.pending.as_ref().is_some_and(|write| write.revision == read.revision);
        if !may_apply {
            self.pending = None;
            self.min_pending = None;
            self.amount = own_amount(&read.ledger, zone, lease);
        }
        self.last_seen = Some(read);
    }
}

fn is_reclaimable(entry: &LedgerEntry, inputs: &WriteInputs<'_>) -> bool {
    let Some(first_seen) = inputs.expired.get(&entry.lease) else { return false };
    first_seen.after(inputs.drift) <= inputs.now
}

fn own_amount(ledger: &Ledger, zone: &ZoneId, lease: Lease) -> u64 {
    match ledger.entries.get(zone) {
        Some(entry) if entry.lease == lease => entry.amount,
        _ => 0,
    }
}
