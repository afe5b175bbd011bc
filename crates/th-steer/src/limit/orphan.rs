//! Backend servers whose entry VM is gone while the store cannot name a new owner.
//!
//! One neighbour VM spends its own share of the region's cap on them, one request at a time on each
//! backend server, and only where a fresh load report shows a free slot. An owner that may be taken
//! for gone (paused, or cut off from that neighbour) leaves one slot of each backend server free.
//! It starts to do so before the neighbour may act, so both together never use more than all slots.

use th_protocol::{LoadReport, Millis, Reason, Time};

use crate::limit::Rejection;

/// Settings of the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrphanSettings {
    /// An owner that was not heard of for so long is taken for gone.
    pub owner_timeout: Millis,
    /// A load report older than this says nothing.
    pub max_age: Millis,
    /// An owner that the neighbour has not confirmed to hear for so long leaves a slot free.
    /// At least `fresh` less than `silence`.
    pub ack_timeout: Millis,
}

impl Default for OrphanSettings {
    fn default() -> OrphanSettings {
        OrphanSettings {
            owner_timeout: Millis(5_000),
            max_age: Millis(1_000),
            ack_timeout: Millis(2_000),
        }
    }
}

/// What a neighbour knows of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NeighbourView {
    /// When any VM that owns the shard was last heard.
    pub last_seen: Time,
    /// The last load report.
    pub report: LoadReport,
    /// When the last report was asked for.
    pub requested: Time,
    /// When this VM's last request to the server ended.
    pub last_end: Time,
    /// Requests of this VM that run there.
    pub running: u64,
}

/// Whether a neighbour may send one request to a backend server without owning a share of it.
pub fn admit_neighbour(
    view: &NeighbourView,
    settings: &OrphanSettings,
    now: Time,
) -> Result<(), Rejection> {
    let reject = |retry_after| Err(Rejection { reason: Reason::NoSlot, retry_after });
    let elapsed = now.since(view.last_seen);
    if elapsed < settings.owner_timeout {
        return reject(settings.owner_timeout - elapsed);
    }
    if 0 < view.running {
        return reject(settings.max_age);
    }
    let is_stale = settings.max_age < now.since(view.requested) || view.requested < view.last_end;
    let report = &view.report;
    if is_stale || report.leaving || report.slots <= report.busy {
        return reject(settings.max_age);
    }
    Ok(())
}

/// How many slots of each backend server an owner leaves free for the neighbour.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerReserve {
    /// When the last heartbeat that the neighbour confirmed was sent.
    last_ack: Time,
    /// Until when the neighbour's last request may run.
    until: Time,
}

impl OwnerReserve {
    /// An owner that starts at `now`: nobody has heard it yet.
    pub fn new(now: Time, deadline: Millis) -> OwnerReserve {
        OwnerReserve { last_ack: now, until: now.after(deadline) }
    }

    /// The neighbour confirms a heartbeat that was sent at `sent` on this VM's clock.
    pub fn on_ack(&mut self, sent: Time, settings: &OrphanSettings, deadline: Millis, now: Time) {
        self.extend_reserve(settings, deadline, now);
        self.last_ack = self.last_ack.max(sent);
    }

    /// Slots to leave free. Call it before each dispatch: a pause may end at any moment.
    pub fn slots(&mut self, settings: &OrphanSettings, deadline: Millis, now: Time) -> u64 {
        self.extend_reserve(settings, deadline, now);
        u64::from(now < self.until)
    }

    fn extend_reserve(&mut self, settings: &OrphanSettings, deadline: Millis, now: Time) {
        if settings.ack_timeout <= now.since(self.last_ack) {
            self.until = now.after(deadline);
        }
    }
}
