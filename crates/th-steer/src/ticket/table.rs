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

/// Memory charged for an operation, in addition to its key's text and its answer.
///
/// It covers the operation's share of a half-full tree node, the key's allocation and the answer's
/// handle.
pub const OPERATION_BYTES: Bytes = Bytes(256);

/// Overhead of the allocator and the reference counts for a key's text, in bytes.
const KEY_OVERHEAD_BYTES: usize = 32;

const _: () = {
    let slot = size_of::<OperationName>() + size_of::<Entry<[usize; 4]>>();
    assert!(2 * slot + KEY_OVERHEAD_BYTES <= OPERATION_BYTES.0 as usize);
};

/// Progress of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase<A> {
    /// The token is in the received or the admitted stage.
    Waiting,
    /// The token is in the dispatched stage.
    Running,
    /// The operation ran; this is its answer and the answer's size.
    Answered(A, Bytes),
    /// The operation may have run.
    Unknown(Reason),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry<A> {
    fingerprint: Fingerprint,
    phase: Phase<A>,
}

impl<A> Entry<A> {
    fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Running)
    }
}

/// All operations that one incarnation of an entry VM has accepted, until their tickets expire.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketTable<A> {
    vm: VmId,
    incarnation: Incarnation,
    settings: TicketSettings,
    entries: BTreeMap<OperationName, Entry<A>>,
    used: Bytes,
    answer_bytes: Bytes,
    open: usize,
    closed: bool,
    /// Latest time of a sweep. Operations whose tickets expired by then may have been removed.
    last_sweep: Time,
    cursor: Option<OperationName>,
}

impl<A: Clone> TicketTable<A> {
    /// Creates an empty table for one incarnation of an entry VM.
    pub fn new(vm: VmId, incarnation: Incarnation, settings: TicketSettings) -> TicketTable<A> {
        TicketTable {
            vm,
            incarnation,
            settings,
            entries: BTreeMap::new(),
            used: Bytes::ZERO,
            answer_bytes: Bytes::ZERO,
            open: 0,
            closed: false,
            last_sweep: Time::ZERO,
            cursor: None,
        }
    }

