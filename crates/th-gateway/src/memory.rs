//! Memory for buffered bodies.

use std::{cell::Cell, rc::Rc};

use th_protocol::Bytes;
use tokio::sync::Notify;

/// A bounded amount of memory, shared by all requests.
#[derive(Debug)]
pub(crate) struct MemoryPool {
    limit: Bytes,
    used: Cell<u64>,
    /// Wakes those who wait for memory.
    freed: Notify,
}

impl MemoryPool {
    pub(crate) fn new(limit: Bytes) -> Rc<MemoryPool> {
        Rc::new(MemoryPool { limit, used: Cell::new(0), freed: Notify::new() })
    }

    /// Whether that many more bytes fit now.
    pub(crate) fn fits(&self, bytes: u64) -> bool {
        self.used.get().saturating_add(bytes) <= self.limit.0
    }
}

/// Memory reserved for the body of one message; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    pool: Rc<MemoryPool>,
    bytes: u64,
}

impl Reservation {
    pub(crate) fn new(pool: &Rc<MemoryPool>) -> Reservation {
        Reservation { pool: Rc::clone(pool), bytes: 0 }
    }

    /// Reserves more bytes. Returns false if all messages together would exceed the limit.
    pub(crate) fn reserve(&mut self, bytes: u64) -> bool {
        let fits = self.pool.fits(bytes);
        if fits {
            self.pool.used.set(self.pool.used.get() + bytes);
            self.bytes += bytes;
        }
        fits
    }

    /// Reserves more bytes, waiting until others have released theirs. Returns false if this message alone would exceed
    /// the limit.
    pub(crate) async fn reserve_in_turn(&mut self, bytes: u64) -> bool {
        if self.pool.limit.0 < self.bytes.saturating_add(bytes) {
            return false;
        }
        while !self.reserve(bytes) {
            let pool = Rc::clone(&self.pool);
            pool.freed.notified().await;
        }
        true
    }

    /// Releases all bytes of this message.
    pub(crate) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.pool.used.set(self.pool.used.get() - bytes);
        if 0 < bytes {
            self.pool.freed.notify_waiters();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
