//! The lease holder of a data centre, which requests grants from the store on behalf of all VMs of
//! the data centre.
//!
//! The value `lead/<zone>` in the store is the lease of the present holder. It is written under that
//! lease, so the store removes it when the lease ends.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, Revision, Time, ZoneId};

use crate::limit::{Answer, CapId, GrantState, Lease, Revisioned, grant::WriteInputs};

/// Settings of a [`LeaseHolder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolderSettings {
    /// Time to live of the lease.
    pub ttl: Millis,
    /// Largest drift between two clocks during one lease.
    pub drift: Millis,
    /// Shortest time between two ledger writes of one data centre, and between two checks of other
    /// holders' leases.
    pub write_interval: Millis,
    /// Shortest time between two reads of the ledgers.
    pub refresh: Millis,
}

impl Default for LeaseHolderSettings {
    fn default() -> LeaseHolderSettings {
        LeaseHolderSettings {
            ttl: Millis(30_000),
            drift: Millis(1_000),
            write_interval: Millis(500),
            refresh: Millis(5_000),
        }
    }
}

/// A call to the store, to be made by the I/O task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreAction {
    /// Take a lease with this time to live; answered by [`LeaseHolder::on_lease`].
    TakeLease(Millis),
    /// Write `lead/<zone>` under the lease if it has no value; answered by
    /// [`LeaseHolder::on_claim`].
    Claim(ZoneId, Lease),
    /// Renew the lease; answered by [`LeaseHolder::on_keep_alive`].
    KeepAlive(Lease),
    /// Read `lead/<zone>` to check whether the lease has ended; answered by
    /// [`LeaseHolder::on_lead`].
    ReadLead(ZoneId, Lease),
    /// Read `grant/<cap>`; answered by [`LeaseHolder::on_read`].
    ReadLedger(CapId),
    /// Compare-and-swap `grant/<cap>`; answered by [`LeaseHolder::on_write`].
    WriteLedger(CapId, Revisioned),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum LeaseState {
    Idle,
    /// A lease was requested at this time.
    Requesting(Time),
    /// The lease is granted until this expiry; `lead/<zone>` is not claimed yet.
    Granted(Lease, Time),
    /// The write of `lead/<zone>` is awaiting its answer.
    Claiming(Lease, Time),
    /// `lead/<zone>` is claimed; `sent` is when a pending keep-alive was sent.
    Held {
        lease: Lease,
        expiry: Time,
        sent: Option<Time>,
    },
}

/// State of a VM that holds, or tries to take, its data centre's lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolder {
    zone: ZoneId,
    settings: LeaseHolderSettings,
    state: LeaseState,
    grants: BTreeMap<CapId, GrantState>,
    /// When each lease of another holder was first seen to have ended.
    expired: BTreeMap<Lease, Time>,
    /// The lease whose `lead/<zone>` read is in progress.
    pending_check: Option<(ZoneId, Lease)>,
    /// The lease that was checked last, and when the check was sent.
    last_check: Option<((ZoneId, Lease), Time)>,
    last_write: Option<Time>,
    last_refresh: Time,
    /// Earliest time of the next attempt to take the lease.
    next_attempt: Time,
}

/// A data centre's demand for one cap.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// The leasable amount of the cap.
    pub total: u64,
    /// The VMs' demand beyond their floors.
    pub want: u64,
    /// Amount in unexpired parts, from [`crate::limit::Splitter::outstanding`].
    pub outstanding: u64,
}

impl LeaseHolder {
    /// Creates the state of a VM in `zone` that holds no lease.
    pub fn new(zone: ZoneId, settings: LeaseHolderSettings) -> LeaseHolder {
        LeaseHolder {
            zone,
            settings,
            state: LeaseState::Idle,
            grants: BTreeMap::new(),
            expired: BTreeMap::new(),
            pending_check: None,
            last_check: None,
            last_write: None,
            last_refresh: Time::ZERO,
            next_attempt: Time::ZERO,
        }
    }

