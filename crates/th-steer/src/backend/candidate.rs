//! Random choice among the backend servers that could run a request.

use rand::Rng;
use th_protocol::{BackendId, Slots};

/// A backend server with free slots, and the estimated cost of a request there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) id: BackendId,
    pub(crate) free: Slots,
    pub(crate) cost: u64,
}

/// Draws up to `samples` distinct servers, each with a probability proportional to its free slots,
/// and returns the one with the lowest cost.
pub(crate) fn sample_cheapest(
    candidates: &[Candidate],
    samples: usize,
    rng: &mut impl Rng,
) -> Option<BackendId> {
    if candidates.len() <= samples {
        return cheapest(candidates.iter());
    }
    let mut drawn = Vec::with_capacity(samples);
    for _ in 0..samples {
        drawn.extend(sample(candidates, &drawn, rng));
    }
    cheapest(drawn.into_iter())
}

fn sample<'a>(
    candidates: &'a [Candidate],
    drawn: &[&Candidate],
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let mut total = 0u64;
    for candidate in candidates {
        if !drawn.iter().any(|old| old.id == candidate.id) {
            total += u64::from(candidate.free.0);
        }
    }
    if total == 0 {
        return None;
    }
    let mut remaining = rng.random_range(0..total);
    for candidate in candidates {
        if drawn.iter().any(|old| old.id == candidate.id) {
            continue;
        }
        let free = u64::from(candidate.free.0);
        if remaining < free {
            return Some(candidate);
        }
        remaining -= free;
    }
    None
}

fn cheapest<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<BackendId> {
    candidates.min_by_key(|candidate| candidate.cost).map(|candidate| candidate.id.clone())
}
