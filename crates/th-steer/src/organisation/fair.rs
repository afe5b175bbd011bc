//! Fair shares of organisations in the slots of services.
//!
//! Handles an organisation that asks much more than usual while there are too few slots: the others keep theirs. Start-time
//! fair queueing, as in [`crate::queue`], weighted by the quotas.

use std::collections::BTreeMap;

use th_protocol::{Millis, OrganisationId, ServiceId};

use super::organisation::Organisation;
use crate::queue::Turn;

/// Weight of an organisation without a quota: that of a quota of so many requests a second.
const DEFAULT_WEIGHT: u32 = 100;

type Turns = BTreeMap<OrganisationId, Turn>;

/// Turns of the organisations at one service.
#[derive(Debug, Default)]
struct ServiceTurns {
    /// Virtual start time of the request that got a slot last.
    now: u64,
    turns: Turns,
}

/// Turns of the organisations that use slots.
#[derive(Debug, Default)]
pub(crate) struct FairShares {
    services: BTreeMap<ServiceId, ServiceTurns>,
}

fn weight(organisation: &Organisation) -> u32 {
    organisation.quota.map_or(DEFAULT_WEIGHT, |it| it.rate.requests().ceil() as u32)
}

impl FairShares {
    /// Counts a request of an organisation that gets a slot for an expected time.
    pub(crate) fn on_start(
        &mut self,
        service: &ServiceId,
        organisation: &Organisation,
        work: Millis,
    ) {
        let entry = self.services.entry(service.clone()).or_default();
        let id = organisation.id.clone();
        let turn = entry.turns.entry(id).or_insert_with(|| Turn::new(weight(organisation)));
        turn.weight = weight(organisation).max(1);
        entry.now = turn.take(entry.now, work.0);
    }

    /// Returns the virtual start time of the request that an organisation has waiting behind `ahead` others of its own,
    /// each with an expected time of `work`.
    pub(crate) fn start(
        &self,
        service: &ServiceId,
        organisation: &Organisation,
        ahead: u64,
        work: Millis,
    ) -> u64 {
        let turns = self.services.get(service);
        let known = turns.and_then(|it| it.turns.get(&organisation.id).cloned());
        let turn = known.unwrap_or_else(|| Turn::new(weight(organisation)));
        let start = turn.start.max(turns.map_or(0, |it| it.now));
        start.saturating_add(turn.cost(work.0).saturating_mul(ahead))
    }

    /// Forgets organisations that have used less than their shares: they start from the present.
    pub(crate) fn forget_idle(&mut self) {
        for entry in self.services.values_mut() {
            let now = entry.now;
            entry.turns.retain(|_, it| now < it.start);
        }
        self.services.retain(|_, it| !it.turns.is_empty());
    }
}