    /// Returns the data centre.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Returns the lease and its expiry on this VM's boot clock, while it is valid.
    pub fn lease(&self, now: Time) -> Option<(Lease, Time)> {
        match self.state {
            LeaseState::Held { lease, expiry, .. } if now < expiry => Some((lease, expiry)),
            _ => None,
        }
    }

    /// Returns how much of the cap's leasable amount may be used now, and until when.
    pub fn spendable(&self, cap: &CapId, now: Time) -> (u64, Time) {
        let Some((_, expiry)) = self.lease(now) else { return (0, now) };
        let amount = self.grants.get(cap).map_or(0, GrantState::amount);
        (amount, expiry)
    }

    /// Returns the store calls that are due.
    ///
    /// It is to be called each tick, on the live VM with the lowest id in its data centre. Each
    /// returned call must be answered exactly once; one that timed out is answered as failed or
    /// unknown.
    pub fn on_tick(&mut self, needs: &BTreeMap<CapId, Need>, now: Time) -> Vec<StoreAction> {
        let mut actions = Vec::new();
        self.tick_lease(now, &mut actions);
        let Some((lease, _)) = self.lease(now) else { return actions };
        if 0 < self.settings.refresh.0 && self.settings.refresh <= now.since(self.last_refresh) {
            self.last_refresh = now;
            let retention = Millis(self.settings.ttl.0.saturating_mul(4));
            self.expired.retain(|_, since| now < since.after(retention));
            self.grants.values_mut().for_each(GrantState::mark_stale);
        }
        let mut unverified = BTreeSet::new();
        for (cap, need) in needs {
            let grant = self.grants.entry(cap.clone()).or_default();
            if grant.is_read_due() {
                grant.start_read();
                actions.push(StoreAction::ReadLedger(cap.clone()));
                continue;
            }
            if grant.amount() < need.want {
                collect_suspects(grant, &self.zone, lease, &self.expired, &mut unverified);
            }
            if self.last_write.is_some_and(|at| now < at.after(self.settings.write_interval)) {
                continue;
            }
            let inputs = WriteInputs {
                zone: &self.zone,
                lease,
                total: need.total,
                want: need.want,
                outstanding: need.outstanding,
                expired: &self.expired,
                drift: self.settings.drift,
                now,
            };
            let Some(write) = grant.plan(inputs) else { continue };
            grant.start_write(write.clone(), &self.zone, lease);
            if 0 < self.settings.write_interval.0 {
                self.last_write = Some(now);
            }
            actions.push(StoreAction::WriteLedger(cap.clone(), write));
        }
        self.check_leases(unverified, now, &mut actions);
        actions
    }

    /// Checks one of the leases that block a larger grant, in round-robin order.
    fn check_leases(
        &mut self,
        unverified: BTreeSet<(ZoneId, Lease)>,
        now: Time,
        actions: &mut Vec<StoreAction>,
    ) {
        if self.pending_check.is_some() {
            return;
        }
        if self
            .last_check
            .as_ref()
            .is_some_and(|(_, at)| now < at.after(self.settings.write_interval))
        {
            return;
        }
        let last = self.last_check.as_ref().map(|(last, _)| last);
        let later = unverified.iter().find(|it| last < Some(*it));
        let Some(next) = later.or(unverified.first()).cloned() else { return };
        self.pending_check = Some(next.clone());
        actions.push(StoreAction::ReadLead(next.0.clone(), next.1));
        self.last_check = Some((next, now));
    }

    fn tick_lease(&mut self, now: Time, actions: &mut Vec<StoreAction>) {
        match &mut self.state {
            LeaseState::Idle => {
                // Late answers to calls under the last lease must not be applied to the next one.
                let has_pending = self.pending_check.is_some() || !self.grants.is_empty();
                if has_pending || now < self.next_attempt {
                    return;
                }
                self.next_attempt = now.after(Millis((self.settings.ttl.0 / 3).max(1)));
                self.state = LeaseState::Requesting(now);
                actions.push(StoreAction::TakeLease(self.settings.ttl));
            }
            LeaseState::Granted(lease, expiry) => {
                actions.push(StoreAction::Claim(self.zone.clone(), *lease));
                self.state = LeaseState::Claiming(*lease, *expiry);
            }
            LeaseState::Held { expiry, .. } if *expiry <= now => self.drop_lease(),
            LeaseState::Held { lease, expiry, sent: sent @ None } => {
                // Due once a third of the lease's time to live has passed.
                let due = expiry.before(Millis(self.settings.ttl.0 * 2 / 3));
                if due <= now {
                    *sent = Some(now);
                    actions.push(StoreAction::KeepAlive(*lease));
                }
            }
            LeaseState::Held { .. } | LeaseState::Requesting(_) | LeaseState::Claiming(..) => {}
        }
    }

