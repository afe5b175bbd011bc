//! The membership protocol: heartbeats, indirect checks, suspicions, refutations and deaths.

use std::collections::BTreeMap;

use rand::Rng;
use th_protocol::{
    CheckAnswer, Heartbeat, Incarnation, IndirectCheck, MemberState, Millis, PeerRecord, Time,
    VmId, ZoneId,
};

use super::{
    HeartbeatContent, MemberAction, MemberCounts, MemberSettings, Seed, rumor::Rumors,
    table::MergeOutcome, table::Table,
};

/// A heartbeat that is not answered yet.
#[derive(Debug)]
struct PendingHeartbeat {
    sent: Time,
    is_checked: bool,
}

/// The entry VMs that this one knows, including itself.
///
/// Each VM holds a record of every other one, but its traffic is bounded: each message contains at
/// most a fixed number of records, recently changed ones first, then others in turn.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    me: PeerRecord,
    content: HeartbeatContent,
    table: Table,
    rumors: Rumors,
    pending: BTreeMap<VmId, PendingHeartbeat>,
    last_round: Time,
    /// Time of the last heartbeat sent to a dead VM.
    dead_probed: Time,
    last_tick: Time,
    replaced_by: Option<Incarnation>,
    counts: MemberCounts,
}

impl Members {
    /// Creates a member that knows only itself.
    pub fn new(settings: MemberSettings, me: PeerRecord, now: Time) -> Members {
        Members {
            settings,
            me,
            content: HeartbeatContent::default(),
            table: Table::default(),
            rumors: Rumors::default(),
            pending: BTreeMap::new(),
            last_round: now,
            dead_probed: now,
            last_tick: now,
            replaced_by: None,
            counts: MemberCounts::default(),
        }
    }

    /// This VM's own record.
    pub fn me(&self) -> &PeerRecord {
        &self.me
    }

    /// The records of all other known VMs, including suspect and dead ones.
    pub fn records(&self) -> impl Iterator<Item = &PeerRecord> {
        self.table.rows().map(|row| &row.record)
    }

    /// The record of another VM.
    pub fn record(&self, vm: &VmId) -> Option<&PeerRecord> {
        self.table.get(vm).map(|row| &row.record)
    }

    /// A later incarnation with this VM's name, if one is known. This process was then replaced and
    /// must stop.
    pub fn replaced_by(&self) -> Option<Incarnation> {
        self.replaced_by
    }

    /// Applies the platform's list of VMs. Since the list lags, this only adds unknown VMs and
    /// removes dead ones that are no longer listed.
    pub fn on_vm_list(&mut self, seeds: &[Seed], now: Time) {
        self.table.apply_vm_list(&self.me.vm, seeds, now);
    }

    /// Merges all records of a peer, which a VM fetches once after its start. They are not passed
    /// on as rumors, so that VMs that start together do not pass on each other's tables.
    pub fn on_records(&mut self, records: &[PeerRecord], now: Time) {
        for record in records {
            if record.vm == self.me.vm {
                self.refute(record);
                continue;
            }
            self.table.merge(record, now);
        }
    }

    /// Sets what heartbeats contain besides membership records.
    pub fn publish(&mut self, content: HeartbeatContent) {
        self.content = content;
    }

    /// Marks this VM as leaving and passes that on with the next heartbeats.
    pub fn leave(&mut self) {
        if self.me.state == MemberState::Leaving {
            return;
        }
        self.me.state = MemberState::Leaving;
        self.me.beat = self.me.beat.saturating_add(1);
        self.add_rumor(&self.me.vm.clone());
    }

    /// Returns up to `count` heartbeats to random live or leaving VMs, in `zone` if it is given,
    /// for updates that should not wait for the next round.
    pub fn announce(
        &mut self,
        count: usize,
        zone: Option<&ZoneId>,
        rng: &mut impl Rng,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        for _ in 0..count {
            let fits = |record: &PeerRecord| {
                record.state <= MemberState::Leaving && zone.is_none_or(|it| *it == record.zone)
            };
            let Some(target) = self.table.random(fits, rng) else { break };
            actions.push(self.heartbeat_to(&target));
        }
        actions
    }

