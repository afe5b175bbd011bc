//! When the caller of a request that servers turned away may come back.
//!
//! Handles servers that turn away a part of their requests although they have free slots. The retry budget cannot carry all
//! of these; a caller who comes back at once may still be answered in time. Where all slots are taken, that would be in
//! vain, and callers are told to stay away until one becomes free.

use th_protocol::Millis;

use super::super::place::millis;

/// Shortest time after which callers are told to come back: a round trip between data centres of a region, in which the
/// caller opens a new connection anyway.
const MIN_COMEBACK: Millis = Millis(20);

/// Returns the time until a caller may come back, from the expected waits for a slot at the servers that may run the
/// request; `None` without servers.
pub(crate) fn comeback_time(waits: impl Iterator<Item = f64>, max: Millis) -> Option<Millis> {
    let wait = waits.min_by(f64::total_cmp)?;
    Some(millis(wait).max(MIN_COMEBACK).min(max))
}
