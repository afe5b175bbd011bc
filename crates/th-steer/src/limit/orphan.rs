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
    pub silence: Millis,
    /// A load report older than this says nothing.
    pub fresh: Millis,
    /// An owner that the neighbour has not confirmed to hear for so long leaves a slot free.
    /// At least `fresh` less than `silence`.
    pub unheard: Millis,
}

impl Default for OrphanSettings {
    fn default() -> OrphanSettings {
        OrphanSettings { silence: Millis(5_000), fresh: Millis(1_000), unheard: Millis(2_000) }
    }
}

/// What a neighbour knows of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// When any VM that owns the shard was last heard.
    pub heard: Time,
    /// The last load report.
    pub report: LoadReport,
    /// When the last report was asked for.
    pub taken: Time,
    /// When this VM's last request to the server ended.
    pub ended: Time,
    /// Requests of this VM that run there.
    pub running: u64,
}

/// Whether a neighbour may send one request to a backend server without owning a share of it.
pub fn neighbour_may(
    evidence: &Evidence,
    settings: &OrphanSettings,
    now: Time,
) -> Result<(), Rejection> {
    let refuse = |retry| Err(Rejection { reason: Reason::NoSlot, retry_after: retry });
    let silent = now.since(evidence.heard);
    if silent < settings.silence {
        return refuse(settings.silence - silent);
    }
    if 0 < evidence.running {
        return refuse(settings.fresh);
    }
    let old = settings.fresh < now.since(evidence.taken) || evidence.taken < evidence.ended;
    let report = &evidence.report;
    if old || report.leaving || report.slots <= report.busy {
        return refuse(settings.fresh);
    }
    Ok(())
}

/// How many slots of each backend server an owner leaves free for the neighbour.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerSpare {
    /// When the last heartbeat that the neighbour confirmed was sent.
    acked: Time,
    /// Until when the neighbour's last request may run.
    until: Time,
}

impl OwnerSpare {
    /// An owner that starts at `now`: nobody has heard it yet.
    pub fn new(now: Time, deadline: Millis) -> OwnerSpare {
        OwnerSpare { acked: now, until: now.after(deadline) }
    }

    /// The neighbour confirms a heartbeat that was sent at `sent` on this VM's clock.
    pub fn on_ack(&mut self, sent: Time, settings: &OrphanSettings, deadline: Millis, now: Time) {
        self.check(settings, deadline, now);
        self.acked = self.acked.max(sent);
    }

    /// Slots to leave free. Call it before each dispatch: a pause may end at any moment.
    pub fn slots(&mut self, settings: &OrphanSettings, deadline: Millis, now: Time) -> u64 {
        self.check(settings, deadline, now);
        u64::from(now < self.until)
    }

    fn check(&mut self, settings: &OrphanSettings, deadline: Millis, now: Time) {
        if settings.unheard <= now.since(self.acked) {
            self.until = now.after(deadline);
        }
    }
}
