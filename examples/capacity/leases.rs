//! Calls that lease holders make to the platform's service, in virtual time.

use std::collections::BTreeMap;

use eyre::Result;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use th_protocol::{Millis, Revision, Time, ZoneId};
use th_steer::limit::{
    Answer, CapId, Lease, LeaseHolder, LeaseHolderSettings, Need, Revisioned, StoreAction,
};

use crate::measurement::Measurement;

/// Numbers of caps that apply to one data centre.
const CAP_COUNTS: [usize; 4] = [2, 8, 16, 32];
/// Caps at the full size: a region's total, 17 services in it, and 11 links from it.
const FULL_CAPS: f64 = 29.0;
/// Data centres of one region, which share its caps.
const ZONES: usize = 2;
const RUN_MINUTES: u64 = 10;
const TICK_MS: u64 = 100;
/// Time between two changes of the demand.
const DEMAND_PERIOD_MS: u64 = 1_000;
const CAP_TOTAL: u64 = 1_000;

/// Numbers of calls of the platform's service, by kind.
#[derive(Default)]
struct StoreCalls {
    reads: u64,
    writes: u64,
    renewals: u64,
}

/// A store of ledgers that answers each call without delay.
#[derive(Default)]
struct LedgerStore {
    values: BTreeMap<CapId, Revisioned>,
    leads: BTreeMap<ZoneId, Lease>,
    last: u64,
}

impl LedgerStore {
    fn answer(
        &mut self,
        holder: &mut LeaseHolder,
        action: StoreAction,
        now: Time,
        calls: &mut StoreCalls,
    ) {
        self.last += 1;
        match action {
            StoreAction::TakeLease(_) => {
                calls.writes += 1;
                holder.on_lease(Answer::Applied(Lease(self.last)));
            }
            StoreAction::Claim(zone, lease) => {
                calls.writes += 1;
                self.leads.insert(zone, lease);
                holder.on_claim(Answer::Applied(Revision(self.last)));
            }
            StoreAction::KeepAlive(_) => {
                calls.renewals += 1;
                holder.on_keep_alive(Answer::Applied(()));
            }
            StoreAction::ReadLead(zone, _) => {
                calls.reads += 1;
                holder.on_lead(Some(self.leads.get(&zone).copied()), now);
            }
            StoreAction::ReadLedger(cap) => {
                calls.reads += 1;
                let found = self.values.get(&cap).cloned().unwrap_or_default();
                holder.on_read(&cap, Some(found));
            }
            StoreAction::WriteLedger(cap, next) => {
                calls.writes += 1;
                let found = self.values.get(&cap).and_then(|it| it.revision);
                if found != next.revision {
                    holder.on_write(&cap, Answer::Refused);
                    return;
                }
                let revision = Revision(self.last);
                let stored = Revisioned { revision: Some(revision), ledger: next.ledger };
                self.values.insert(cap.clone(), stored);
                holder.on_write(&cap, Answer::Applied(revision));
            }
        }
    }
}

fn random_needs(caps: usize, rng: &mut impl Rng) -> BTreeMap<CapId, Need> {
    let mut needs = BTreeMap::new();
    for i in 0..caps {
        let cap = CapId::Link(format!("link-{i:02}").parse().expect("the text is a valid id"));
        needs.insert(
            cap,
            Need { total: CAP_TOTAL, want: rng.random_range(0..CAP_TOTAL), outstanding: 0 },
        );
    }
    needs
}

/// Counts the calls of the data centres of one region, whose demand changes each second.
fn count_calls(caps: usize) -> StoreCalls {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut store = LedgerStore::default();
    let mut holders = Vec::new();
    for i in 0..ZONES {
        let zone = format!("zone-{i}").parse().expect("the text is a valid id");
        holders.push((
            LeaseHolder::new(zone, LeaseHolderSettings::default()),
            random_needs(caps, &mut rng),
        ));
    }
    let mut calls = StoreCalls::default();
    for step in 0..RUN_MINUTES * 60_000 / TICK_MS {
        let now = Time(step * TICK_MS);
        for (holder, demand) in &mut holders {
            if now.since(Time::ZERO).0.is_multiple_of(DEMAND_PERIOD_MS) {
                *demand = random_needs(caps, &mut rng);
            }
            for action in holder.on_tick(demand, now) {
                store.answer(holder, action, now, &mut calls);
            }
        }
    }
    calls
}

/// Measures the reads, writes and lease renewals per second of one data centre.
pub(crate) fn measure() -> Result<Vec<Measurement>> {
    let (mut reads, mut writes, mut renewals) = (Vec::new(), Vec::new(), Vec::new());
    let seconds = Millis(RUN_MINUTES * 60_000).0 as f64 / 1_000.0 * ZONES as f64;
    for caps in CAP_COUNTS {
        let calls = count_calls(caps);
        reads.push((caps as f64, calls.reads as f64 / seconds));
        writes.push((caps as f64, calls.writes as f64 / seconds));
        renewals.push((caps as f64, calls.renewals as f64 / seconds));
    }
    let of =
        |name, points| Measurement::new((name, "1/s for a data centre", "cap"), points, FULL_CAPS);
    Ok(vec![
        of("ledger reads", reads),
        of("ledger writes, all wants changing each second", writes),
        of("lease renewals", renewals),
    ])
}
