//! Evidence that a backend server leaves, and what it takes for it to return.

use th_protocol::{LeavingSource, Millis, Time, Version};

/// A sign of life counts as newer than the evidence only this long after it.
pub const RETURN_DELAY: Millis = Millis(30_000);
/// Evidence older than this is no longer passed on to peers, nor taken from them.
pub const MAX_NOTICE_AGE: Millis = Millis(20_000);

/// Evidence of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Mark {
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
    bundle: Option<Mark>,
    list: Option<Mark>,
    own: Option<Mark>,
    listed: bool,
    since: Option<Time>,
    quiet: Option<Time>,
}

impl Drain {
    /// Whether new work must not be sent.
    pub fn leaving(&self) -> bool {
        self.bundle.is_some() || self.list.is_some() || self.own.is_some()
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
        Some(self.quiet?.since(self.since?))
    }

    /// Takes what a bundle says; a version lower than one seen before is ignored.
    pub fn on_bundle(&mut self, version: Version, leaving: bool, now: Time) {
        if version < self.version {
            return;
        }
        if leaving {
            self.version = version;
            self.mark(LeavingSource::Bundle, now);
            return;
        }
        if version == self.version && self.bundle.is_some() {
            return;
        }
        self.version = version;
        self.bundle = None;
        self.settle();
    }

    /// Takes what the platform's list of VMs says; `live` is false where it leaves or is gone.
    pub fn on_vm_list(&mut self, live: bool, now: Time) {
        self.listed = live;
        if !live {
            self.mark(LeavingSource::VmList, now);
        }
    }

    /// Takes the server's own word, given in answer to a request that was sent at `asked`.
    pub fn on_server_report(&mut self, leaving: bool, asked: Time, now: Time) {
        if leaving {
            self.mark(LeavingSource::Own, now);
            return;
        }
        if self.own.is_some_and(|mark| mark.last.after(RETURN_DELAY) <= asked) {
            self.own = None;
        }
        if self.listed && self.list.is_some_and(|mark| mark.last.after(RETURN_DELAY) <= asked) {
            self.list = None;
        }
        self.settle();
    }

    /// Takes evidence that a peer passed on, last seen at its source `age` ago. The bundle's own mark does not
    /// travel this way, since the bundle does.
    pub fn on_notice(&mut self, source: LeavingSource, age: Millis, now: Time) {
        if source == LeavingSource::Bundle || MAX_NOTICE_AGE < age {
            return;
        }
        if source == LeavingSource::VmList && self.list.is_none() {
            self.listed = false;
        }
        self.mark(source, now.before(age));
    }

    /// Evidence that is fresh enough to pass on to peers, each with the time it was last seen at
    /// its source. Passing it on does not make it younger, so that it does not circulate for ever.
    pub fn notices(&self, now: Time) -> Vec<(LeavingSource, Time)> {
        let mut notices = Vec::new();
        for (source, mark) in [(LeavingSource::VmList, self.list), (LeavingSource::Own, self.own)] {
            let Some(mark) = mark else { continue };
            if now.since(mark.last) <= MAX_NOTICE_AGE {
                notices.push((source, mark.last));
            }
        }
        notices
    }

    /// Notes that no request is in flight.
    pub fn on_idle(&mut self, now: Time) {
        if self.leaving() && self.quiet.is_none() {
            self.quiet = Some(now);
        }
    }

    fn mark(&mut self, source: LeavingSource, seen: Time) {
        let slot = match source {
            LeavingSource::Bundle => &mut self.bundle,
            LeavingSource::VmList => &mut self.list,
            LeavingSource::Own => &mut self.own,
        };
        let old = slot.unwrap_or(Mark { first: seen, last: seen });
        *slot = Some(Mark { first: old.first.min(seen), last: old.last.max(seen) });
        self.since = Some(self.since.map_or(seen, |old| old.min(seen)));
    }

    fn settle(&mut self) {
        if !self.leaving() {
            self.since = None;
            self.quiet = None;
        }
    }
}
