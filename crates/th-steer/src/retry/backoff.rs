//! Backoff before a retry.

use rand::Rng;
use th_protocol::Millis;

/// Returns a backoff with full jitter: a random wait of up to `base`, doubled for each earlier
/// retry, and at most `max`.
pub fn backoff(retry: u32, base: Millis, max: Millis, rng: &mut impl Rng) -> Millis {
    let factor = 1_u64.checked_shl(retry).unwrap_or(u64::MAX);
    let longest = base.0.saturating_mul(factor).min(max.0);
    Millis(rng.random_range(0..=longest))
}
