//! The time that each step of learning a change may take.

use th_protocol::{Millis, Permille};
use thiserror::Error;

/// Result of checking a pace.
pub(crate) type Result<T, E = PaceError> = std::result::Result<T, E>;

/// Minimum time from the start of one watch to the next, as a share of the limit.
const INTERVAL_SHARE: Permille = Permille(400);
/// Time beyond its wait after which a call without an answer is repeated beside it, as a share of the limit.
const REPEAT_SHARE: Permille = Permille(160);
/// Time without any of an answer after which a call is given up, beyond its wait, as a share of the limit.
const TIMEOUT_SHARE: Permille = Permille(500);
/// Delay after the first of several calls that fail at once, as a share of the limit.
const DELAY_SHARE: Permille = Permille(100);
/// Time that an answered call takes while the store is sound, as a share of the limit.
const ANSWER_SHARE: Permille = Permille(100);
/// Shortest delay after a call that failed.
const MIN_DELAY: Millis = Millis(50);
/// Number of times that the delay after failed calls doubles.
const MAX_DOUBLINGS: u32 = 1;
/// Number of times that the delay after cut watches doubles.
const MAX_CUT_DOUBLINGS: u32 = 2;
/// Shortest interval of watches.
const MIN_INTERVAL: Millis = Millis(600);
/// Longest wait of a watch. It is short, because an unresponsive connection shows only once the answer is overdue, and other
/// VMs must learn at each interval that nothing has changed.
const WAIT: Millis = Millis(150);
/// Time beyond the interval of watches within which another VM must have passed on changes, so that a VM that waits for
/// one that is frozen still learns of each change in time.
const SLACK: Millis = Millis(300);

/// Longest time for the answer of another VM once it has begun, as a share of the limit.
const TRANSFER_SHARE: Permille = Permille(300);

/// The limit is too short for the steps from a change to its knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "changes must be known after {limit}, but while calls fail they are known after up to {longest}"
)]
pub struct PaceError {
    limit: Millis,
    longest: Millis,
}

fn share(share: Permille, limit: Millis) -> Millis {
    Millis(share.of(limit.0))
}

/// How the time within which a change must be known is shared out among the steps that lead to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPace {
    /// Time within which a change must be known.
    pub limit: Millis,
    /// Minimum time from the start of one watch to the next.
    pub interval: Millis,
    /// Longest wait of a watch for changes.
    pub wait: Millis,
    /// Time beyond its wait after which a call without an answer is repeated beside it: most often only its connection has
    /// fallen silent. Also the longest time to open a connection.
    pub repeat: Millis,
    /// Time without any of an answer after which a call is given up, beyond its wait.
    pub timeout: Millis,
    /// Delay after the first of several calls that fail at once; doubled with the next ones.
    pub delay: Millis,
    /// Time that an answered call takes while the store is sound.
    pub answer: Millis,
    /// Time beyond the interval within which another VM must have passed on changes.
    pub slack: Millis,
    /// Longest time for the answer of another VM once it has begun; after that the store may answer sooner.
    pub transfer: Millis,
}

impl WatchPace {
    /// Shares out a limit.
    pub fn new(limit: Millis) -> WatchPace {
        WatchPace {
            limit,
            interval: share(INTERVAL_SHARE, limit).max(MIN_INTERVAL),
            wait: WAIT,
            repeat: share(REPEAT_SHARE, limit),
            timeout: share(TIMEOUT_SHARE, limit),
            delay: share(DELAY_SHARE, limit),
            answer: share(ANSWER_SHARE, limit),
            slack: SLACK,
            transfer: share(TRANSFER_SHARE, limit),
        }
    }

    /// Time after which an idle connection to the store is not used again. It spans the interval of watches; a VM that had
    /// to give up another one as its source takes a new connection.
    pub fn max_idle(&self) -> Millis {
        self.interval.plus(self.slack)
    }

    /// The delay after a call that failed after a time, with so many failures in a row before it. One that took long is
    /// repeated soon, since the store may be back for long.
    pub fn retry_delay(&self, failures: u32, took: Millis) -> Millis {
        let grown = Millis(self.delay.0 << failures.min(MAX_DOUBLINGS));
        grown.minus(took).max(MIN_DELAY)
    }

    /// The delay after a watch that was cut, with so many in a row. The store answers other calls meanwhile.
    pub fn cut_delay(&self, cuts: u32) -> Millis {
        let doublings = cuts.saturating_sub(1).min(MAX_CUT_DOUBLINGS);
        Millis(MIN_DELAY.0 << doublings).min(self.delay.max(MIN_DELAY))
    }

    /// The longest time from the store's return to the first call that it answers, whatever was under way.
    pub fn longest_gap(&self) -> Millis {
        let silent = self.wait.plus(self.repeat);
        let unreachable = self.repeat.plus(MIN_DELAY);
        let refused = Millis(self.delay.0 << MAX_DOUBLINGS);
        silent.max(unreachable).max(refused)
    }

    /// The greatest age of what another VM may pass on. What is known counts from the start of a call, so it includes the time
    /// that an answered call takes.
    pub fn longest_relayed(&self) -> Millis {
        self.interval.plus(self.slack).plus(self.answer)
    }

    /// The longest time from the later of two moments, a change and the store's return, to the knowledge of the change.
    pub fn longest_age(&self) -> Millis {
        // The connection falls silent between two watches.
        let silent = self.interval.plus(self.wait).plus(self.repeat);
        // Another VM that is asked for changes first freezes.
        let relayed = self.longest_relayed().plus(self.slack);
        silent.max(relayed).max(self.longest_gap()).plus(self.answer)
    }

    /// Checks that all steps together fit into the limit.
    pub fn check(&self) -> Result<()> {
        let longest = self.longest_age();
        if longest <= self.limit {
            return Ok(());
        }
        Err(PaceError { limit: self.limit, longest })
    }
}
