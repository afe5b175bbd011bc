//! Deadlines that shrink on the way.

use th_protocol::{Millis, Time};

/// Time left at `now`, or none.
pub fn remaining(deadline: Time, now: Time) -> Option<Millis> {
    let left = deadline.since(now);
    (Millis::ZERO < left).then_some(left)
}

/// What to state as time left to the next hop, or none where its answer could not be back in time.
///
/// `round_trip` is the time that request and answer spend between the two hops. The hop counts from its own clock, so
/// that no clocks are compared.
pub fn next_hop_timeout(deadline: Time, now: Time, round_trip: Millis) -> Option<Millis> {
    let left = deadline.since(now).minus(round_trip);
    (Millis::ZERO < left).then_some(left)
}
