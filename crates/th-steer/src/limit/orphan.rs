//! Use of backend servers whose entry VM has failed while the store is unavailable, so that no new
//! owner can be assigned.
//!
//! One neighbour VM uses its own share of the region's cap for them: one request at a time to each
//! backend server, and only if a recent load report shows a free slot. An owner that the neighbour
//! may consider failed (it was paused, or is disconnected from the neighbour) leaves one slot of
//! each backend server free. It starts to do so before the neighbour may send, so the two together never
//! use more than all slots.

use th_protocol::{LoadReport, Millis, Reason, Time};

use crate::limit::Rejection;

/// Settings of the policy for orphaned backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrphanSettings {
    /// An owner that was last seen this long ago is considered failed.
    pub owner_timeout: Millis,
    /// A load report older than this is ignored.
    pub max_age: Millis,
    /// An owner that got no acknowledgement from the neighbour for this long leaves a slot free.
    /// It is shorter than `owner_timeout` by at least `max_age`.
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

/// What a neighbour VM knows of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NeighbourView {
    /// When any VM that owns the shard was last seen.
    pub last_seen: Time,
    /// The last load report.
    pub report: LoadReport,
    /// When the last report was requested.
    pub requested: Time,
    /// When this VM's last request to the server ended.
    pub last_end: Time,
    /// Requests of this VM that run on the server.
    pub running: u64,
}

/// Checks whether a neighbour VM may send one request to a backend server that it has no share of.
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

/// Tracks how many slots of each backend server an owner leaves free for the neighbour.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerReserve {
    /// When the last heartbeat that the neighbour acknowledged was sent.
    last_ack: Time,
    /// Until when a request of the neighbour may run.
    until: Time,
}

impl OwnerReserve {
    /// Creates the state of an owner that starts at `now` and was not yet seen by any neighbour.
    pub fn new(now: Time, deadline: Millis) -> OwnerReserve {
        OwnerReserve { last_ack: now, until: now.after(deadline) }
    }

    /// Records that the neighbour acknowledged a heartbeat sent at `sent` on this VM's clock.
    pub fn on_ack(&mut self, sent: Time, settings: &OrphanSettings, deadline: Millis, now: Time) {
        self.extend_reserve(settings, deadline, now);
        self.last_ack = self.last_ack.max(sent);
    }

    /// Returns the number of slots to leave free.
    ///
    /// It is to be called before each dispatch, since the process may have been paused at any moment.
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
