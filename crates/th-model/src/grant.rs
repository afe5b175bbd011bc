//! Models grants of a cap: data centres hold parts of it under leases.
//!
//! The VMs run the production [`LeaseHolder`] against a store whose answers may be delayed or lost,
//! and whose writes may take effect late. A paused VM is one without actions for a while; an outage is
//! a series of lost calls.

use std::collections::BTreeMap;

use th_protocol::{Millis, Revision, Time, ZoneId};
use th_steer::limit::{
    Answer, CapId, Lease, LeaseHolder, LeaseHolderSettings, Need, Revisioned, StoreAction,
};

use crate::Model;

/// A fault that is put into the model on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantFault {
    /// No fault.
    None,
    /// The lease's expiry is counted from the reply instead of the request.
    ExpiryFromReply,
    /// A write with an unknown outcome is treated as failed.
    UnknownIsFailed,
}

/// The model and its limits.
#[derive(Debug, Clone)]
pub struct GrantModel {
    /// The data centre of each VM that may hold a lease.
    pub zones: Vec<ZoneId>,
    /// The amount of the cap that can be leased.
    pub total: u64,
    /// The last tick to explore.
    pub last_tick: u64,
    /// Maximum number of calls that are lost or delayed.
    pub losses: u8,
    /// Length of a lease, in ticks.
    pub ttl: Millis,
    /// Time for which the amount of an expired lease stays reserved, in ticks.
    pub drift: Millis,
    /// Minimum time between two reads of the ledger, in ticks.
    pub refresh: Millis,
    /// Whether the first VM's clock may stall for one tick.
    pub may_stall: bool,
    /// Whether the VMs start without their leases.
    pub without_leases: bool,
    /// The fault in the model.
    pub fault: GrantFault,
}

