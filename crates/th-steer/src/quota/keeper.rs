//! The quota keeper, which gives tokens to the VMs that report to it.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, OrganisationId, Time, VmId};

use super::{Quota, QuotaLimits, TokenGrant, UsageAnswer, UsageEntry, UsageReport, row::LEASE};

/// Share of their equal part of a quota that VMs without the majority may use; the majority may use the rest.
const MINORITY_SHARE: f64 = 0.3;
/// Time for which a VM should hold tokens, in seconds: from one report to the answer to the next.
const HORIZON: f64 = 0.75;
/// Share of the tokens left that VMs hold where fewer are needed, each the same number.
const SPREAD_SHARE: f64 = 0.2;
/// Share of the tokens left that only requests which wait for one may use.
const RESERVE: f64 = 0.3;
/// Largest rate of a VM that counts, in requests a second.
const MAX_ASKED: f64 = 1e6;
/// Share of the tokens left up to which VMs whose part is less than one hold one.
const HELD_SHARE: f64 = 0.5;

/// A process that reports.
#[derive(Debug, Clone)]
struct Reporter {
    start: Time,
    number: u64,
    at: Time,
    settled: bool,
    young: bool,
}

/// What a process is known to have used and to hold.
#[derive(Debug)]
struct Account {
    used: u32,
    tokens: u32,
    /// Requests a second that it is asked for.
    asked: f64,
    /// Number of tokens that it should hold.
    target: f64,
    at: Time,
}

impl Account {
    /// Requests that it may have admitted in a window that ends now or later, and those of them that it has not yet.
    fn charge(&self, window: Millis, now: Time) -> (f64, f64) {
        let used = if now < self.at.after(window) { self.used } else { 0 };
        let held = if now < self.at.after(LEASE).after(window) { self.tokens } else { 0 };
        (f64::from(used), f64::from(held))
    }
}

/// By what the keeper shares out quotas while it handles a report.
#[derive(Debug)]
struct Terms<'a> {
    limits: &'a QuotaLimits,
    /// The share of each quota that it may give out.
    share: f64,
    members: usize,
    /// When this VM began to be asked, while it does not know what was used before.
    blind: Option<Time>,
    now: Time,
}

/// An organisation's quota.
#[derive(Debug, Default)]
struct Pool {
    /// Processes that reported since this VM began to be asked, while it does not know what was used before, and what they had
    /// used and held then.
    heard: (Time, BTreeSet<(VmId, Time)>, f64),
    /// Tokens that may be given out at once.
    level: f64,
    filled: Time,
    accounts: BTreeMap<(VmId, Time), Account>,
}

#[derive(Debug, Default)]
pub(super) struct Keeper {
    reporters: BTreeMap<VmId, Reporter>,
    pools: BTreeMap<OrganisationId, Pool>,
    /// When this VM began to be asked.
    since: Time,
}

/// What the keeper must know of the fleet to share out a quota.
#[derive(Debug)]
pub(super) struct Fleet<'a> {
    pub(super) members: &'a BTreeSet<VmId>,
    /// Number of VMs that may still use a part.
    pub(super) known: usize,
    /// The first VM in the common order.
    pub(super) first: Option<&'a VmId>,
    /// Time for which a report counts.
    pub(super) validity: Millis,
}

impl Keeper {
    /// Forgets organisations without a quota.
    pub(super) fn retain(&mut self, quotas: &BTreeMap<OrganisationId, Quota>) {
        self.pools.retain(|id, _| quotas.contains_key(id));
    }

    pub(super) fn on_report(
        &mut self,
        report: UsageReport,
        quotas: &BTreeMap<OrganisationId, Quota>,
        limits: &QuotaLimits,
        fleet: &Fleet<'_>,
        now: Time,
    ) -> UsageAnswer {
        let UsageReport { vm, start, number, settled, young, full, entries } = report;
        let mut answer = UsageAnswer { number, unknown: false, grants: Vec::new() };
        if self.reporters.values().all(|it| it.at.after(fleet.validity) <= now) {
            self.since = now;
        }
        let known = self.reporters.get(&vm).filter(|it| it.start == start);
        if known.is_some_and(|it| number <= it.number) {
            return answer;
        }
        if known.is_none() && !full {
            answer.unknown = true;
            return answer;
        }
        self.reporters.insert(vm.clone(), Reporter { start, number, at: now, settled, young });
        let (members, share) = (fleet.members.len(), self.share(fleet, now));
        let blind = self.is_blind(limits, fleet, now).then_some(self.since);
        let terms = Terms { limits, share, members, blind, now };
        for entry in entries {
            let Some(quota) = quotas.get(&entry.id) else { continue };
            let pool = self.pools.entry(entry.id.clone()).or_default();
            let change = pool.on_entry((vm.clone(), start), &entry, *quota, &terms);
            if change != 0 {
                answer.grants.push(TokenGrant { id: entry.id, change });
            }
        }
        answer
    }

