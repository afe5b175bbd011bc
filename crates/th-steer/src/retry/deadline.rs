//! Remaining time until a deadline, here and at the next hop.

use th_protocol::{Millis, Time};

/// Returns the time left at `now`, or `None` if the deadline has passed.
pub fn remaining(deadline: Time, now: Time) -> Option<Millis> {
    let left = deadline.since(now);
    (Millis::ZERO < left).then_some(left)
}

/// Returns the time left to state to the next hop, or `None` if its answer could not arrive in
/// time.
///
/// `round_trip` is the network time of request and answer between the two hops. The next hop counts
/// the time down on its own clock, so that clocks of different hosts are never compared.
pub fn next_hop_timeout(deadline: Time, now: Time, round_trip: Millis) -> Option<Millis> {
    let left = deadline.since(now).minus(round_trip);
    (Millis::ZERO < left).then_some(left)
}
