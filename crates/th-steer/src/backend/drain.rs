//! Evidence that a backend server is leaving, and the conditions under which it counts as live
//! again.

use th_protocol::{LeavingSource, Millis, Time, Version};

/// A report that a server is live clears evidence of its leaving only if it was requested at least
/// this long after the evidence was last seen.
pub const RETURN_DELAY: Millis = Millis(30_000);
/// Evidence older than this is neither passed on to peers nor accepted from them.
pub const MAX_NOTICE_AGE: Millis = Millis(20_000);

/// When evidence of one source was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Evidence {
    /// First time, here or at a peer.
    first: Time,
    /// Last time, here or at a peer.
    last: Time,
}

/// Tracks whether one backend server is leaving.
///
/// Evidence from any one source is enough. The bundle's mark is cleared only by a higher version
/// without the mark. The server's own report that it is leaving is cleared only by a later report
/// of its own, requested at least [`RETURN_DELAY`] after the former was last seen. Evidence from
/// the VM list is cleared only when the list has the server as live again and such a later report
/// has arrived too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Drain {
    /// Highest version of a bundle that was applied.
    version: Version,
    bundle: Option<Evidence>,
    vm_list: Option<Evidence>,
    /// Evidence from the server's own reports.
    own: Option<Evidence>,
    /// Whether the VM list last had the server as live.
    listed_live: bool,
    /// When the first evidence was seen.
    since: Option<Time>,
    /// When no request was in flight for the first time since then.
    idle: Option<Time>,
}

impl Drain {
    /// Returns whether the server is leaving, so that it must get no new requests.
    pub fn leaving(&self) -> bool {
        self.bundle.is_some() || self.vm_list.is_some() || self.own.is_some()
    }

    /// Returns whether the bundle marks the server as leaving.
    pub fn marked_by_bundle(&self) -> bool {
        self.bundle.is_some()
    }

    /// Returns when the first evidence was seen.
    pub fn since(&self) -> Option<Time> {
        self.since
    }

    /// Returns the time from the first evidence until no request was in flight.
    pub fn time_to_idle(&self) -> Option<Millis> {
        Some(self.idle?.since(self.since?))
    }

    /// Applies the mark of a bundle; a version lower than the highest one applied is ignored.
    pub fn on_bundle(&mut self, version: Version, leaving: bool, now: Time) {
        if version < self.version {
            return;
        }
        if leaving {
            self.version = version;
            self.record(LeavingSource::Bundle, now);
            return;
        }
        if version == self.version && self.bundle.is_some() {
            return;
        }
        self.version = version;
        self.bundle = None;
        self.reset_if_live();
    }

    /// Applies the state in the platform's list of VMs; `live` is false if the server is leaving or
    /// is no longer listed.
    pub fn on_vm_list(&mut self, live: bool, now: Time) {
        self.listed_live = live;
        if !live {
            self.record(LeavingSource::VmList, now);
        }
    }

    /// Applies the server's own report, the answer to a request that was sent at `requested`.
    pub fn on_server_report(&mut self, leaving: bool, requested: Time, now: Time) {
        if leaving {
            self.record(LeavingSource::Own, now);
            return;
        }
        if self.own.is_some_and(|it| it.last.after(RETURN_DELAY) <= requested) {
            self.own = None;
        }
        if self.listed_live
            && self.vm_list.is_some_and(|it| it.last.after(RETURN_DELAY) <= requested)
        {
            self.vm_list = None;
        }
        self.reset_if_live();
    }

    /// Applies evidence that a peer passed on and that was last seen at its source `age` ago.
    /// Notices with the bundle's mark are ignored, since the bundle itself spreads to every VM.
    pub fn on_notice(&mut self, source: LeavingSource, age: Millis, now: Time) {
        if source == LeavingSource::Bundle || MAX_NOTICE_AGE < age {
            return;
        }
        if source == LeavingSource::VmList && self.vm_list.is_none() {
            self.listed_live = false;
        }
        self.record(source, now.before(age));
    }

    /// Returns the evidence that is recent enough to pass on to peers, each with the time when it
    /// was last seen at its source. Passing evidence on does not reset its age, so that it cannot
    /// circulate for ever.
    pub fn notices(&self, now: Time) -> Vec<(LeavingSource, Time)> {
        let mut notices = Vec::new();
        for (source, evidence) in
            [(LeavingSource::VmList, self.vm_list), (LeavingSource::Own, self.own)]
        {
            let Some(evidence) = evidence else { continue };
            if now.since(evidence.last) <= MAX_NOTICE_AGE {
                notices.push((source, evidence.last));
            }
        }
        notices
    }

    /// Records that no request is in flight.
    pub fn on_idle(&mut self, now: Time) {
        if self.leaving() && self.idle.is_none() {
            self.idle = Some(now);
        }
    }

    fn record(&mut self, source: LeavingSource, seen: Time) {
        let evidence = match source {
            LeavingSource::Bundle => &mut self.bundle,
            LeavingSource::VmList => &mut self.vm_list,
            LeavingSource::Own => &mut self.own,
        };
        let old = evidence.unwrap_or(Evidence { first: seen, last: seen });
        *evidence = Some(Evidence { first: old.first.min(seen), last: old.last.max(seen) });
        self.since = Some(self.since.map_or(seen, |old| old.min(seen)));
    }

    fn reset_if_live(&mut self) {
        if !self.leaving() {
            self.since = None;
            self.idle = None;
        }
    }
}
