//! When callers that were turned away are to return.

use th_protocol::{Millis, Time};

use super::settings::HeldSettings;

/// Least number of different times among which callers are spread.
const MIN_TURNS: u64 = 16;

/// Spreads the returns of callers that were turned away.
#[derive(Debug, Clone, Default)]
pub(crate) struct Returns {
    /// Time until which the room that becomes free is left to callers that were told to return before.
    promised: Time,
}

impl Returns {
    /// The time after which the next caller is to return: when there is room, after `missing`, and then at the time that the
    /// caller before it leaves, each taking up the room for `step`. Beyond the longest time it starts anew.
    pub(crate) fn next(
        &mut self,
        settings: &HeldSettings,
        missing: Millis,
        step: Millis,
        now: Time,
    ) -> Millis {
        let (least, most) = (settings.backoff_min, settings.backoff_max);
        let latest = Millis(most.0 / 2).max(least);
        let first = now.after(missing.clamp(least, latest));
        let last = now.after(most.max(latest));
        let at = self.promised.max(first);
        let at = if last < at { first } else { at };
        let longest_step = last.since(first).0 / MIN_TURNS;
        self.promised = at.after(Millis(step.0.min(longest_step).max(1)));
        at.since(now)
    }
}
