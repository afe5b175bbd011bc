//! VMs that share quotas over a simulated network.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use th_protocol::{Millis, OrganisationId, RequestRate, Time, VmId};
use th_steer::quota::{Quota, QuotaBook, QuotaLimits, REPORT_TIMEOUT, UsageAnswer, UsageReport};

/// Length of a step.
const STEP: Millis = Millis(10);
/// Time for which a request waits for a token.
const WAIT: Millis = Millis(400);
const START: Time = Time(1_000_000);

/// A fault that is put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Each VM decides alone, with its equal part.
    EqualParts,
    /// Each VM takes itself for the only one.
    SeesItself,
    /// Reports leave out what was used.
    UseHidden,
    /// Reports leave out the tokens held.
    TokensHidden,
}

enum Message {
    Report(UsageReport),
    Answer(UsageAnswer),
}

struct Vm {
    id: VmId,
    book: QuotaBook,
    dead: bool,
    frozen: Time,
    /// VMs of other groups cannot be reached.
    group: u8,
    /// The keeper that is asked, and until when.
    call: Option<(VmId, Time)>,
}

impl Vm {
    fn is_running(&self, now: Time) -> bool {
        !self.dead && self.frozen <= now
    }
}

/// One organisation of the simulation, whose requests are recorded.
pub(crate) struct Organisation {
    pub(crate) id: OrganisationId,
    pub(crate) quota: Quota,
    /// Requests a second.
    pub(crate) asked: f64,
    /// Index of the first and number of the VMs that its callers use.
    pub(crate) vms: (usize, usize),
    /// Requests that were made, and the times of those let in.
    pub(crate) made: Vec<Time>,
    pub(crate) admitted: Vec<Time>,
}

pub(crate) struct Fleet {
    vms: Vec<Vm>,
    pub(crate) organisations: Vec<Organisation>,
    pub(crate) now: Time,
    /// Share of messages that are lost, and longest delay of one.
    pub(crate) loss: f64,
    pub(crate) delay: Millis,
    messages: Vec<(Time, usize, usize, Message)>,
    fault: Fault,
    /// VM, organisation and end of the wait of requests that wait for a token.
    waiting: Vec<(usize, usize, Time)>,
    rng: ChaCha8Rng,
}

pub(crate) fn quota(rate: f64, burst: f64) -> Quota {
    Quota { rate: RequestRate::per_second(rate).unwrap(), burst }
}

impl Fleet {
    pub(crate) fn new(count: usize, quotas: &[Quota], fault: Fault, seed: u64) -> Fleet {
        let mut organisations = Vec::new();
        for (number, quota) in quotas.iter().enumerate() {
            let id = format!("org-{number}").parse().unwrap();
            let (asked, vms) = (quota.rate.requests(), (0, count));
            let (made, admitted) = (Vec::new(), Vec::new());
            organisations.push(Organisation { id, quota: *quota, asked, vms, made, admitted });
        }
        let mut fleet = Fleet {
            vms: Vec::new(),
            organisations,
            now: START,
            loss: 0.0,
            delay: Millis(40),
            messages: Vec::new(),
            fault,
            waiting: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..count {
            let id: VmId = format!("vm-{number}").parse().unwrap();
            let book = QuotaBook::new(QuotaLimits::default(), id.clone(), fleet.now);
            let vm = Vm { id, book, dead: false, frozen: Time::ZERO, group: 0, call: None };
            fleet.vms.push(vm);
        }
        for index in 0..count {
            fleet.prepare(index);
        }
        fleet
    }

    fn prepare(&mut self, index: usize) {
        let ids: Vec<_> = self.vms.iter().map(|it| (it.id.clone(), None)).collect();
        let quotas = self.quotas();
        let vm = &mut self.vms[index];
        let members = if self.fault == Fault::SeesItself { Vec::new() } else { ids };
        vm.book.set_members(members, self.now);
        vm.book.set_quotas(quotas, self.now);
    }

    fn quotas(&self) -> BTreeMap<OrganisationId, Quota> {
        self.organisations.iter().map(|it| (it.id.clone(), it.quota)).collect()
    }

    /// Puts the quotas of the organisations in force at all VMs.
    pub(crate) fn configure(&mut self) {
        let quotas = self.quotas();
        for vm in &mut self.vms {
            vm.book.set_quotas(quotas.clone(), self.now);
        }
    }

    /// All VMs learn which are registered.
    pub(crate) fn update_members(&mut self) {
        let alive = self.vms.iter().filter(|it| !it.dead).map(|it| (it.id.clone(), None));
        let alive: Vec<_> = alive.collect();
        for vm in &mut self.vms {
            vm.book.set_members(alive.clone(), self.now);
        }
    }

    /// Index of the VM that the first one takes for the keeper.
    pub(crate) fn keeper(&self) -> usize {
        let now = self.now;
        let alive = self.vms.iter().find(|it| !it.dead).unwrap();
        let keeper = alive.book.keeper(now);
        self.vms.iter().position(|it| it.id == keeper).unwrap()
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.vms[index].dead = true;
    }

    /// Starts a VM anew, under the same id.
    pub(crate) fn restart(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        vm.book = QuotaBook::new(QuotaLimits::default(), vm.id.clone(), now);
        (vm.dead, vm.call) = (false, None);
        self.prepare(index);
    }

    pub(crate) fn is_dead(&self, index: usize) -> bool {
        self.vms[index].dead
    }

    pub(crate) fn freeze(&mut self, index: usize, time: Millis) {
        self.vms[index].frozen = self.now.after(time);
    }

    pub(crate) fn set_group(&mut self, index: usize, group: u8) {
        self.vms[index].group = group;
    }

    pub(crate) fn run(&mut self, time: Millis) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(STEP);
            self.deliver();
            for index in 0..self.vms.len() {
                self.report(index);
            }
            self.ask();
            self.retry();
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.vms[index].is_running(self.now)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let lost = self.rng.random_bool(self.loss);
        if lost || self.vms[from].group != self.vms[to].group {
            return;
        }
        let delay = Millis(self.rng.random_range(1..=self.delay.0));
        self.messages.push((self.now.after(delay), from, to, message));
    }

