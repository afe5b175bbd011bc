//! The owner's table of operations.

use std::{
    collections::BTreeMap,
    mem::size_of,
    ops::Bound::{Excluded, Unbounded},
};

use th_protocol::{Bytes, Incarnation, Reason, Time, VmId};

use super::{
    begin::{BeginOutcome, Checkpoint},
    fingerprint::Fingerprint,
    idempotency::IdempotencyKey,
    name::OperationName,
    operation::{Admitted, Dispatched, Operation, Undispatched},
    settings::TicketSettings,
    ticket::Ticket,
};

/// Memory that an operation is charged for, besides its key's text and its answer.
///
/// Room for a half-full tree node's share, the key's allocation and an answer's handle.
pub const OPERATION_BYTES: Bytes = Bytes(256);

/// Allocator and reference-count overhead of a key's text, in bytes.
const KEY_OVERHEAD: usize = 32;

const _: () = {
    let slot = size_of::<OperationName>() + size_of::<Entry<[usize; 4]>>();
    assert!(2 * slot + KEY_OVERHEAD <= OPERATION_BYTES.0 as usize);
};

/// How far an operation got.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase<A> {
    /// Its token is received or admitted.
    Waiting,
    /// Its token is dispatched.
    Running,
    /// It ran, and its answer is here.
    Kept(A, Bytes),
    /// It may have run.
    Unknown(Reason),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry<A> {
    print: Fingerprint,
    phase: Phase<A>,
}

impl<A> Entry<A> {
    fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Running)
    }
}

/// Every operation that one incarnation of an entry VM has taken, until its ticket expires.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketTable<A> {
    vm: VmId,
    incarnation: Incarnation,
    settings: TicketSettings,
    entries: BTreeMap<OperationName, Entry<A>>,
    used: Bytes,
    answers: Bytes,
    open: usize,
    closed: bool,
    /// Latest time of a sweep: whatever expired by then may have been forgotten.
    horizon: Time,
    cursor: Option<OperationName>,
}

impl<A: Clone> TicketTable<A> {
    /// An empty table of one incarnation.
    pub fn new(vm: VmId, incarnation: Incarnation, settings: TicketSettings) -> TicketTable<A> {
        TicketTable {
            vm,
            incarnation,
            settings,
            entries: BTreeMap::new(),
            used: Bytes::ZERO,
            answers: Bytes::ZERO,
            open: 0,
            closed: false,
            horizon: Time::ZERO,
            cursor: None,
        }
    }

    /// Says what becomes of a request.
    ///
    /// What is known of the operation is told even after the ticket's expiry and during a stop.
    pub fn begin(
        &mut self,
        ticket: &Ticket,
        key: IdempotencyKey,
        print: Fingerprint,
        now: Time,
    ) -> BeginOutcome<A> {
        if ticket.vm != self.vm {
            return BeginOutcome::Forward(ticket.vm.clone());
        }
        if ticket.incarnation != self.incarnation {
            return BeginOutcome::Unknown(Reason::OwnerGone);
        }
        let name = OperationName::new(ticket, key);
        if let Some(entry) = self.entries.get(&name) {
            return known(entry, print);
        }
        if ticket.expiry <= now.max(self.horizon) {
            return BeginOutcome::Unknown(Reason::TicketExpired);
        }
        if now.after(self.settings.longest) < ticket.expiry {
            return BeginOutcome::Rejected(Reason::BadTicket);
        }
        if self.closed {
            return BeginOutcome::Rejected(Reason::Stopping);
        }
        let used = self.used + cost(&name);
        if self.settings.budget < used {
            return BeginOutcome::Rejected(Reason::TicketsFull);
        }
        self.used = used;
        self.open += 1;
        self.entries.insert(name.clone(), Entry { print, phase: Phase::Waiting });
        BeginOutcome::Fresh(Operation::new(name))
    }

    /// Ends an operation as not run. Its key is free for a later repeat under the same ticket.
    pub fn abandon<S: Undispatched>(&mut self, operation: Operation<S>) {
        let name = operation.into_name();
        let waiting = self.waits(&name);
        if !waiting {
            return;
        }
        self.remove(&name);
    }

    /// Takes the last step before the first byte. An error means that the operation was surely not run.
    pub fn dispatch(
        &mut self,
        operation: Operation<Admitted>,
        checkpoint: Checkpoint,
    ) -> std::result::Result<Operation<Dispatched>, Reason> {
        if let Some(reason) = self.obstacle(operation.name(), checkpoint) {
            self.abandon(operation);
            return Err(reason);
        }
        let name = operation.into_name();
        self.set(&name, Phase::Running);
        Ok(Operation::new(name))
    }