    /// Decides what happens to a request.
    ///
    /// The outcome of a known operation is returned even after the ticket's expiry and after
    /// [`TicketTable::close`].
    pub fn begin(
        &mut self,
        ticket: &Ticket,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
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
            return repeat_outcome(entry, fingerprint);
        }
        if ticket.expiry <= now.max(self.last_sweep) {
            return BeginOutcome::Unknown(Reason::TicketExpired);
        }
        if now.after(self.settings.max_lifetime) < ticket.expiry {
            return BeginOutcome::Rejected(Reason::BadTicket);
        }
        if self.closed {
            return BeginOutcome::Rejected(Reason::Stopping);
        }
        let used = self.used + memory_cost(&name);
        if self.settings.budget < used {
            return BeginOutcome::Rejected(Reason::TicketsFull);
        }
        self.used = used;
        self.open += 1;
        self.entries.insert(name.clone(), Entry { fingerprint, phase: Phase::Waiting });
        BeginOutcome::Fresh(Operation::new(name))
    }

    /// Ends an operation as not run. A later repeat under the same ticket may use its key again.
    pub fn abandon<S: Undispatched>(&mut self, operation: Operation<S>) {
        let name = operation.into_name();
        let waiting = self.is_waiting(&name);
        if !waiting {
            return;
        }
        self.remove(&name);
    }

    /// Moves an operation to the dispatched stage, right before its first byte is sent.
    ///
    /// An error means that the operation was certainly not run.
    pub fn dispatch(
        &mut self,
        operation: Operation<Admitted>,
        checkpoint: Checkpoint,
    ) -> std::result::Result<Operation<Dispatched>, Reason> {
        if let Some(reason) = self.check_dispatch(operation.name(), checkpoint) {
            self.abandon(operation);
            return Err(reason);
        }
        let name = operation.into_name();
        self.set_phase(&name, Phase::Running);
        Ok(Operation::new(name))
    }

    fn check_dispatch(&self, name: &OperationName, checkpoint: Checkpoint) -> Option<Reason> {
        if checkpoint.incarnation != self.incarnation {
            return Some(Reason::OwnerGone);
        }
        if name.expiry() <= checkpoint.now {
            return Some(Reason::TicketExpired);
        }
        if checkpoint.deadline <= checkpoint.now {
            return Some(Reason::Deadline);
        }
        if !self.is_waiting(name) {
            return Some(Reason::Cancelled);
        }
        None
    }

    /// Ends an operation with its complete answer, of `size` bytes.
    ///
    /// An answer that does not fit is not retained; a repeat then gets
    /// [`BeginOutcome::Unknown`] with [`Reason::TicketsFull`].
    pub fn answer(&mut self, operation: Operation<Dispatched>, answer: A, size: Bytes) {
        let name = operation.into_name();
        let fits = self.used + size <= self.settings.budget
            && self.answer_bytes + size <= self.settings.answer_budget;
        if !fits {
            self.finish(&name, Phase::Unknown(Reason::TicketsFull));
            return;
        }
        if self.finish(&name, Phase::Answered(answer, size)) {
            self.used += size;
            self.answer_bytes += size;
        }
    }

    /// Ends an operation that may have run, without an answer.
    pub fn unknown(&mut self, operation: Operation<Dispatched>, reason: Reason) {
        self.finish(&operation.into_name(), Phase::Unknown(reason));
    }

    /// Returns an operation to the admitted stage, because the answer of the server that it was sent
    /// to states that it was not executed.
    pub fn on_not_executed(&mut self, operation: Operation<Dispatched>) -> Operation<Admitted> {
        let name = operation.into_name();
        let is_open = self.entries.get(&name).is_some_and(Entry::is_open);
        if is_open {
            self.set_phase(&name, Phase::Waiting);
        }
        Operation::new(name)
    }

    /// Ends, as unknown, an operation whose token was dropped.
    pub fn on_token_lost(&mut self, name: &OperationName, reason: Reason) {
        let is_open = self.entries.get(name).is_some_and(Entry::is_open);
        if is_open {
            self.finish(name, Phase::Unknown(reason));
        }
    }

    /// Removes operations whose tickets have expired, and returns how many. Those in flight stay
    /// until they end.
    ///
    /// It examines a bounded number of operations; the next call continues from there.
    pub fn sweep(&mut self, now: Time) -> usize {
        self.last_sweep = self.last_sweep.max(now);
        let from = self.cursor.take().map_or(Unbounded, Excluded);
        let mut dropped = Vec::new();
        let mut seen = 0;
        for (name, entry) in self.entries.range((from, Unbounded)) {
            if now < name.expiry() {
                break;
            }
            if self.settings.sweep_limit <= seen {
                break;
            }
            seen += 1;
            self.cursor = Some(name.clone());
            if !entry.is_open() {
                dropped.push(name.clone());
            }
        }
        if seen < self.settings.sweep_limit {
            self.cursor = None;
        }
        for name in &dropped {
            self.remove(name);
        }
        dropped.len()
    }

    /// Rejects new operations from now on. Repeats of known operations are still answered.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns the number of operations that have begun and not ended.
    pub fn in_flight(&self) -> usize {
        self.open
    }

    /// Returns the number of operations in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no operations.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory charged for operations and retained answers.
    pub fn used(&self) -> Bytes {
        self.used
    }

    /// Returns the incarnation that the table belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn is_waiting(&self, name: &OperationName) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| matches!(entry.phase, Phase::Waiting))
    }

    fn set_phase(&mut self, name: &OperationName, phase: Phase<A>) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.phase = phase;
        }
    }

    /// Ends a waiting or running operation; returns `false` if it was not open.
    fn finish(&mut self, name: &OperationName, phase: Phase<A>) -> bool {
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
        self.used = self.used - memory_cost(name);
        if entry.is_open() {
            self.open -= 1;
        }
        if let Phase::Answered(_, size) = entry.phase {
            self.used = self.used - size;
            self.answer_bytes = self.answer_bytes - size;
        }
    }
}

fn memory_cost(name: &OperationName) -> Bytes {
    OPERATION_BYTES + Bytes(name.key().as_str().len() as u64)
}

fn repeat_outcome<A: Clone>(entry: &Entry<A>, fingerprint: Fingerprint) -> BeginOutcome<A> {
    if entry.fingerprint != fingerprint {
        return BeginOutcome::Rejected(Reason::KeyReused);
    }
    match &entry.phase {
        Phase::Waiting | Phase::Running => BeginOutcome::InFlight,
        Phase::Answered(answer, _) => BeginOutcome::Answered(answer.clone()),
        Phase::Unknown(reason) => BeginOutcome::Unknown(*reason),
    }
}
