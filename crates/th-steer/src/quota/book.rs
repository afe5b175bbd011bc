//! The quotas of all organisations as one VM knows them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::{Deserialize, Serialize};
use th_protocol::{Millis, OrganisationId, Time, VmId};

use super::{
    Quota, QuotaLimits, UsageAnswer, UsageEntry, UsageReport,
    keeper::{Fleet, Keeper},
    row::Row,
};
use crate::route::{hash_name, mix};

/// Time from one report to the next.
const INTERVAL: Millis = Millis(500);
/// The same while tokens run out.
const URGENT_INTERVAL: Millis = Millis(150);
/// Reports that a keeper should receive in a second from all VMs.
const MAX_REPORTS: u64 = 250;
/// Time for which a VM that failed as the keeper is not asked.
const RETRY_INTERVAL: Millis = Millis(5_000);
/// Number of VMs that may fail as the keeper before a VM keeps its own part: it is cut off.
const MAX_FAILURES: usize = 8;
/// Time after which the answer to a report is expected, for the time that a refused caller is told.
const ANSWER_TIME: Millis = Millis(100);
/// Longest time for which a report is under way.
const DELAY: Millis = Millis(250);

/// A report whose answer is awaited.
#[derive(Debug)]
struct Sent {
    keeper: VmId,
    number: u64,
    at: Time,
    entries: Vec<UsageEntry>,
}

/// An organisation's quota at one VM, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaView {
    /// Requests a second that the organisation may make at all VMs together.
    pub rate: f64,
    /// Requests a second that this VM is asked for, admitted or not.
    pub asked: f32,
    /// Requests that this VM let in since it started.
    pub admitted: u64,
    /// Requests that it refused.
    pub refused: u64,
    /// Number of requests that it may admit at once.
    pub tokens: u32,
    /// Time since the last report that the keeper answered, in milliseconds.
    pub age: Option<Millis>,
}

/// The quotas of all organisations as one VM knows them.
#[derive(Debug)]
pub struct QuotaBook {
    limits: QuotaLimits,
    own: VmId,
    start: Time,
    quotas: BTreeMap<OrganisationId, Quota>,
    rows: BTreeMap<OrganisationId, Row>,
    keeper: Keeper,
    members: BTreeSet<VmId>,
    /// All members, in the common order.
    order: Vec<VmId>,
    /// VMs that failed as the keeper, and when.
    failures: BTreeMap<VmId, Time>,
    /// The VM that answered the last report that was answered.
    answered: Option<VmId>,
    /// The last keeper that may count this VM, and when it was last told to.
    counted: Option<(VmId, Time)>,
    number: u64,
    /// When the last report was made.
    reported: Time,
    sent: Option<Sent>,
    /// Whether tokens run out.
    urgent: bool,
}

impl QuotaBook {
    /// Creates the book of a VM whose process starts now.
    pub fn new(limits: QuotaLimits, own: VmId, now: Time) -> QuotaBook {
        QuotaBook {
            limits,
            start: now,
            quotas: BTreeMap::new(),
            rows: BTreeMap::new(),
            keeper: Keeper::default(),
            members: BTreeSet::from([own.clone()]),
            order: vec![own.clone()],
            own,
            failures: BTreeMap::new(),
            answered: None,
            counted: None,
            number: 0,
            reported: now,
            sent: None,
            urgent: false,
        }
    }

    /// Sets the quotas of a configuration. An organisation that is not listed is unlimited.
    pub fn set_quotas(&mut self, quotas: BTreeMap<OrganisationId, Quota>) {
        self.rows.retain(|id, _| quotas.contains_key(id));
        for (id, quota) in &quotas {
            let row = self.rows.entry(id.clone()).or_insert_with(|| Row::new(*quota));
            row.quota = *quota;
            // A lower quota takes effect at once here, and at the other VMs with their next reports.
            row.tokens = row.tokens.min(self.limits.tokens(*quota) as u32);
        }
        self.keeper.retain(&quotas);
        self.quotas = quotas;
    }

    /// Whether there are any quotas, so that VMs must tell each other about them.
    pub fn is_active(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Sets the VMs that are registered, or were until lately. This VM is always one of them.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = VmId>) {
        let mut members: BTreeSet<VmId> = members.into_iter().collect();
        members.insert(self.own.clone());
        if members == self.members {
            return;
        }
        self.order = members.iter().cloned().collect();
        self.order.sort_by_key(|it| Reverse(mix(hash_name(it.as_str()))));
        self.members = members;
    }

