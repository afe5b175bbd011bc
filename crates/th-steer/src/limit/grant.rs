//! One data centre's grant of one cap, as the state machine between its requests to the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, Revision, Time, ZoneId};

use crate::limit::{Ledger, LedgerEntry, fair_share};

/// Id of a lease in the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Lease(pub u64);

/// Outcome of a write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer<T> {
    /// The write took effect.
    Applied(T),
    /// The write did not take effect and never will.
    Refused,
    /// No answer arrived: the write may have taken effect, or may still do so later.
    Unknown,
}

/// A ledger and the store revision at which it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revisioned {
    /// The revision; `None` if the store has no value yet.
    pub revision: Option<Revision>,
    /// The ledger.
    pub ledger: Ledger,
}

/// Inputs that determine the next write.
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

/// State of one grant.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantState {
    /// Amount that the store last confirmed.
    amount: u64,
    /// Smallest amount in the writes whose outcome is unknown.
    min_pending: Option<u64>,
    /// The write that is awaiting its answer or whose outcome is unknown.
    pending: Option<Revisioned>,
    last_seen: Option<Revisioned>,
    busy: bool,
}

impl GrantState {
    /// Returns the amount that may be used while the lease is valid.
    ///
    /// An unconfirmed write never increases it.
    pub fn amount(&self) -> u64 {
        self.min_pending.unwrap_or(u64::MAX).min(self.amount)
    }

    /// Returns whether a call to the store is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy
    }

    /// Returns whether the ledger has to be read.
    pub(crate) fn is_read_due(&self) -> bool {
        !self.busy && self.last_seen.is_none()
    }

    /// Returns the last seen ledger, unless a call is in progress.
    pub(crate) fn idle_ledger(&self) -> Option<&Revisioned> {
        if self.busy {
            return None;
        }
        self.last_seen.as_ref()
    }

    pub(crate) fn start_read(&mut self) {
        self.busy = true;
    }

    /// Discards the last seen ledger, so that it is read again.
    pub(crate) fn mark_stale(&mut self) {
        if !self.busy {
            self.last_seen = None;
        }
    }

    /// Returns the next write, if one is needed.
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
        // Outstanding parts cannot be revoked before they expire.
        let target = fair_share(inputs.total, &wants, inputs.zone)
            .min(free)
            .max(inputs.outstanding.min(self.amount()));
        if target == 0 && inputs.want == 0 {
            next.entries.remove(inputs.zone);
        } else {
            let entry = LedgerEntry { amount: target, want: inputs.want, lease: inputs.lease };
            next.entries.insert(inputs.zone.clone(), entry);
        }
        // A write of unknown outcome is resolved by one more write at the same revision.
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

    /// Applies the outcome of the write.
    pub(crate) fn on_write(&mut self, answer: Answer<Revision>, zone: &ZoneId, lease: Lease) {
        self.busy = false;
        self.last_seen = None;
        let Answer::Applied(revision) = answer else { return };
        let Some(write) = self.pending.take() else { return };
        self.amount = own_amount(&write.ledger, zone, lease);
        self.min_pending = None;
        self.last_seen = Some(Revisioned { revision: Some(revision), ledger: write.ledger });
    }

    /// Applies the result of a read; `None` if it got no answer.
    pub(crate) fn on_read(&mut self, read: Option<Revisioned>, zone: &ZoneId, lease: Lease) {
        self.busy = false;
        let Some(read) = read else { return };
        // While the store is at the revision that an unanswered write expects, that write may
        // still take effect.
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
