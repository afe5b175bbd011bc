//! Memory that is held for messages and connections.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use th_protocol::{Bytes, Time};
use th_steer::held::{Admission, HeldKind, HeldMemory, HeldSettings};
use tokio::sync::Notify;

/// Memory of a connection beside the messages on it: the first read and write buffers of the HTTP library, and its task.
pub(crate) const CONNECTION_COST: Bytes = Bytes(20 << 10);

/// A bounded amount of memory, shared by all requests and connections.
#[derive(Debug)]
pub(crate) struct MemoryPool {
    held: RefCell<HeldMemory>,
    /// Wakes those who wait for memory.
    freed: Notify,
    /// Number of requests that were turned away since the last call of [`MemoryPool::tick`].
    refused: Cell<u64>,
}

impl MemoryPool {
    pub(crate) fn new(settings: HeldSettings) -> Rc<MemoryPool> {
        let held = RefCell::new(HeldMemory::new(settings));
        Rc::new(MemoryPool { held, freed: Notify::new(), refused: Cell::new(0) })
    }

    /// Whether that much more fits now.
    pub(crate) fn fits(&self, kind: HeldKind, bytes: Bytes) -> bool {
        self.held.borrow().fits(kind, bytes)
    }

    /// What is held for one kind.
    pub(crate) fn used(&self, kind: HeldKind) -> Bytes {
        self.held.borrow().used(kind)
    }

    /// The limit on all that is held.
    pub(crate) fn limit(&self) -> Bytes {
        self.held.borrow().limit()
    }

    /// The most that one message may take.
    pub(crate) fn largest_message(&self) -> Bytes {
        self.held.borrow().largest_message()
    }

    /// Reserves memory for an answer of the expected size, or turns its request away.
    pub(crate) fn admit(&self, expected: Bytes, deadline: Time, now: Time) -> Admission {
        let admission = self.held.borrow_mut().admit(expected, deadline, now);
        if matches!(admission, Admission::Refused(..)) {
            self.count_refusal();
        }
        admission
    }

    /// Counts a request that was turned away.
    pub(crate) fn count_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Updates the rate at which callers take their answers, and reports refusals.
    pub(crate) fn tick(&self, now: Time) {
        self.held.borrow_mut().tick(now);
        let refused = self.refused.take();
        if 0 < refused {
            let (held, limit) = (self.held.borrow().total(), self.limit());
            log::warn!(target: "entry", "refused={refused} held={held} limit={limit} Turned requests away for lack of memory or of link capacity.");
        }
    }
}

/// Memory reserved for one message or connection; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    pool: Rc<MemoryPool>,
    kind: HeldKind,
    bytes: u64,
}

impl Reservation {
    pub(crate) fn new(pool: &Rc<MemoryPool>, kind: HeldKind) -> Reservation {
        Reservation { pool: Rc::clone(pool), kind, bytes: 0 }
    }

    /// The memory of a connection.
    pub(crate) fn connection(pool: &Rc<MemoryPool>) -> Reservation {
        let mut memory = Reservation::new(pool, HeldKind::Connections);
        memory.set(CONNECTION_COST);
        memory
    }

    /// Takes over what the pool has reserved for an answer.
    pub(crate) fn expected(pool: &Rc<MemoryPool>, reserved: Bytes) -> Reservation {
        Reservation { pool: Rc::clone(pool), kind: HeldKind::Expected, bytes: reserved.0 }
    }

    /// Reserves more bytes. Returns false if all together would exceed the limit.
    pub(crate) fn reserve(&mut self, bytes: u64) -> bool {
        let mut held = self.pool.held.borrow_mut();
        let fits = match self.kind {
            HeldKind::Answers => held.try_hold_unexpected(Bytes(bytes)),
            kind => held.try_hold(kind, Bytes(bytes)),
        };
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Reserves more bytes, waiting until others have released theirs. Returns false if this message alone would exceed
    /// what one may take.
    pub(crate) async fn reserve_in_turn(&mut self, bytes: u64) -> bool {
        if self.pool.largest_message().0 < self.bytes.saturating_add(bytes) {
            return false;
        }
        while !self.reserve(bytes) {
            let pool = Rc::clone(&self.pool);
            pool.freed.notified().await;
        }
        true
    }

    /// Moves up to that many bytes from what was reserved for an answer to this answer. Returns how many.
    pub(crate) fn draw(&mut self, expected: &mut Reservation, bytes: u64) -> u64 {
        let drawn = bytes.min(expected.bytes);
        self.pool.held.borrow_mut().answer(Bytes(drawn));
        expected.bytes -= drawn;
        self.bytes += drawn;
        drawn
    }

    /// Holds this many bytes in all, whether or not they fit, because they are already there.
    pub(crate) fn set(&mut self, bytes: Bytes) {
        if bytes.0 < self.bytes {
            self.release(self.bytes - bytes.0);
        } else {
            self.pool.held.borrow_mut().hold(self.kind, Bytes(bytes.0 - self.bytes));
            self.bytes = bytes.0;
        }
    }

    /// Whether anything more fits.
    pub(crate) fn may_grow(&self) -> bool {
        self.pool.fits(self.kind, Bytes(1))
    }

    fn release(&mut self, bytes: u64) {
        self.bytes -= bytes;
        if 0 < bytes {
            self.pool.held.borrow_mut().release(self.kind, Bytes(bytes));
            self.pool.freed.notify_waiters();
        }
    }

    /// Releases all bytes.
    pub(crate) fn clear(&mut self) {
        self.release(self.bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}