    /// Admits a request of an organisation, or returns the time after which one may be admitted.
    pub fn take(&mut self, id: &OrganisationId, now: Time) -> Result<(), Millis> {
        let Some(row) = self.rows.get_mut(id) else { return Ok(()) };
        let admitted = row.take(&self.limits, now);
        self.urgent |= row.is_urgent();
        if admitted {
            return Ok(());
        }
        let due = self.next_report();
        Err(due.since(now).plus(ANSWER_TIME))
    }

    /// Takes back the admission of a request that reached no backend server.
    pub fn give_back(&mut self, id: &OrganisationId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.give_back();
        }
    }

    /// The VM that gives out tokens, as far as this one can reach it; this one itself if it reaches none before it.
    pub fn keeper(&mut self, now: Time) -> VmId {
        self.failures.retain(|_, at| now < at.after(RETRY_INTERVAL));
        if MAX_FAILURES <= self.failures.len() {
            return self.own.clone();
        }
        for vm in &self.order {
            if *vm == self.own || !self.failures.contains_key(vm) {
                return vm.clone();
            }
        }
        self.own.clone()
    }

    /// When the next report is due.
    pub fn next_report(&self) -> Time {
        let pace = self.pace();
        let interval = if self.urgent { URGENT_INTERVAL } else { INTERVAL };
        self.reported.after(interval.max(pace))
    }

    /// Shortest time between reports at which the keeper is not asked too often.
    fn pace(&self) -> Millis {
        Millis(self.members.len() as u64 * 1_000 / MAX_REPORTS)
    }

    /// Time for which a report counts.
    fn validity(&self) -> Millis {
        let interval = INTERVAL.max(self.pace());
        interval.plus(interval)
    }

    /// Makes the report for a keeper.
    pub fn report(&mut self, keeper: &VmId, now: Time) -> UsageReport {
        let full = self.answered.as_ref() != Some(keeper);
        let span = now.since(self.reported);
        let mut entries = Vec::new();
        for (id, row) in &mut self.rows {
            if full {
                row.forget_answer();
            }
            let entry = row.entry(id, &self.limits, span, now);
            if !row.is_known(&entry, now) {
                entries.push(entry);
            }
        }
        self.number += 1;
        (self.reported, self.urgent) = (now, false);
        let settled = self.may_count(keeper, now);
        if settled {
            self.counted = Some((keeper.clone(), now));
        }
        self.sent = Some(Sent {
            keeper: keeper.clone(),
            number: self.number,
            at: now,
            entries: entries.clone(),
        });
        UsageReport {
            vm: self.own.clone(),
            start: self.start,
            number: self.number,
            settled,
            full,
            entries,
        }
    }

    /// Whether no other keeper counts this VM, also not for an earlier process of it.
    fn may_count(&self, keeper: &VmId, now: Time) -> bool {
        let last = match &self.counted {
            Some((vm, _)) if vm == keeper => return true,
            Some((_, at)) => *at,
            None => self.start,
        };
        last.after(self.validity()).after(DELAY) <= now
    }

    /// Handles another VM's report, or this VM's own, as the keeper.
    pub fn on_report(&mut self, report: UsageReport, now: Time) -> UsageAnswer {
        let fleet =
            Fleet { members: &self.members, first: self.order.first(), validity: self.validity() };
        self.keeper.on_report(report, &self.quotas, &self.limits, &fleet, now)
    }

    /// Handles the keeper's answer to the last report; an answer to an earlier one has no effect.
    pub fn on_answer(&mut self, answer: UsageAnswer, now: Time) {
        let Some(sent) = self.sent.take_if(|it| it.number == answer.number) else { return };
        if answer.unknown {
            (self.answered, self.urgent) = (None, true);
            return;
        }
        self.answered = Some(sent.keeper);
        let mut changes = BTreeMap::new();
        for grant in answer.grants {
            changes.insert(grant.id, grant.change);
        }
        for entry in sent.entries {
            let change = changes.get(&entry.id).copied().unwrap_or(0);
            if let Some(row) = self.rows.get_mut(&entry.id) {
                row.on_answer(entry, sent.at, change, now);
            }
        }
    }

    /// Handles that a keeper did not answer; the next VM in the order is asked.
    pub fn on_failure(&mut self, keeper: VmId, now: Time) {
        self.sent = None;
        self.failures.insert(keeper, now);
    }

    /// Each organisation's quota at this VM, for operators.
    pub fn view(&self, now: Time) -> BTreeMap<OrganisationId, QuotaView> {
        let mut view = BTreeMap::new();
        for (id, row) in &self.rows {
            let it = QuotaView {
                rate: row.quota.rate.requests(),
                asked: row.asked,
                admitted: row.admitted,
                refused: row.refused,
                tokens: row.tokens,
                age: row.age(now),
            };
            view.insert(id.clone(), it);
        }
        view
    }
}
