//! Models two VMs that receive the tokens of one quota from a keeper.
//!
//! Messages are delivered at any later time, in any order, or never; VMs are killed and start anew at once. A window is two
//! ticks, and so is a lease. The model has the accounts of the keeper in small whole numbers; which VM gets how many tokens is
//! left open. Not modelled: a keeper that takes over.

use std::collections::BTreeSet;

use crate::Model;

const VMS: usize = 2;
/// Length of a window, in ticks.
const WINDOW: usize = 2;
/// Time for which tokens may be used after they were reported or received, in ticks.
const LEASE: u8 = 2;
/// Requests that all VMs may admit in a window.
const LIMIT: u8 = 2;
/// Accounts older than this are not distinguished.
const OLDEST: u8 = LEASE + WINDOW as u8;

/// A fault that is put into the model on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaFault {
    /// No fault.
    None,
    /// The keeper forgets an account as soon as its tokens have lapsed.
    ShortMemory,
    /// A VM uses tokens of any age.
    NoLease,
    /// The lease starts with the answer, not with the report.
    LeaseFromAnswer,
    /// An answer to an earlier report takes effect.
    LateAnswer,
    /// The keeper takes reports in any order.
    LateReport,
    /// Reports do not say what was used.
    UseHidden,
    /// The keeper forgets a VM's earlier process when it reports anew.
    ProcessForgotten,
    /// Tokens that the keeper takes back count as free at once.
    TakenAtOnce,
}

/// The model and its limits.
#[derive(Debug, Clone, Copy)]
pub struct QuotaModel {
    /// The fault in the model.
    pub fault: QuotaFault,
    /// Number of ticks.
    pub ticks: u8,
    /// Maximum number of reports in a run.
    pub reports: u8,
    /// Maximum number of kills in a run.
    pub kills: u8,
}

impl Default for QuotaModel {
    fn default() -> QuotaModel {
        QuotaModel { fault: QuotaFault::None, ticks: 4, reports: 3, kills: 1 }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Vm {
    start: u8,
    number: u8,
    /// Tick of the report whose answer is awaited.
    sent: Option<u8>,
    tokens: u8,
    /// Tick from which tokens are not used.
    expires: u8,
    /// Requests admitted by this process, by age in ticks.
    used: [u8; WINDOW],
}

/// What the keeper knows of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Account {
    vm: usize,
    start: u8,
    number: u8,
    used: u8,
    tokens: u8,
    age: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Report { vm: usize, start: u8, number: u8, used: u8, tokens: u8 },
    Answer { vm: usize, start: u8, number: u8, change: i8 },
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaState {
    vms: [Vm; VMS],
    accounts: BTreeSet<Account>,
    messages: BTreeSet<Message>,
    /// Requests that ran, by age in ticks.
    admitted: [u8; WINDOW],
    tick: u8,
    reports: u8,
    kills: u8,
}

/// An action; each number is the index of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaAction {
    /// Time passes.
    Tick,
    /// A VM reports; it gives up the last report.
    Report(usize),
    /// A message arrives; the keeper changes the VM's tokens by that many.
    Deliver(usize, i8),
    /// A VM admits a request, which runs.
    Admit(usize),
    /// A VM is killed and starts anew.
    Kill(usize),
}

impl QuotaModel {
    fn is(&self, fault: QuotaFault) -> bool {
        self.fault == fault
    }

    /// Requests of an account that may count in a window that ends now or later.
    fn charge(&self, account: &Account) -> u8 {
        let used = if usize::from(account.age) < WINDOW { account.used } else { 0 };
        let memory = if self.is(QuotaFault::ShortMemory) { LEASE } else { OLDEST };
        let held = if account.age < memory { account.tokens } else { 0 };
        used + held
    }

    fn report(&self, state: &QuotaState, index: usize) -> QuotaState {
        let mut next = state.clone();
        next.reports += 1;
        let vm = &mut next.vms[index];
        vm.number += 1;
        vm.sent = Some(state.tick);
        if !self.is(QuotaFault::NoLease) && vm.expires <= state.tick {
            vm.tokens = 0;
        }
        let used = vm.used.iter().sum();
        next.messages.insert(Message::Report {
            vm: index,
            start: vm.start,
            number: vm.number,
            used: if self.is(QuotaFault::UseHidden) { 0 } else { used },
            tokens: vm.tokens,
        });
        next
    }