    fn obstacle(&self, name: &OperationName, checkpoint: Checkpoint) -> Option<Reason> {
        if checkpoint.incarnation != self.incarnation {
            return Some(Reason::OwnerGone);
        }
        if name.expiry() <= checkpoint.now {
            return Some(Reason::TicketExpired);
        }
        if checkpoint.deadline <= checkpoint.now {
            return Some(Reason::Deadline);
        }
        if !self.waits(name) {
            return Some(Reason::Cancelled);
        }
        None
    }

    /// Ends an operation with its whole answer, of `size` bytes.
    ///
    /// An answer that does not fit is not kept; a repeat is then told unknown, with [`Reason::TicketsFull`].
    pub fn answer(&mut self, operation: Operation<Dispatched>, answer: A, size: Bytes) {
        let name = operation.into_name();
        let fits = self.used + size <= self.settings.budget
            && self.answers + size <= self.settings.answers;
        if !fits {
            self.end(&name, Phase::Unknown(Reason::TicketsFull));
            return;
        }
        if self.end(&name, Phase::Kept(answer, size)) {
            self.used += size;
            self.answers += size;
        }
    }

    /// Ends an operation that may have run.
    pub fn unknown(&mut self, operation: Operation<Dispatched>, reason: Reason) {
        self.end(&operation.into_name(), Phase::Unknown(reason));
    }

    /// Takes an operation back to admitted, because whoever it was sent to said in its answer that it ran nothing.
    pub fn on_not_executed(&mut self, operation: Operation<Dispatched>) -> Operation<Admitted> {
        let name = operation.into_name();
        let runs = self.entries.get(&name).is_some_and(Entry::is_open);
        if runs {
            self.set(&name, Phase::Waiting);
        }
        Operation::new(name)
    }

    /// Ends, as unknown, an operation whose token is gone.
    pub fn on_token_lost(&mut self, name: &OperationName, reason: Reason) {
        let open = self.entries.get(name).is_some_and(Entry::is_open);
        if open {
            self.end(name, Phase::Unknown(reason));
        }
    }

    /// Drops operations whose tickets have expired, and says how many. Those in flight stay until they end.
    ///
    /// Looks at a bounded number of them and goes on from there at the next call.
    pub fn sweep(&mut self, now: Time) -> usize {
        self.horizon = self.horizon.max(now);
        let from = self.cursor.take().map_or(Unbounded, Excluded);
        let mut dropped = Vec::new();
        let mut seen = 0;
        for (name, entry) in self.entries.range((from, Unbounded)) {
            if now < name.expiry() {
                break;
            }
            if self.settings.sweep <= seen {
                break;
            }
            seen += 1;
            self.cursor = Some(name.clone());
            if !entry.is_open() {
                dropped.push(name.clone());
            }
        }
        if seen < self.settings.sweep {
            self.cursor = None;
        }
        for name in &dropped {
            self.remove(name);
        }
        dropped.len()
    }

    /// Receives nothing new from here on; what is known stays known.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Operations that have begun and not ended.
    pub fn in_flight(&self) -> usize {
        self.open
    }

    /// Operations in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no operations.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Memory charged for operations and kept answers.
    pub fn used(&self) -> Bytes {
        self.used
    }

    /// The incarnation that the table belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn waits(&self, name: &OperationName) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| matches!(entry.phase, Phase::Waiting))
    }

    fn set(&mut self, name: &OperationName, phase: Phase<A>) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.phase = phase;
        }
    }

    /// Ends a running or waiting operation; `false` where it was not open.
    fn end(&mut self, name: &OperationName, phase: Phase<A>) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        if !entry.is_open() {
            return false;
        }
        entry.phase = phase;
        self.open -= 1;
        true
    }

    fn remove(&mut self, name: &OperationName) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        self.used = self.used - cost(name);
        if entry.is_open() {
            self.open -= 1;
        }
        if let Phase::Kept(_, size) = entry.phase {
            self.used = self.used - size;
            self.answers = self.answers - size;
        }
    }
}

fn cost(name: &OperationName) -> Bytes {
    OPERATION_BYTES + Bytes(name.key().as_str().len() as u64)
}

fn known<A: Clone>(entry: &Entry<A>, print: Fingerprint) -> BeginOutcome<A> {
    if entry.print != print {
        return BeginOutcome::Rejected(Reason::KeyReused);
    }
    match &entry.phase {
        Phase::Waiting | Phase::Running => BeginOutcome::InFlight,
        Phase::Kept(answer, _) => BeginOutcome::Answered(answer.clone()),
        Phase::Unknown(reason) => BeginOutcome::Unknown(*reason),
    }
}