    /// The share of each quota that this keeper may give out. The shares of keepers that do not know of each other add up to
    /// at most one, since each VM counts for one of them.
    fn share(&self, fleet: &Fleet<'_>, now: Time) -> f64 {
        let (mut count, mut has_first) = (0, false);
        for (vm, reporter) in &self.reporters {
            let counts = reporter.settled && now < reporter.at.after(fleet.validity);
            if !counts || !fleet.members.contains(vm) {
                continue;
            }
            count += 1;
            has_first |= fleet.first == Some(vm);
        }
        let members = fleet.members.len().max(1);
        let part = f64::from(count) / fleet.known.max(members) as f64;
        let is_majority =
            members < 2 * count as usize || (members == 2 * count as usize && has_first);
        if !is_majority {
            return part * MINORITY_SHARE;
        }
        1.0 - MINORITY_SHARE * (1.0 - part)
    }

    /// Whether there may be VMs, or earlier processes of them, of which this keeper does not know what they used in the last
    /// window.
    fn is_blind(&self, limits: &QuotaLimits, fleet: &Fleet<'_>, now: Time) -> bool {
        if self.since.after(limits.window) <= now {
            return false;
        }
        let heard = |it: &&Reporter| self.since <= it.at && !it.young;
        self.reporters.values().filter(heard).count() < fleet.known
    }
}

impl Pool {
    /// Records what a process used and holds; returns the change to its tokens.
    fn on_entry(
        &mut self,
        process: (VmId, Time),
        entry: &UsageEntry,
        quota: Quota,
        terms: &Terms<'_>,
    ) -> i32 {
        let Terms { limits, share, members, blind, now } = *terms;
        let passed = now.since(self.filled).min(limits.window).0 as f64 / 1_000.0;
        let filled = self.level + limits.sustained(quota) * share * passed;
        (self.level, self.filled) = (filled.min(limits.burst(quota) * share), now);
        // A malformed message may have no number there.
        let asked = f64::from(entry.asked);
        let asked = if asked.is_nan() { 0.0 } else { asked.clamp(0.0, MAX_ASKED) };
        let expected = asked * HORIZON;
        let target = expected + 2.0 * expected.sqrt();
        let account = Account { used: entry.used, tokens: entry.tokens, asked, target, at: now };
        self.end_earlier(&process, now);
        self.accounts.insert(process.clone(), account);
        let window = limits.window;
        self.accounts
            .retain(|_, it| it.charge(window, now) != (0.0, 0.0) || now < it.at.after(window));
        let (mut used, mut held, mut asked, mut targets) = (0.0, 0.0, 0.0, 0.0);
        for account in self.accounts.values() {
            let charge = account.charge(window, now);
            (used, held) = (used + charge.0, held + charge.1);
            if now < account.at.after(LEASE) {
                targets += account.target;
                asked += account.asked;
            }
        }
        let mut limit = limits.tokens(quota) * share;
        if let Some(since) = blind {
            limit = limit.min(self.heard_use(since, &process, entry));
        }
        let (room, left) = (limit - used - held, (limit - used).max(0.0));
        let spare = (left * SPREAD_SHARE - targets).max(0.0) / members as f64;
        let is_scarce = limits.sustained(quota) < asked;
        let fair = target * (left / targets.max(1.0)).min(1.0) + spare;
        let tokens = f64::from(entry.tokens);
        // A VM whose part is less than one token holds one only while there are many left, and else receives it on demand.
        let part = if fair < 1.0 && held - tokens < left * HELD_SHARE { 1.0 } else { fair };
        if part.ceil() < tokens {
            return -((tokens - part.ceil()) as i32);
        }
        let wanted = f64::from(entry.wanted).min(part.ceil() + 1.0);
        // Requests that wait may use the last tokens.
        let held_room = (room - left * RESERVE).floor().max(0.0);
        let mut change = (part.floor() - tokens).min(held_room).max(wanted).min(room.floor());
        if is_scarce {
            change = change.min(self.level.floor());
        }
        let change = change.max(0.0);
        if is_scarce {
            self.level = (self.level - change).max(0.0);
        }
        if let Some(account) = self.accounts.get_mut(&process) {
            account.tokens = account.tokens.saturating_add(change as u32);
        }
        change as i32
    }

    /// What the VMs that report had used and held when this VM began to be asked. Others may have used the rest of the quota: so
    /// these may go on as before, but not use more.
    fn heard_use(&mut self, since: Time, process: &(VmId, Time), entry: &UsageEntry) -> f64 {
        let (from, processes, sum) = &mut self.heard;
        if *from != since {
            (*from, *sum) = (since, 0.0);
            processes.clear();
        }
        if processes.insert(process.clone()) {
            *sum += f64::from(entry.used) + f64::from(entry.tokens);
        }
        *sum
    }

    /// Handles that an earlier process of a VM has ended: it may have spent its tokens up to now.
    fn end_earlier(&mut self, process: &(VmId, Time), now: Time) {
        let from = (process.0.clone(), Time::ZERO);
        for (_, account) in self.accounts.range_mut(from..process.clone()) {
            if account.tokens != 0 {
                let held = std::mem::take(&mut account.tokens);
                account.used = account.used.saturating_add(held);
                account.at = now;
            }
            (account.asked, account.target) = (0.0, 0.0);
        }
    }
}