    /// The keeper answers a report with a change to the VM's tokens; `None` if it may not make that change.
    fn answer(&self, state: &QuotaState, message: Message, change: i8) -> Option<QuotaState> {
        let Message::Report { vm, start, number, used, tokens } = message else { return None };
        let mut next = state.clone();
        next.messages.remove(&message);
        let is_same = |it: &Account| it.vm == vm && it.start == start;
        let known = state.accounts.iter().find(|it| is_same(it)).map(|it| it.number);
        if known.is_some_and(|it| number <= it) && !self.is(QuotaFault::LateReport) {
            return (change == 0).then_some(next);
        }
        next.accounts.clear();
        for account in &state.accounts {
            let mut account = *account;
            if is_same(&account) {
                continue;
            }
            if account.vm == vm && account.start < start {
                if self.is(QuotaFault::ProcessForgotten) {
                    continue;
                }
                if account.tokens != 0 {
                    account.used += std::mem::take(&mut account.tokens);
                    account.age = 0;
                }
            }
            next.accounts.insert(account);
        }
        let others: u8 = next.accounts.iter().map(|it| self.charge(it)).sum();
        let left = tokens.checked_add_signed(change)?;
        if 0 < change && LIMIT < others + used + left {
            return None;
        }
        let counted = if self.is(QuotaFault::TakenAtOnce) { left } else { tokens.max(left) };
        next.accounts.insert(Account { vm, start, number, used, tokens: counted, age: 0 });
        next.messages.insert(Message::Answer { vm, start, number, change });
        Some(next)
    }

    fn receive(&self, state: &QuotaState, message: Message) -> QuotaState {
        let mut next = state.clone();
        next.messages.remove(&message);
        let Message::Answer { vm: index, start, number, change } = message else { return next };
        let vm = &mut next.vms[index];
        let is_late = vm.number != number || vm.sent.is_none();
        if vm.start != start || (is_late && !self.is(QuotaFault::LateAnswer)) {
            return next;
        }
        let sent = vm.sent.take().unwrap_or(state.tick);
        if !self.is(QuotaFault::NoLease) && vm.expires <= state.tick {
            vm.tokens = 0;
        }
        let from = if self.is(QuotaFault::LeaseFromAnswer) { state.tick } else { sent };
        vm.expires = from + LEASE;
        vm.tokens = vm.tokens.saturating_add_signed(change);
        next
    }

    fn tick(&self, state: &QuotaState) -> QuotaState {
        let mut next = state.clone();
        next.tick += 1;
        next.admitted = [0, state.admitted[0]];
        for vm in &mut next.vms {
            vm.used = [0, vm.used[0]];
        }
        let older = |it: &Account| Account { age: (it.age + 1).min(OLDEST), ..*it };
        next.accounts = state.accounts.iter().map(older).collect();
        next
    }

    fn steps_of_vm(&self, state: &QuotaState, index: usize) -> Vec<(QuotaAction, QuotaState)> {
        let mut steps = Vec::new();
        let vm = &state.vms[index];
        if state.reports < self.reports {
            steps.push((QuotaAction::Report(index), self.report(state, index)));
        }
        if 0 < vm.tokens && (state.tick < vm.expires || self.is(QuotaFault::NoLease)) {
            let mut next = state.clone();
            next.vms[index].tokens -= 1;
            next.vms[index].used[0] += 1;
            next.admitted[0] += 1;
            steps.push((QuotaAction::Admit(index), next));
        }
        if state.kills < self.kills {
            let mut next = state.clone();
            next.kills += 1;
            next.vms[index] = Vm { start: vm.start + 1, ..Vm::default() };
            steps.push((QuotaAction::Kill(index), next));
        }
        steps
    }
}

impl Model for QuotaModel {
    type State = QuotaState;
    type Action = QuotaAction;

    fn start(&self) -> QuotaState {
        QuotaState {
            vms: Default::default(),
            accounts: BTreeSet::new(),
            messages: BTreeSet::new(),
            admitted: [0; WINDOW],
            tick: 0,
            reports: 0,
            kills: 0,
        }
    }

    fn steps(&self, state: &QuotaState) -> Vec<(QuotaAction, QuotaState)> {
        let mut steps = Vec::new();
        if state.tick < self.ticks {
            steps.push((QuotaAction::Tick, self.tick(state)));
        }
        for index in 0..VMS {
            steps.extend(self.steps_of_vm(state, index));
        }
        for message in &state.messages {
            match message {
                Message::Report { vm, .. } => {
                    for change in [-1, 0, 1, 2] {
                        if let Some(next) = self.answer(state, *message, change) {
                            steps.push((QuotaAction::Deliver(*vm, change), next));
                        }
                    }
                }
                Message::Answer { vm, change, .. } => {
                    let next = self.receive(state, *message);
                    steps.push((QuotaAction::Deliver(*vm, *change), next));
                }
            }
        }
        steps
    }

    fn violated_invariant(&self, state: &QuotaState) -> Option<&'static str> {
        let admitted: u8 = state.admitted.iter().sum();
        (LIMIT < admitted).then_some("more requests in a window than the quota allows")
    }
}
