//! The quotas of all organisations as one VM knows them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::{Deserialize, Serialize};
use th_protocol::{Mbit, Millis, OrganisationId, Time, VmId};

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
/// Ordinary and urgent reports that a keeper should receive in a second from all VMs.
const MAX_REPORTS: u64 = 250;
const MAX_URGENT_REPORTS: u64 = 1_000;
/// Time for which a VM that failed as the keeper once is not asked; doubled with each time after that.
const RETRY_INTERVAL: Millis = Millis(5_000);
/// Number of times that it doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Shortest time from a failure to the next try of a VM that failed before.
const RETRY_GAP: Millis = Millis(1_000);
/// Number of VMs that may fail as the keeper before a VM keeps its own part: it is cut off.
const MAX_FAILURES: usize = 8;
/// Time after which the answer to a report is expected, for the time that a refused caller is told.
const ANSWER_TIME: Millis = Millis(100);
/// Longest time for which a report is under way, after which it has failed.
pub const REPORT_TIMEOUT: Millis = Millis(600);
/// Time for which a VM that is no longer registered may make up a majority with others. Without the store it refuses requests
/// with a key before that.
const MEMBER_TIME: Millis = Millis(10_000);
/// Time for which it may use its part of a quota.
const KNOWN_TIME: Millis = Millis(300_000);

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
    /// VMs that were registered, and when last.
    known: BTreeMap<VmId, (Time, Option<Mbit>)>,
    /// All members, in the common order.
    order: Vec<VmId>,
    /// VMs that failed as the keeper since they last answered, until when they are not asked, and how often they failed.
    failures: BTreeMap<VmId, (Time, u32)>,
    /// The VM that answered the last report that was answered.
    answered: Option<VmId>,
    answered_at: Time,
    /// The last keeper that may count this VM, and when it was last told to.
    counted: Option<(VmId, Time)>,
    number: u64,
    /// When the last report was made.
    reported: Time,
    /// When the last report was made that lists all organisations with changes.
    listed: Time,
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
            known: BTreeMap::new(),
            order: vec![own.clone()],
            own,
            failures: BTreeMap::new(),
            answered: None,
            answered_at: now,
            counted: None,
            number: 0,
            reported: now,
            listed: now,
            sent: None,
            urgent: false,
        }
    }

    /// Sets the quotas of a configuration. An organisation that is not listed is unlimited.
    pub fn set_quotas(&mut self, quotas: BTreeMap<OrganisationId, Quota>, now: Time) {
        self.rows.retain(|id, _| quotas.contains_key(id));
        for (id, quota) in &quotas {
            let row = self.rows.entry(id.clone()).or_insert_with(|| Row::new(*quota, now));
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

    /// Sets the VMs that are registered, with the capacities of their links; called before each report. This VM is always a
    /// member. Those with the largest links come first in the common order: the keeper receives the reports of all.
    pub fn set_members(
        &mut self,
        registered: impl IntoIterator<Item = (VmId, Option<Mbit>)>,
        now: Time,
    ) {
        for (vm, link) in registered {
            self.known.insert(vm, (now, link));
        }
        self.known.entry(self.own.clone()).or_insert((now, None)).0 = now;
        self.known.retain(|_, (at, _)| now < at.after(KNOWN_TIME));
        let recent = self.known.iter().filter(|(_, (at, _))| now < at.after(MEMBER_TIME));
        let mut order = Vec::new();
        for (vm, (_, link)) in recent {
            order.push((Reverse(*link), Reverse(mix(hash_name(vm.as_str()))), vm.clone()));
        }
        order.sort();
        let order: Vec<VmId> = order.into_iter().map(|it| it.2).collect();
        if order == self.order {
            return;
        }
        let members: BTreeSet<VmId> = order.iter().cloned().collect();
        self.order = order;
        self.failures.retain(|vm, _| members.contains(vm));
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

    /// Whether tokens run out, so that the next report is due sooner than others.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Whether a request that was not admitted should wait for the answer to the next report. Where an organisation asks for
    /// more than there is, waiting would only delay the refusal.
    pub fn may_wait(&self, id: &OrganisationId) -> bool {
        self.rows.get(id).is_some_and(Row::may_wait)
    }

    /// Admits a request that [`take`](Self::take) did not admit and that waited since; returns whether it is admitted.
    pub fn take_waiting(&mut self, id: &OrganisationId, now: Time) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return true };
        row.take_waiting(&self.limits, now)
    }

    /// Takes back the admission of a request that reached no backend server.
    pub fn give_back(&mut self, id: &OrganisationId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.give_back();
        }
    }

    /// The VM that gives out tokens, as far as this one can reach it; this one itself if it reaches none before it.
    pub fn keeper(&self, now: Time) -> VmId {
        let mut failed = 0;
        for vm in &self.order {
            let avoided = self.failures.get(vm).is_some_and(|(until, _)| now < *until);
            if *vm == self.own || (!avoided && failed < MAX_FAILURES) {
                return vm.clone();
            }
            failed += usize::from(avoided);
        }
        self.own.clone()
    }

    /// When the next report is due.
    pub fn next_report(&self) -> Time {
        let interval = if self.urgent {
            URGENT_INTERVAL.max(self.pace(MAX_URGENT_REPORTS))
        } else {
            self.interval()
        };
        self.reported.after(interval)
    }

    /// Time between two reports that list all organisations with changes.
    fn interval(&self) -> Millis {
        INTERVAL.max(self.pace(MAX_REPORTS))
    }

    /// Shortest time between a VM's reports at which the keeper gets so many a second.
    fn pace(&self, reports: u64) -> Millis {
        Millis(self.members.len() as u64 * 1_000 / reports)
    }

    /// Time for which a report counts.
    fn validity(&self) -> Millis {
        self.interval().plus(self.interval())
    }

    /// Makes the report for a keeper.
    pub fn report(&mut self, keeper: &VmId, now: Time) -> UsageReport {
        let full = self.answered.as_ref() != Some(keeper);
        let lists_all = full || self.listed.after(self.interval()) <= now;
        if lists_all {
            self.listed = now;
        }
        let mut entries = Vec::new();
        for (id, row) in &mut self.rows {
            if full {
                row.forget_answer();
            }
            if !lists_all && !row.is_urgent() {
                continue;
            }
            let entry = row.entry(id, &self.limits, now);
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
            young: now < self.start.after(self.limits.window),
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
        last.after(self.validity()).after(REPORT_TIMEOUT) <= now
    }

    /// Handles another VM's report, or this VM's own, as the keeper.
    pub fn on_report(&mut self, report: UsageReport, now: Time) -> UsageAnswer {
        let fleet = Fleet {
            members: &self.members,
            known: self.known.len(),
            first: self.order.first(),
            validity: self.validity(),
        };
        self.keeper.on_report(report, &self.quotas, &self.limits, &fleet, now)
    }

    /// Handles the keeper's answer to the last report; an answer to an earlier one has no effect.
    pub fn on_answer(&mut self, answer: UsageAnswer, now: Time) {
        let Some(sent) = self.sent.take_if(|it| it.number == answer.number) else { return };
        if answer.unknown {
            (self.answered, self.urgent) = (None, true);
            return;
        }
        self.failures.remove(&sent.keeper);
        (self.answered, self.answered_at) = (Some(sent.keeper), now);
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
        // VMs that failed before are tried again one at a time, with reports to the one that answers in between.
        for (until, _) in self.failures.values_mut() {
            *until = (*until).max(now.after(RETRY_GAP));
        }
        let (until, failures) = self.failures.entry(keeper).or_default();
        *until = now.after(Millis(RETRY_INTERVAL.0 << (*failures).min(MAX_DOUBLINGS)));
        *failures += 1;
    }

    /// Number of organisations with a quota.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Time since the last report that a keeper answered; `None` while there are no quotas.
    pub fn age(&self, now: Time) -> Option<Millis> {
        self.is_active().then(|| now.since(self.answered_at))
    }

    /// Number of requests refused since the start, of all organisations with a quota.
    pub fn refused(&self) -> u64 {
        self.rows.values().map(|it| it.refused).sum()
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
