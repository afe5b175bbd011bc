//! Weighted rendezvous hashing.

use super::hash::{mix, unit};

/// Chooses an index with a probability proportional to its weight, always the same one for a key.
///
/// Each index of weight `w` gets an exponentially distributed score of rate `w` from the hash of
/// `key` and its salt; the lowest score wins. Raising a weight only moves keys to that index, and
/// lowering it only moves keys away from it. Skips indexes for which `skip` is true. Does not
/// allocate.
pub fn choose(
    key: u64,
    weights: &[f32],
    salts: &[u64],
    skip: impl Fn(usize) -> bool,
) -> Option<usize> {
    let mut best = (f64::INFINITY, None);
    for (i, (&weight, &salt)) in weights.iter().zip(salts).enumerate() {
        if weight <= 0.0 || skip(i) {
            continue;
        }
        let score = score(key, salt, weight);
        if score < best.0 {
            best = (score, Some(i));
        }
    }
    best.1
}

/// The index, weight and salt of a candidate.
pub(crate) type Candidate = (usize, f32, u64);

/// Chooses among all candidates, and as the second the best other one for which `may_be_second` is
/// true.
pub(crate) fn choose_two(
    key: u64,
    candidates: impl Iterator<Item = Candidate>,
    may_be_second: impl Fn(usize) -> bool,
) -> [Option<usize>; 2] {
    let mut first = (f64::INFINITY, None);
    let mut second = (f64::INFINITY, None);
    for (i, weight, salt) in candidates {
        if weight <= 0.0 {
            continue;
        }
        let score = score(key, salt, weight);
        if score < first.0 {
            if first.1.is_some_and(&may_be_second) {
                second = first;
            }
            first = (score, Some(i));
        } else if score < second.0 && may_be_second(i) {
            second = (score, Some(i));
        }
    }
    [first.1, second.1]
}

fn score(key: u64, salt: u64, weight: f32) -> f64 {
    -unit(mix(key ^ salt)).ln() / f64::from(weight)
}
