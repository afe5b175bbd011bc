//! The lease holder of a data centre, which asks the store for grants on behalf of all its VMs.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, Revision, Time, ZoneId};

use crate::limit::{Answer, CapId, GrantState, Lease, Revisioned, grant::Wish};

/// Settings of a [`LeaseHolder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolderSettings {
    /// Length of the lease.
    pub ttl: Millis,
    /// How far two clocks may part during one lease.
    pub drift: Millis,
    /// Least time between two ledger writes of one data centre.
    pub write_interval: Millis,
    /// Least time between two readings of the ledgers.
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

/// A call to the store for the I/O task to make.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreAction {
    /// Take a lease; answered by [`LeaseHolder::on_lease`].
    TakeLease(Millis),
    /// Write `lead/<zone>` under the lease, expecting no value; answered by [`LeaseHolder::on_claim`].
    Claim(ZoneId, Lease),
    /// Extend the lease; answered by [`LeaseHolder::on_keep_alive`].
    KeepAlive(Lease),
    /// Read `lead/<zone>`, to learn whether that lease is gone; answered by [`LeaseHolder::on_lead`].
    ReadLead(ZoneId, Lease),
    /// Read `grant/<cap>`; answered by [`LeaseHolder::on_read`].
    ReadLedger(CapId),
    /// Compare-and-swap `grant/<cap>`; answered by [`LeaseHolder::on_write`].
    WriteLedger(CapId, Revisioned),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Lead {
    Idle,
    Taking(Time),
    Leased(Lease, Time),
    Claiming(Lease, Time),
    Held { lease: Lease, expiry: Time, sent: Option<Time> },
}

/// The state of a VM that holds, or would hold, its data centre's lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseHolder {
    zone: ZoneId,
    settings: LeaseHolderSettings,
    lead: Lead,
    grants: BTreeMap<CapId, GrantState>,
    /// When each lease of others was first seen to be gone.
    gone: BTreeMap<Lease, Time>,
    asked: Option<(ZoneId, Lease)>,
    /// The lease that was looked at last, and when.
    looked: Option<((ZoneId, Lease), Time)>,
    wrote: Option<Time>,
    refreshed: Time,
    /// Earliest time of the next try to take the lease.
    retry: Time,
}

/// What a data centre needs of one cap.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// The cap's leasable remainder.
    pub total: u64,
    /// What the VMs would spend over their floors.
    pub want: u64,
    /// What is out to them, by [`crate::limit::Splitter::outstanding`].
    pub outstanding: u64,
}

impl LeaseHolder {
    /// A VM of `zone` that holds nothing.
    pub fn new(zone: ZoneId, settings: LeaseHolderSettings) -> LeaseHolder {
        LeaseHolder {
            zone,
            settings,
            lead: Lead::Idle,
            grants: BTreeMap::new(),
            gone: BTreeMap::new(),
            asked: None,
            looked: None,
            wrote: None,
            refreshed: Time::ZERO,
            retry: Time::ZERO,
        }
    }

    /// The data centre.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// The lease and its expiry on this VM's boot clock, while it is good.
    pub fn lease(&self, now: Time) -> Option<(Lease, Time)> {
        match self.lead {
            Lead::Held { lease, expiry, .. } if now < expiry => Some((lease, expiry)),
            _ => None,
        }
    }

    /// What may be spent of a cap's leased remainder now, and until when.
    pub fn spendable(&self, cap: &CapId, now: Time) -> (u64, Time) {
        let Some((_, expiry)) = self.lease(now) else { return (0, now) };
        let amount = self.grants.get(cap).map_or(0, GrantState::amount);
        (amount, expiry)
    }

    /// The calls that are due. Call it each tick, on the live VM of lowest id in its data centre.
    ///
    /// Each call must be answered exactly once, a call that timed out as failed or unknown.
    pub fn on_tick(&mut self, needs: &BTreeMap<CapId, Need>, now: Time) -> Vec<StoreAction> {
        let mut actions = Vec::new();
        self.tick_lead(now, &mut actions);
        let Some((lease, _)) = self.lease(now) else { return actions };
        if 0 < self.settings.refresh.0 && self.settings.refresh <= now.since(self.refreshed) {
            self.refreshed = now;
            let keep = Millis(self.settings.ttl.0.saturating_mul(4));
            self.gone.retain(|_, since| now < since.after(keep));
            self.grants.values_mut().for_each(GrantState::stale);
        }
        let mut unsure = BTreeSet::new();
        for (cap, need) in needs {
            let grant = self.grants.entry(cap.clone()).or_default();
            if grant.read_due() {
                grant.start_read();
                actions.push(StoreAction::ReadLedger(cap.clone()));
                continue;
            }
            if grant.amount() < need.want {
                suspects(grant, &self.zone, lease, &self.gone, &mut unsure);
            }
            if self.wrote.is_some_and(|at| now < at.after(self.settings.write_interval)) {
                continue;
            }
            let wish = Wish {
                zone: &self.zone,
                lease,
                total: need.total,
                want: need.want,
                outstanding: need.outstanding,
                gone: &self.gone,
                drift: self.settings.drift,
                now,
            };
            let Some(write) = grant.plan(wish) else { continue };
            grant.start_write(write.clone(), &self.zone, lease);
            if 0 < self.settings.write_interval.0 {
                self.wrote = Some(now);
            }
            actions.push(StoreAction::WriteLedger(cap.clone(), write));
        }
        self.look(unsure, now, &mut actions);
        actions
    }

