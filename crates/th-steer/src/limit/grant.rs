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
pub(crate) struct Wish<'a> {
    pub(crate) zone: &'a ZoneId,
    pub(crate) lease: Lease,
    pub(crate) total: u64,
    pub(crate) want: u64,
    pub(crate) outstanding: u64,
    pub(crate) gone: &'a BTreeMap<Lease, Time>,
    pub(crate) drift: Millis,
    pub(crate) now: Time,
}

/// The state of one grant.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantState {
    /// The amount that the store last confirmed.
    amount: u64,
    /// Smallest amount of the writes whose end is not known.
    low: Option<u64>,
    /// The write that waits for its answer, or whose end is not known.
    sent: Option<Revisioned>,
    seen: Option<Revisioned>,
    busy: bool,
}

impl GrantState {
    /// What may be spent while the lease is good. An unconfirmed write never adds to it.
    pub fn amount(&self) -> u64 {
        self.low.unwrap_or(u64::MAX).min(self.amount)
    }

    /// Whether a call is in progress.
    pub(crate) fn busy(&self) -> bool {
        self.busy
    }

    /// Whether a read is due.
    pub(crate) fn read_due(&self) -> bool {
        !self.busy && self.seen.is_none()
    }

    /// The ledger as last seen, where no call is in progress.
    pub(crate) fn idle(&self) -> Option<&Revisioned> {
        if self.busy {
            return None;
        }
        self.seen.as_ref()
    }

    pub(crate) fn start_read(&mut self) {
        self.busy = true;
    }

    /// Forgets what was seen, so that it is read again.
    pub(crate) fn stale(&mut self) {
        if !self.busy {
            self.seen = None;
        }
    }

    /// The next write, if one is needed.
    pub(crate) fn plan(&self, wish: Wish<'_>) -> Option<Revisioned> {
        let seen = self.idle()?;
        let mut next = seen.ledger.clone();
        next.entries.retain(|_, entry| entry.lease == wish.lease || !reclaimable(entry, &wish));
        let own = next.entries.get(wish.zone);
        if own.is_some_and(|entry| entry.lease != wish.lease) {
            return None;
        }
        let mut wants = BTreeMap::new();
        for (zone, entry) in &next.entries {
            wants.insert(zone.clone(), entry.want);
        }
        wants.insert(wish.zone.clone(), wish.want);
        let free = wish.total.saturating_sub(next.others(wish.zone));
        // What is out cannot be called back before it expires.
        let target = fair_share(wish.total, &wants, wish.zone)
            .min(free)
            .max(wish.outstanding.min(self.amount()));
        if target == 0 && wish.want == 0 {
            next.entries.remove(wish.zone);
        } else {
            let entry = LedgerEntry { amount: target, want: wish.want, lease: wish.lease };
            next.entries.insert(wish.zone.clone(), entry);
        }
        // A write of unknown end is settled by one more write at the same revision.
        let settled = self.low.is_none();
        if settled && next == seen.ledger {
            return None;
        }
        Some(Revisioned { revision: seen.revision, ledger: next })
    }

    /// Records a write before it is sent.
    pub(crate) fn start_write(&mut self, write: Revisioned, zone: &ZoneId, lease: Lease) {
        let amount = own(&write.ledger, zone, lease);
        self.low = Some(self.low.unwrap_or(u64::MAX).min(amount));
        self.sent = Some(write);
        self.seen = None;
        self.busy = true;
    }

    /// Takes in how the write ended.
    pub(crate) fn on_write(&mut self, answer: Answer<Revision>, zone: &ZoneId, lease: Lease) {
        self.busy = false;
        self.seen = None;
        let Answer::Applied(revision) = answer else { return };
        let Some(write) = self.sent.take() else { return };
        self.amount = own(&write.ledger, zone, lease);
        self.low = None;
        self.seen = Some(Revisioned { revision: Some(revision), ledger: write.ledger });
    }

    /// Takes in a read; `None` where it brought no answer.
    pub(crate) fn on_read(&mut self, read: Option<Revisioned>, zone: &ZoneId, lease: Lease) {
        self.busy = false;
        let Some(read) = read else { return };
        // At the revision that a lost write expected, that write may yet take effect.
        let open = self.sent.as_ref().is_some_and(|sent| sent.revision == read.revision);
        if !open {
            self.sent = None;
            self.low = None;
            self.amount = own(&read.ledger, zone, lease);
        }
        self.seen = Some(read);
    }
}

fn reclaimable(entry: &LedgerEntry, wish: &Wish<'_>) -> bool {
    let Some(since) = wish.gone.get(&entry.lease) else { return false };
    since.after(wish.drift) <= wish.now
}

fn own(ledger: &Ledger, zone: &ZoneId, lease: Lease) -> u64 {
    match ledger.entries.get(zone) {
        Some(entry) if entry.lease == lease => entry.amount,
        _ => 0,
    }
}
