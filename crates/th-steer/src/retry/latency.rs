//! Quantiles of recent latencies in constant memory.

use th_protocol::{Millis, Permille};

/// Buckets per doubling of the latency; a bucket is at most an eighth of its lower end wide.
const OCTAVE_BUCKETS: u64 = 8;
/// Binary logarithm of `OCTAVE_BUCKETS`.
const OCTAVE_BITS: u32 = 3;
/// Number of buckets, enough for latencies of up to two minutes; longer ones count in the last
/// bucket.
const BUCKETS: usize = 120;
/// Number of latencies in one half of the window.
const HALF_WINDOW: u32 = 1_000;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Histogram {
    buckets: [u32; BUCKETS],
    total: u32,
}

impl Histogram {
    const EMPTY: Histogram = Histogram { buckets: [0; BUCKETS], total: 0 };
}

/// Histogram of the last 1000 to 2000 latencies, in buckets that widen with the latency.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LatencyWindow {
    current: Histogram,
    previous: Histogram,
}

impl Default for LatencyWindow {
    fn default() -> LatencyWindow {
        LatencyWindow { current: Histogram::EMPTY, previous: Histogram::EMPTY }
    }
}

impl LatencyWindow {
    /// Adds a latency to the newer half of the window; once that half is full, it replaces the
    /// older one.
    pub fn record(&mut self, latency: Millis) {
        if HALF_WINDOW <= self.current.total {
            self.previous = std::mem::replace(&mut self.current, Histogram::EMPTY);
        }
        self.current.buckets[bucket(latency)] += 1;
        self.current.total += 1;
    }

    /// Returns the number of latencies in the window.
    pub fn samples(&self) -> u32 {
        self.current.total + self.previous.total
    }

    /// Returns the upper end of the bucket that holds the quantile, or `None` without latencies.
    pub fn quantile(&self, share: Permille) -> Option<Millis> {
        let samples = u64::from(self.samples());
        if samples == 0 {
            return None;
        }
        let rank = (samples * u64::from(share.0)).div_ceil(1_000);
        let mut seen = 0;
        for at in 0..BUCKETS {
            seen += u64::from(self.current.buckets[at]) + u64::from(self.previous.buckets[at]);
            if rank <= seen {
                return Some(bucket_end(at));
            }
        }
        Some(bucket_end(BUCKETS - 1))
    }
}

fn bucket(latency: Millis) -> usize {
    let raw = latency.0;
    if raw < OCTAVE_BUCKETS {
        return raw as usize;
    }
    let octave = raw.ilog2() - OCTAVE_BITS;
    let step = (raw >> octave) - OCTAVE_BUCKETS;
    let at = (u64::from(octave) + 1) * OCTAVE_BUCKETS + step;
    (at as usize).min(BUCKETS - 1)
}

/// Returns the largest latency of a bucket.
fn bucket_end(at: usize) -> Millis {
    let at = at as u64;
    if at < OCTAVE_BUCKETS {
        return Millis(at);
    }
    let octave = at / OCTAVE_BUCKETS - 1;
    let step = at % OCTAVE_BUCKETS;
    Millis(((OCTAVE_BUCKETS + step + 1) << octave) - 1)
}