    /// Looks in turn at the leases that stand in the way.
    fn look(
        &mut self,
        unsure: BTreeSet<(ZoneId, Lease)>,
        now: Time,
        actions: &mut Vec<StoreAction>,
    ) {
        if self.asked.is_some() {
            return;
        }
        if self.looked.as_ref().is_some_and(|(_, at)| now < at.after(self.settings.write_interval))
        {
            return;
        }
        let last = self.looked.as_ref().map(|(last, _)| last);
        let later = unsure.iter().find(|it| last < Some(*it));
        let Some(next) = later.or(unsure.first()).cloned() else { return };
        self.asked = Some(next.clone());
        actions.push(StoreAction::ReadLead(next.0.clone(), next.1));
        self.looked = Some((next, now));
    }

    fn tick_lead(&mut self, now: Time, actions: &mut Vec<StoreAction>) {
        match &mut self.lead {
            Lead::Idle => {
                // Answers of the last lease must not be taken for those of the next.
                let waits = self.asked.is_some() || !self.grants.is_empty();
                if waits || now < self.retry {
                    return;
                }
                self.retry = now.after(Millis((self.settings.ttl.0 / 3).max(1)));
                self.lead = Lead::Taking(now);
                actions.push(StoreAction::TakeLease(self.settings.ttl));
            }
            Lead::Leased(lease, expiry) => {
                actions.push(StoreAction::Claim(self.zone.clone(), *lease));
                self.lead = Lead::Claiming(*lease, *expiry);
            }
            Lead::Held { expiry, .. } if *expiry <= now => self.lose(),
            Lead::Held { lease, expiry, sent: sent @ None } => {
                // Renewed once a third of it is over.
                let due = expiry.before(Millis(self.settings.ttl.0 * 2 / 3));
                if due <= now {
                    *sent = Some(now);
                    actions.push(StoreAction::KeepAlive(*lease));
                }
            }
            Lead::Held { .. } | Lead::Taking(_) | Lead::Claiming(..) => {}
        }
    }

    fn lose(&mut self) {
        self.lead = Lead::Idle;
        self.grants.retain(|_, grant| grant.busy());
    }

    /// The answer to [`StoreAction::TakeLease`].
    pub fn on_lease(&mut self, answer: Answer<Lease>) {
        let Lead::Taking(sent) = self.lead else { return };
        self.lead = match answer {
            // Counted from before the request was sent.
            Answer::Applied(lease) => Lead::Leased(lease, sent.after(self.settings.ttl)),
            Answer::Refused | Answer::Unknown => Lead::Idle,
        };
    }

    /// The answer to [`StoreAction::Claim`].
    pub fn on_claim(&mut self, answer: Answer<Revision>) {
        let Lead::Claiming(lease, expiry) = self.lead else { return };
        self.lead = match answer {
            Answer::Applied(_) => Lead::Held { lease, expiry, sent: None },
            Answer::Refused | Answer::Unknown => Lead::Idle,
        };
    }

    /// The answer to [`StoreAction::KeepAlive`].
    pub fn on_keep_alive(&mut self, answer: Answer<()>) {
        let Lead::Held { expiry, sent, .. } = &mut self.lead else { return };
        let Some(at) = sent.take() else { return };
        match answer {
            Answer::Applied(()) => *expiry = at.after(self.settings.ttl),
            Answer::Refused => self.lose(),
            Answer::Unknown => {}
        }
    }

    /// The answer to [`StoreAction::ReadLead`]: the lease under which `lead/<zone>` now stands.
    /// the
    /// outer `None` where the read failed.
    pub fn on_lead(&mut self, shown: Option<Option<Lease>>, now: Time) {
        let Some((_, lease)) = self.asked.take() else { return };
        let Some(shown) = shown else { return };
        if shown != Some(lease) {
            self.gone.entry(lease).or_insert(now);
        }
    }

    /// The answer to [`StoreAction::ReadLedger`]; `None` where the read failed.
    pub fn on_read(&mut self, cap: &CapId, read: Option<Revisioned>) {
        let Lead::Held { lease, .. } = self.lead else {
            self.grants.remove(cap);
            return;
        };
        let Some(grant) = self.grants.get_mut(cap) else { return };
        grant.on_read(read, &self.zone, lease);
    }

    /// The answer to [`StoreAction::WriteLedger`].
    pub fn on_write(&mut self, cap: &CapId, answer: Answer<Revision>) {
        let Lead::Held { lease, .. } = self.lead else {
            self.grants.remove(cap);
            return;
        };
        let Some(grant) = self.grants.get_mut(cap) else { return };
        grant.on_write(answer, &self.zone, lease);
    }
}

/// Adds the entries of the ledger whose lease may be gone.
fn suspects(
    grant: &GrantState,
    zone: &ZoneId,
    lease: Lease,
    gone: &BTreeMap<Lease, Time>,
    unsure: &mut BTreeSet<(ZoneId, Lease)>,
) {
    let Some(seen) = grant.idle() else { return };
    for (other, entry) in &seen.ledger.entries {
        let known = entry.lease == lease || gone.contains_key(&entry.lease);
        if !known && (other == zone || 0 < entry.amount) {
            unsure.insert((other.clone(), entry.lease));
        }
    }
}
