//! The slots of a backend server that count.
//!
//! Handles a server that claims far more slots than it has, by mistake or in an entry of another writer. Its slots would never
//! seem to be taken, and look-ups would send most callers to its data centre. Servers of a service are much alike, so the
//! others tell what one can have.

use th_protocol::Slots;

/// Slots of a server that count at most, as a multiple of the median of its service.
const MAX_RATIO: u32 = 8;

/// Returns the most slots that count of each server of a service, by the slots that its servers state.
pub(crate) fn slot_limit(mut stated: Vec<Slots>) -> Slots {
    if stated.is_empty() {
        return Slots(u32::MAX);
    }
    // The lower one of two: of two servers, the smaller one decides.
    let middle = (stated.len() - 1) / 2;
    let (_, median, _) = stated.select_nth_unstable(middle);
    Slots(median.0.max(1).saturating_mul(MAX_RATIO))
}
