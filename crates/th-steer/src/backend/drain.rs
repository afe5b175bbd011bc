//! Evidence that a backend server leaves, and what it takes for it to return.

use th_protocol::{LeavingSource, Millis, Time, Version};

/// A sign of life counts as newer than the evidence only this long after it.
pub const RETURN_DELAY: Millis = Millis(30_000);
/// Evidence older than this is no longer passed on to peers, nor taken from them.
pub const MAX_NOTICE_AGE: Millis = Millis(20_000);

/// Evidence of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Evidence {
    /// When it was first seen, here or at a peer.
    first: Time,
    /// When it was last seen, here or at a peer.
    last: Time,
}

/// Whether one backend server leaves.
///
/// Any one kind of evidence is enough. A mark of the bundle goes only by a higher version without
/// it. The server's own word is taken back only by its own report, asked for at least
/// [`RETURN_DELAY`] after the word was last heard. A mark of the VM list goes only when the list
/// has the server as live again and such a report came too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Drain {
    version: Version,
    bundle: Option<Evidence>,
    vm_list: Option<Evidence>,
    own: Option<Evidence>,
    listed_live: bool,
    since: Option<Time>,
    idle: Option<Time>,
}

impl Drain {
    /// Whether new work must not be sent.
    pub fn leaving(&self) -> bool {
        self.bundle.is_some() || self.vm_list.is_some() || self.own.is_some()
    }

    /// Whether the bundle marks it as leaving.
    pub fn marked_by_bundle(&self) -> bool {
        self.bundle.is_some()
    }

    /// When the first evidence was seen.
    pub fn since(&self) -> Option<Time> {
        self.since
    }

    /// Time from the first evidence until the last request finished.
    pub fn time_to_idle(&self) -> Option<Millis> {
        Some(self.idle?.since(self.since?))
    }

    /// Takes what a bundle says; a version lower than one seen before is ignored.
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

    /// Takes what the platform's list of VMs says; `live` is false where it leaves or is gone.
    pub fn on_vm_list(&mut self, live: bool, now: Time) {
        self.listed_live = live;
        if !live {
            self.record(LeavingSource::VmList, now);
        }
    }

    /// Takes the server's own word, given in answer to a request that was sent at `requested`.
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

    /// Takes evidence that a peer passed on, last seen at its source `age` ago. The bundle's own mark does not
    /// travel this way, since the bundle does.
    pub fn on_notice(&mut self, source: LeavingSource, age: Millis, now: Time) {
        if source == LeavingSource::Bundle || MAX_NOTICE_AGE < age {
            return;
        }
        if source == LeavingSource::VmList && self.vm_list.is_none() {
            self.listed_live = false;
        }
        self.record(source, now.before(age));
    }

    /// Evidence that is fresh enough to pass on to peers, each with the time it was last seen at
    /// its source. Passing it on does not make it younger, so that it does not circulate for ever.
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

    /// Notes that no request is in flight.
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