    fn drop_lease(&mut self) {
        self.state = LeaseState::Idle;
        self.grants.retain(|_, grant| grant.is_busy());
    }

    /// Applies the answer to [`StoreAction::TakeLease`].
    pub fn on_lease(&mut self, answer: Answer<Lease>) {
        let LeaseState::Requesting(sent) = self.state else { return };
        self.state = match answer {
            // The store starts the lease after the request was sent, so this expiry is never late.
            Answer::Applied(lease) => LeaseState::Granted(lease, sent.after(self.settings.ttl)),
            Answer::Refused | Answer::Unknown => LeaseState::Idle,
        };
    }

    /// Applies the answer to [`StoreAction::Claim`].
    pub fn on_claim(&mut self, answer: Answer<Revision>) {
        let LeaseState::Claiming(lease, expiry) = self.state else { return };
        self.state = match answer {
            Answer::Applied(_) => LeaseState::Held { lease, expiry, sent: None },
            Answer::Refused | Answer::Unknown => LeaseState::Idle,
        };
    }

    /// Applies the answer to [`StoreAction::KeepAlive`].
    pub fn on_keep_alive(&mut self, answer: Answer<()>) {
        let LeaseState::Held { expiry, sent, .. } = &mut self.state else { return };
        let Some(at) = sent.take() else { return };
        match answer {
            Answer::Applied(()) => *expiry = at.after(self.settings.ttl),
            Answer::Refused => self.drop_lease(),
            Answer::Unknown => {}
        }
    }

    /// Applies the answer to [`StoreAction::ReadLead`].
    ///
    /// `found` is the lease under which `lead/<zone>` is now written, the inner `None` if it has
    /// no value, the outer `None` if the read failed.
    pub fn on_lead(&mut self, found: Option<Option<Lease>>, now: Time) {
        let Some((_, lease)) = self.pending_check.take() else { return };
        let Some(found) = found else { return };
        if found != Some(lease) {
            self.expired.entry(lease).or_insert(now);
        }
    }

    /// Applies the answer to [`StoreAction::ReadLedger`]; `None` if the read failed.
    pub fn on_read(&mut self, cap: &CapId, read: Option<Revisioned>) {
        let LeaseState::Held { lease, .. } = self.state else {
            self.grants.remove(cap);
            return;
        };
        let Some(grant) = self.grants.get_mut(cap) else { return };
        grant.on_read(read, &self.zone, lease);
    }

    /// Applies the answer to [`StoreAction::WriteLedger`].
    pub fn on_write(&mut self, cap: &CapId, answer: Answer<Revision>) {
        let LeaseState::Held { lease, .. } = self.state else {
            self.grants.remove(cap);
            return;
        };
        let Some(grant) = self.grants.get_mut(cap) else { return };
        grant.on_write(answer, &self.zone, lease);
    }
}

/// Adds to `unverified` the leases in the ledger that may have ended.
fn collect_suspects(
    grant: &GrantState,
    zone: &ZoneId,
    lease: Lease,
    expired: &BTreeMap<Lease, Time>,
    unverified: &mut BTreeSet<(ZoneId, Lease)>,
) {
    let Some(seen) = grant.idle_ledger() else { return };
    for (other, entry) in &seen.ledger.entries {
        let known = entry.lease == lease || expired.contains_key(&entry.lease);
        if !known && (other == zone || 0 < entry.amount) {
            unverified.insert((other.clone(), entry.lease));
        }
    }
}
