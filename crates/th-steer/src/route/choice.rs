//! Weighted rendezvous hashing.

use super::hash::{mix, unit};

/// Picks an index with a probability that is its share of `weights`, always the same for one `key`.
///
/// Each index with weight `w` draws an exponential of rate `w` from the hash of `key` and its salt,
/// and the least wins. A raised weight only attracts keys and a lowered one only releases them.
/// Indexes for which `skip` holds are passed over. Does not allocate.
pub fn choose(
    key: u64,
    weights: &[f32],
    salts: &[u64],
    skip: impl Fn(usize) -> bool,
) -> Option<usize> {
    let mut best = None;
    let mut least = f64::INFINITY;
    for (i, (&weight, &salt)) in weights.iter().zip(salts).enumerate() {
        if weight <= 0.0 || skip(i) {
            continue;
        }
        let score = -unit(mix(key ^ salt)).ln() / f64::from(weight);
        if score < least {
            least = score;
            best = Some(i);
        }
    }
    best
}