/// A call in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    action: StoreAction,
    reply: Option<Reply>,
    /// The lease holder before the call, where a fault needs it.
    snapshot: Option<Box<LeaseHolder>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Reply {
    Lease(Answer<Lease>),
    Write(Answer<Revision>),
    KeepAlive(Answer<()>),
    Lead(Option<Option<Lease>>),
    Ledger(Option<Revisioned>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Vm {
    holder: LeaseHolder,
    clock: Time,
    calls: Vec<Call>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Store {
    leases: BTreeMap<Lease, u64>,
    next: u64,
    leads: BTreeMap<ZoneId, Lease>,
    ledger: Revisioned,
    /// Writes that may take effect later.
    delayed: Vec<StoreAction>,
}

/// A state of the model: all VMs, the store and the true time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantState {
    vms: Vec<Vm>,
    store: Store,
    now: u64,
    losses_left: u8,
    has_stalled: bool,
}

/// An action; each number is the index of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantAction {
    /// A tick passes. The clock of the given VM stalls, which only the first VM's clock does, and
    /// only once.
    Tick(Option<usize>),
    /// A VM runs its tick.
    Run(usize),
    /// The store executes a call.
    Serve(usize, StoreAction),
    /// A reply arrives, and the VM runs its tick.
    Reply(usize, StoreAction),
    /// A call's answer is lost; a write took effect.
    LoseAnswer(usize, StoreAction),
    /// A call's answer is lost, and its write is delayed.
    Delay(usize, StoreAction),
    /// A delayed write takes effect, or is refused.
    Arrive(StoreAction),
}

fn cap() -> CapId {
    CapId::Link("l".parse().expect("an id"))
}

impl GrantModel {
    fn settings(&self) -> LeaseHolderSettings {
        let (ttl, drift, refresh) = (self.ttl, self.drift, self.refresh);
        LeaseHolderSettings { ttl, drift, write_interval: Millis(0), refresh }
    }

    fn run(&self, state: &GrantState, i: usize) -> Option<GrantState> {
        let mut next = state.clone();
        let vm = &mut next.vms[i];
        let snapshot = vm.holder.clone();
        let need = Need { total: self.total, want: self.total, outstanding: 0 };
        let actions = vm.holder.on_tick(&BTreeMap::from([(cap(), need)]), vm.clock);
        for action in actions {
            let needs_snapshot = self.fault == GrantFault::UnknownIsFailed
                && matches!(action, StoreAction::WriteLedger(..));
            let snapshot = needs_snapshot.then(|| Box::new(snapshot.clone()));
            vm.calls.push(Call { action, reply: None, snapshot });
        }
        (next != *state).then_some(next)
    }

    /// Lets a tick pass. The clock of the VM with the index `stalled` stands still.
    fn tick(&self, state: &GrantState, stalled: Option<usize>) -> GrantState {
        let mut next = state.clone();
        next.now += 1;
        next.has_stalled |= stalled.is_some();
        for (i, vm) in next.vms.iter_mut().enumerate() {
            if Some(i) != stalled {
                vm.clock = vm.clock.after(Millis(1));
            }
        }
        let now = next.now;
        next.store.leases.retain(|_, expiry| now < *expiry);
        let leases = &next.store.leases;
        next.store.leads.retain(|_, lease| leases.contains_key(lease));
        next
    }

    fn serve(&self, store: &mut Store, action: &StoreAction, now: u64) -> Reply {
        match action {
            StoreAction::TakeLease(ttl) => {
                store.next += 1;
                let lease = Lease(store.next);
                store.leases.insert(lease, now + ttl.0);
                Reply::Lease(Answer::Applied(lease))
            }
            StoreAction::Claim(zone, lease) => {
                let dead = !store.leases.contains_key(lease);
                if dead || store.leads.contains_key(zone) {
                    return Reply::Write(Answer::Refused);
                }
                store.leads.insert(zone.clone(), *lease);
                Reply::Write(Answer::Applied(Revision(0)))
            }
            StoreAction::KeepAlive(lease) => {
                let Some(expiry) = store.leases.get_mut(lease) else {
                    return Reply::KeepAlive(Answer::Refused);
                };
                *expiry = now + self.ttl.0;
                Reply::KeepAlive(Answer::Applied(()))
            }
            StoreAction::ReadLead(zone, _) => Reply::Lead(Some(store.leads.get(zone).copied())),
            StoreAction::ReadLedger(_) => Reply::Ledger(Some(store.ledger.clone())),
            StoreAction::WriteLedger(_, write) => {
                if write.revision != store.ledger.revision {
                    return Reply::Write(Answer::Refused);
                }
                let revision = Revision(write.revision.map_or(1, |it| it.0 + 1));
                store.ledger =
                    Revisioned { revision: Some(revision), ledger: write.ledger.clone() };
                Reply::Write(Answer::Applied(revision))
            }
        }
    }

    fn deliver(&self, vm: &mut Vm, call: Call, reply: Reply) {
        if let (Some(snapshot), Reply::Write(Answer::Unknown)) = (call.snapshot, &reply) {
            vm.holder = *snapshot;
            return;
        }
        match (call.action, reply) {
            (StoreAction::TakeLease(_), Reply::Lease(answer)) => {
                if self.fault == GrantFault::ExpiryFromReply {
                    let zone = vm.holder.zone().clone();
                    vm.holder = LeaseHolder::new(zone, self.settings());
                    vm.holder.on_tick(&BTreeMap::new(), vm.clock);
                }
                vm.holder.on_lease(answer);
            }
            (StoreAction::Claim(..), Reply::Write(answer)) => vm.holder.on_claim(answer),
            (StoreAction::KeepAlive(_), Reply::KeepAlive(answer)) => {
                vm.holder.on_keep_alive(answer)
            }
            (StoreAction::ReadLead(..), Reply::Lead(shown)) => vm.holder.on_lead(shown, vm.clock),
            (StoreAction::ReadLedger(cap), Reply::Ledger(read)) => vm.holder.on_read(&cap, read),
            (StoreAction::WriteLedger(cap, _), Reply::Write(answer)) => {
                vm.holder.on_write(&cap, answer);
            }
            (action, reply) => unreachable!("{reply:?} is no reply to {action:?}"),
        }
    }

    /// Adds the possible steps of one call.
    fn call_steps(
        &self,
        state: &GrantState,
        i: usize,
        k: usize,
        steps: &mut Vec<(GrantAction, GrantState)>,
    ) {
        let call = &state.vms[i].calls[k];
        let action = call.action.clone();
        if let Some(reply) = call.reply.clone() {
            let next = self.answer(state.clone(), i, k, reply);
            steps.push((GrantAction::Reply(i, action), next));
            return;
        }
        let mut next = state.clone();
        let reply = self.serve(&mut next.store, &action, next.now);
        let reads = matches!(action, StoreAction::ReadLead(..) | StoreAction::ReadLedger(_));
        let writes = matches!(action, StoreAction::WriteLedger(..) | StoreAction::Claim(..));
        if 0 < state.losses_left {
            let mut lost = if reads { state.clone() } else { next.clone() };
            lost.losses_left -= 1;
            let lost = self.answer(lost, i, k, lost_reply(&action));
            steps.push((GrantAction::LoseAnswer(i, action.clone()), lost));
        }
        if 0 < state.losses_left && writes {
            // This includes requests that are lost: their delayed write never arrives.
            let mut lost = state.clone();
            lost.losses_left -= 1;
            lost.store.delayed.push(action.clone());
            let lost = self.answer(lost, i, k, lost_reply(&action));
            steps.push((GrantAction::Delay(i, action.clone()), lost));
        }
        if reads {
            // The reply to a read is delivered at once: the calls that follow from it may be delayed
            // themselves, which covers a late reply.
            steps.push((GrantAction::Serve(i, action), self.answer(next, i, k, reply)));
            return;
        }
        next.vms[i].calls[k].reply = Some(reply);
        steps.push((GrantAction::Serve(i, action), next));
    }

    /// Delivers the reply to a call and runs the VM's tick.
    fn answer(&self, mut state: GrantState, i: usize, k: usize, reply: Reply) -> GrantState {
        let call = state.vms[i].calls.remove(k);
        let ledger = matches!(call.action, StoreAction::ReadLedger(_));
        let failed = call.snapshot.is_some() && reply == Reply::Write(Answer::Unknown);
        self.deliver(&mut state.vms[i], call, reply);
        // Other VMs may act between the read of a ledger and the next tick.
        if failed || ledger {
            return state;
        }
        self.run(&state, i).unwrap_or(state)
    }
}

fn lost_reply(action: &StoreAction) -> Reply {
    match action {
        StoreAction::TakeLease(_) => Reply::Lease(Answer::Unknown),
        StoreAction::Claim(..) | StoreAction::WriteLedger(..) => Reply::Write(Answer::Unknown),
        StoreAction::KeepAlive(_) => Reply::KeepAlive(Answer::Unknown),
        StoreAction::ReadLead(..) => Reply::Lead(None),
        StoreAction::ReadLedger(_) => Reply::Ledger(None),
    }
}

impl Model for GrantModel {
    type State = GrantState;
    type Action = GrantAction;

    fn start(&self) -> GrantState {
        let mut store = Store::default();
        let mut vms = Vec::new();
        for zone in &self.zones {
            let holder = LeaseHolder::new(zone.clone(), self.settings());
            let mut vm = Vm { holder, clock: Time::ZERO, calls: Vec::new() };
            // Each data centre's first VM starts as its lease holder.
            while !self.without_leases && !store.leads.contains_key(zone) {
                for action in vm.holder.on_tick(&BTreeMap::new(), Time::ZERO) {
                    let reply = self.serve(&mut store, &action, 0);
                    let call = Call { action, reply: None, snapshot: None };
                    self.deliver(&mut vm, call, reply);
                }
            }
            vms.push(vm);
        }
        GrantState { vms, store, now: 0, losses_left: self.losses, has_stalled: !self.may_stall }
    }

    fn steps(&self, state: &GrantState) -> Vec<(GrantAction, GrantState)> {
        let mut steps = Vec::new();
        for i in 0..state.vms.len() {
            if let Some(next) = self.run(state, i) {
                steps.push((GrantAction::Run(i), next));
            }
            for k in 0..state.vms[i].calls.len() {
                self.call_steps(state, i, k, &mut steps);
            }
        }
        if state.now < self.last_tick && !state.has_stalled {
            steps.push((GrantAction::Tick(Some(0)), self.tick(state, Some(0))));
        }
        if state.now < self.last_tick {
            steps.push((GrantAction::Tick(None), self.tick(state, None)));
        }
        for k in 0..state.store.delayed.len() {
            let mut next = state.clone();
            let action = next.store.delayed.remove(k);
            self.serve(&mut next.store, &action, next.now);
            steps.push((GrantAction::Arrive(action), next));
        }
        steps
    }

    fn violated_invariant(&self, state: &GrantState) -> Option<&'static str> {
        let mut sum = 0;
        for vm in &state.vms {
            sum += vm.holder.spendable(&cap(), vm.clock).0;
        }
        (self.total < sum).then_some("the sum of all spendable shares is at most the cap")
    }
}
