//! Free capacity per region, as measured by each data centre.

use std::collections::BTreeMap;

use rand::Rng;
use th_protocol::{HeadroomDigest, Millis, Permille, RegionId, Time, ZoneId};

/// The newest digest of each data centre and region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headroom {
    rows: BTreeMap<(ZoneId, RegionId), (Permille, Time)>,
}

impl Headroom {
    /// Stores a digest unless one at least as new is known.
    pub fn merge(&mut self, digest: &HeadroomDigest, now: Time) {
        let at = now.before(digest.age);
        let key = (digest.zone.clone(), digest.region.clone());
        if self.rows.get(&key).is_some_and(|(_, old)| at <= *old) {
            return;
        }
        self.rows.insert(key, (digest.free, at));
    }

    /// Removes digests older than `limit`.
    pub fn expire(&mut self, limit: Millis, now: Time) {
        self.rows.retain(|_, (_, at)| now.since(*at) <= limit);
    }

    /// All digests, with their ages at `now`.
    pub fn digests(&self, now: Time) -> impl Iterator<Item = HeadroomDigest> + '_ {
        self.rows.iter().map(move |((zone, region), (free, at))| HeadroomDigest {
            region: region.clone(),
            zone: zone.clone(),
            free: *free,
            age: now.since(*at),
        })
    }

    /// Returns at most `limit` digests for a heartbeat: those of the data centre `own` first, then
    /// others from a random position on.
    pub fn pick(
        &self,
        own: &ZoneId,
        limit: usize,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<HeadroomDigest> {
        let (mut picked, mut others) = (Vec::new(), Vec::new());
        for digest in self.digests(now) {
            if digest.zone == *own { &mut picked } else { &mut others }.push(digest);
        }
        if !others.is_empty() {
            let start = rng.random_range(0..others.len());
            others.rotate_left(start);
        }
        picked.extend(others);
        picked.truncate(limit);
        picked
    }
}