    /// Results of this VM's own checks since it started.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Runs what is due: rounds of heartbeats, checks of unresponsive VMs and the end of
    /// suspicions.
    ///
    /// After a pause of this process, unanswered heartbeats are ignored and suspicions start anew,
    /// since the process could not receive answers meanwhile.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<MemberAction> {
        if self.settings.pause_limit <= now.since(self.last_tick) {
            self.pending.clear();
            self.table.restart_suspicions(now);
        }
        self.last_tick = now;
        let mut actions = self.check_unresponsive(now, rng);
        if self.settings.period <= now.since(self.last_round) {
            self.last_round = now;
            self.declare_dead(now);
            self.send_round(now, rng, &mut actions);
        }
        if self.settings.dead_period <= now.since(self.dead_probed) {
            self.dead_probed = now;
            let dead = |record: &PeerRecord| record.state == MemberState::Dead;
            if let Some(target) = self.table.random(dead, rng) {
                actions.push(self.heartbeat_to(&target));
            }
        }
        actions
    }

    /// Merges a heartbeat and returns the answer to it.
    pub fn on_heartbeat(&mut self, message: &Heartbeat, now: Time) -> Heartbeat {
        self.merge_heartbeat(message, now);
        self.compose(&message.from.vm)
    }

    /// Merges the answer to a heartbeat.
    pub fn on_answer(&mut self, message: &Heartbeat, now: Time) {
        self.merge_heartbeat(message, now);
    }

    /// Returns the heartbeat to send for a peer's indirect check.
    pub fn on_check(&mut self, message: &IndirectCheck) -> Heartbeat {
        self.compose(&message.target.vm)
    }

    /// Merges the answer to an indirect check.
    pub fn on_check_answer(&mut self, answer: &CheckAnswer, now: Time) {
        let Some(record) = &answer.record else { return };
        self.pending.remove(&record.vm);
        self.merge(record, now);
    }

    /// Sends heartbeats to VMs of the fleet in turn, and to random VMs of this VM's data centre,
    /// which need updates about its backend servers.
    fn send_round(&mut self, now: Time, rng: &mut impl Rng, actions: &mut Vec<MemberAction>) {
        for _ in 0..self.settings.fleet_fanout {
            let Some(target) = self.table.next_target(rng) else { return };
            self.check(&target, now, actions);
        }
        for _ in 0..self.settings.local_fanout {
            let zone = &self.me.zone;
            let fits = |it: &PeerRecord| it.state != MemberState::Dead && it.zone == *zone;
            let Some(target) = self.table.random(fits, rng) else { return };
            self.check(&target, now, actions);
        }
    }

    fn check(&mut self, target: &PeerRecord, now: Time, actions: &mut Vec<MemberAction>) {
        if self.pending.contains_key(&target.vm) {
            return;
        }
        self.pending.insert(target.vm.clone(), PendingHeartbeat { sent: now, is_checked: false });
        actions.push(self.heartbeat_to(target));
    }

    /// Requests peers to check VMs that did not answer, and suspects those that no peer could reach
    /// either.
    fn check_unresponsive(&mut self, now: Time, rng: &mut impl Rng) -> Vec<MemberAction> {
        let timeout = self.settings.timeout;
        let (mut unchecked, mut unresponsive) = (Vec::new(), Vec::new());
        for (vm, pending) in &mut self.pending {
            let age = now.since(pending.sent);
            if timeout.plus(timeout).plus(timeout) <= age {
                unresponsive.push(vm.clone());
            } else if timeout <= age && !pending.is_checked {
                pending.is_checked = true;
                unchecked.push(vm.clone());
            }
        }
        for vm in unresponsive {
            self.pending.remove(&vm);
            if self.table.set_state(&vm, MemberState::Suspect, now) {
                self.counts.suspected += 1;
                self.add_rumor(&vm);
            }
        }
        let mut actions = Vec::new();
        for vm in unchecked {
            self.request_checks(&vm, rng, &mut actions);
        }
        actions
    }

    fn request_checks(&self, vm: &VmId, rng: &mut impl Rng, actions: &mut Vec<MemberAction>) {
        let Some(row) = self.table.get(vm) else { return };
        for _ in 0..self.settings.indirect_checks {
            let fits =
                |record: &PeerRecord| record.vm != *vm && record.state <= MemberState::Leaving;
            let Some(peer) = self.table.random(fits, rng) else { return };
            let message = IndirectCheck { target: row.record.clone() };
            actions.push(MemberAction::Check { via: peer.vm, address: peer.address, message });
        }
    }

    /// Declares VMs dead that did not refute a suspicion in time, and removes records of VMs that
    /// have been dead for long.
    fn declare_dead(&mut self, now: Time) {
        let mut dead = Vec::new();
        for row in self.table.rows() {
            let age = now.since(row.since);
            if row.record.state == MemberState::Suspect && self.settings.suspicion_timeout <= age {
                dead.push(row.record.vm.clone());
            }
        }
        for vm in dead {
            self.table.set_state(&vm, MemberState::Dead, now);
            self.counts.declared_dead += 1;
            self.add_rumor(&vm);
        }
        let tombstone_ttl = self.settings.tombstone_ttl;
        self.table.prune(|row| {
            row.record.state != MemberState::Dead
                || now.since(row.since) < tombstone_ttl
                || row.listed
        });
    }

    fn heartbeat_to(&mut self, target: &PeerRecord) -> MemberAction {
        let message = self.compose(&target.vm);
        MemberAction::Heartbeat { to: target.vm.clone(), address: target.address, message }
    }

    /// Builds the message for `to`. If `to` is suspect or dead here, its record comes first, so
    /// that it can refute it.
    fn compose(&mut self, to: &VmId) -> Heartbeat {
        let limit = self.settings.records;
        let mut records: Vec<PeerRecord> = Vec::with_capacity(limit);
        if let Some(row) = self.table.get(to)
            && MemberState::Suspect <= row.record.state
        {
            records.push(row.record.clone());
        }
        for vm in self.rumors.take(limit - records.len().min(limit)) {
            let record = match self.table.get(&vm) {
                Some(row) => &row.record,
                None if vm == self.me.vm => &self.me,
                None => continue,
            };
            records.push(record.clone());
        }
        let fill = limit - records.len().min(limit);
        records.extend(self.table.next_records(fill));
        Heartbeat {
            from: self.me.clone(),
            clock: self.last_tick,
            head: self.content.head,
            headroom: self.content.headroom.clone(),
            leaving: self.content.leaving.clone(),
            records,
        }
    }

    fn merge_heartbeat(&mut self, message: &Heartbeat, now: Time) {
        self.hasten_dead_probe(&message.from.vm, now);
        self.pending.remove(&message.from.vm);
        self.merge(&message.from, now);
        for record in &message.records {
            self.merge(record, now);
        }
    }

    /// After a message from a VM that was declared dead, makes the next heartbeat to a dead VM due
    /// within one period, since others may be reachable again too.
    fn hasten_dead_probe(&mut self, vm: &VmId, now: Time) {
        let is_back = self.table.get(vm).is_some_and(|row| row.record.state == MemberState::Dead);
        if is_back {
            let wait = self.settings.dead_period.minus(self.settings.period);
            self.dead_probed = self.dead_probed.min(now.before(wait));
        }
    }

    fn merge(&mut self, record: &PeerRecord, now: Time) {
        if record.vm == self.me.vm {
            self.refute(record);
            return;
        }
        match self.table.merge(record, now) {
            MergeOutcome::Changed => self.add_rumor(&record.vm),
            MergeOutcome::IncarnationLearned | MergeOutcome::Ignored => {}
        }
    }

    /// Refutes a peer's record about this VM, if it takes precedence over this VM's own record, by
    /// raising the heartbeat counter above it.
    fn refute(&mut self, record: &PeerRecord) {
        if self.me.incarnation < record.incarnation {
            self.replaced_by = Some(record.incarnation);
            return;
        }
        let stale = record.incarnation < self.me.incarnation;
        if stale || record.precedence() <= self.me.precedence() {
            return;
        }
        self.me.beat = record.beat.saturating_add(1);
        self.counts.refuted += 1;
        self.add_rumor(&record.vm);
    }

    fn add_rumor(&mut self, vm: &VmId) {
        let doublings = usize::BITS - self.table.len().leading_zeros();
        self.rumors.add(vm, self.settings.rumor_repeats.saturating_mul(doublings.max(1)));
    }

    /// Time after which a heartbeat counts as unanswered.
    pub fn timeout(&self) -> Millis {
        self.settings.timeout
    }
}
