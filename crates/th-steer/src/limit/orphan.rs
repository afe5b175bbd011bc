//! Backend servers whose entry VM is gone while the store cannot name a new owner.
//!
//! A neighbour spends its own share of the region's cap on them, one request at a time on each
//! backend server, and only where a fresh load report shows a free slot.

use th_protocol::{LoadReport, Millis, Reason, Time};

use crate::limit::Refusal;

/// Settings of the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrphanSettings {
    /// An owner that was not heard of for so long is taken for gone.
    pub silence: Millis,
    /// A load report older than this says nothing.
    pub fresh: Millis,
    /// An owner whose ticks were this far apart was paused.
    pub pause: Millis,
}

impl Default for OrphanSettings {
    fn default() -> OrphanSettings {
        OrphanSettings { silence: Millis(5_000), fresh: Millis(1_000), pause: Millis(2_000) }
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
) -> Result<(), Refusal> {
    let refuse = |retry| Err(Refusal { reason: Reason::NoSlot, retry });
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

/// Whether an owner whose last tick was at `last` must go by load reports until its requests from
/// before the pause have ended, since neighbours may have sent some meanwhile.
pub fn needs_report(last: Time, now: Time, settings: &OrphanSettings) -> bool {
    settings.pause <= now.since(last)
}