    fn deliver(&mut self) {
        let messages = std::mem::take(&mut self.messages);
        for (due, from, to, message) in messages {
            if self.now < due || (!self.vms[to].dead && !self.is_running(to)) {
                self.messages.push((due, from, to, message));
                continue;
            }
            if self.vms[to].dead {
                continue;
            }
            match message {
                Message::Report(report) => {
                    let answer = self.vms[to].book.on_report(report, self.now);
                    self.send(to, from, Message::Answer(answer));
                }
                Message::Answer(answer) => {
                    let (now, vm) = (self.now, &mut self.vms[to]);
                    vm.call = None;
                    vm.book.on_answer(answer, now);
                }
            }
        }
    }

    fn report(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let (now, fault) = (self.now, self.fault);
        let vm = &mut self.vms[index];
        if let Some((keeper, end)) = &vm.call {
            if now < *end {
                return;
            }
            let keeper = keeper.clone();
            vm.call = None;
            vm.book.on_failure(keeper, now);
        }
        if now < vm.book.next_report() {
            return;
        }
        let equal = fault == Fault::EqualParts;
        let keeper = if equal { vm.id.clone() } else { vm.book.keeper(now) };
        let mut report = vm.book.report(&keeper, now);
        for entry in &mut report.entries {
            match fault {
                Fault::UseHidden => entry.used = 0,
                Fault::TokensHidden => entry.tokens = 0,
                _ => {}
            }
        }
        if keeper == vm.id {
            let answer = vm.book.on_report(report, now);
            vm.book.on_answer(answer, now);
            return;
        }
        vm.call = Some((keeper.clone(), now.after(REPORT_TIMEOUT)));
        let to = self.vms.iter().position(|it| it.id == keeper).unwrap();
        self.send(index, to, Message::Report(report));
    }

    fn ask(&mut self) {
        for number in 0..self.organisations.len() {
            let expected = self.organisations[number].asked * STEP.0 as f64 / 1_000.0;
            let mut count = expected as usize;
            count += usize::from(self.rng.random_bool(expected.fract()));
            for _ in 0..count {
                let (first, span) = self.organisations[number].vms;
                let index = (first + self.rng.random_range(0..span)) % self.vms.len();
                if self.is_running(index) {
                    let organisation = &mut self.organisations[number];
                    organisation.made.push(self.now);
                    let book = &mut self.vms[index].book;
                    if book.take(&organisation.id, self.now).is_ok() {
                        organisation.admitted.push(self.now);
                    } else if book.may_wait(&organisation.id) {
                        self.waiting.push((index, number, self.now.after(WAIT)));
                    }
                }
            }
        }
    }

    fn retry(&mut self) {
        for (index, number, end) in std::mem::take(&mut self.waiting) {
            let organisation = &mut self.organisations[number];
            if end < self.now || !self.vms[index].is_running(self.now) {
                continue;
            }
            if self.vms[index].book.take_waiting(&organisation.id, self.now) {
                organisation.admitted.push(self.now);
            } else {
                self.waiting.push((index, number, end));
            }
        }
    }

    /// Share of an organisation's requests since a time that were let in.
    pub(crate) fn share_since(&self, number: usize, since: Time) -> f64 {
        let it = &self.organisations[number];
        let count = |times: &[Time]| times.iter().filter(|at| since <= **at).count() as f64;
        count(&it.admitted) / count(&it.made).max(1.0)
    }

    /// The largest number of requests that were let in within a window that ends after a time, as a share of what is allowed.
    pub(crate) fn worst_window(&self, since: Time) -> f64 {
        let limits = QuotaLimits::default();
        let mut worst = 0.0f64;
        for it in &self.organisations {
            let mut first = 0;
            for (last, at) in it.admitted.iter().enumerate() {
                while it.admitted[first].after(limits.window) < *at {
                    first += 1;
                }
                if since <= *at {
                    worst = worst.max((last + 1 - first) as f64 / limits.allowed(it.quota));
                }
            }
        }
        worst
    }
}
