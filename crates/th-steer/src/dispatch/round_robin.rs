//! Distribution of a route's requests over its services by weight.

use std::collections::BTreeMap;

use th_protocol::ServiceId;

use super::route::WeightedService;

/// Smooth weighted round-robin: after any number of requests, each service has had its share to within one request.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    credits: BTreeMap<ServiceId, f64>,
}

impl RoundRobin {
    /// Returns the service of the next request; `None` if no service has a positive weight.
    pub fn next(&mut self, shares: &[WeightedService]) -> Option<ServiceId> {
        let total: f64 = shares.iter().map(|it| it.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut best: Option<(&ServiceId, f64)> = None;
        for share in shares {
            let credit = self.credits.entry(share.service.clone()).or_default();
            *credit += share.weight / total;
            if best.is_none_or(|(_, highest)| highest < *credit) {
                best = Some((&share.service, *credit));
            }
        }
        let chosen = best.map(|(service, _)| service.clone())?;
        *self.credits.entry(chosen.clone()).or_default() -= 1.0;
        Some(chosen)
    }
}
