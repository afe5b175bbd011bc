//! Calls of the platform's service by lease holders, in virtual time.

use std::collections::BTreeMap;

use eyre::Result;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use th_protocol::{Millis, Revision, Time, ZoneId};
use th_steer::limit::{
    Answer, CapId, Lease, LeaseHolder, LeaseHolderSettings, Need, Revisioned, StoreAction,
};

use crate::slope::Slope;

/// Caps that concern one data centre.
const CAPS: [usize; 4] = [2, 8, 16, 32];
/// A region's total, 17 services in it, and 11 links from it.
const FULL_CAPS: f64 = 29.0;
/// Data centres of one region, which share its caps.
const ZONES: usize = 2;
const MINUTES: u64 = 10;
const TICK: u64 = 100;
/// Time between two changes of what is wanted.
const CHANGE: u64 = 1_000;
const TOTAL: u64 = 1_000;

#[derive(Default)]
struct Counted {
    reads: u64,
    writes: u64,
    renewals: u64,
}

/// A store that answers at once.
#[derive(Default)]
struct Ledgers {
    values: BTreeMap<CapId, Revisioned>,
    leads: BTreeMap<ZoneId, Lease>,
    last: u64,
}

impl Ledgers {
    fn answer(
        &mut self,
        holder: &mut LeaseHolder,
        action: StoreAction,
        now: Time,
        counted: &mut Counted,
    ) {
        self.last += 1;
        match action {
            StoreAction::TakeLease(_) => {
                counted.writes += 1;
                holder.on_lease(Answer::Applied(Lease(self.last)));
            }
            StoreAction::Claim(zone, lease) => {
                counted.writes += 1;
                self.leads.insert(zone, lease);
                holder.on_claim(Answer::Applied(Revision(self.last)));
            }
            StoreAction::KeepAlive(_) => {
                counted.renewals += 1;
                holder.on_keep_alive(Answer::Applied(()));
            }
            StoreAction::ReadLead(zone, _) => {
                counted.reads += 1;
                holder.on_lead(Some(self.leads.get(&zone).copied()), now);
            }
            StoreAction::ReadLedger(cap) => {
                counted.reads += 1;
                let found = self.values.get(&cap).cloned().unwrap_or_default();
                holder.on_read(&cap, Some(found));
            }
            StoreAction::WriteLedger(cap, next) => {
                counted.writes += 1;
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

fn needs(caps: usize, rng: &mut impl Rng) -> BTreeMap<CapId, Need> {
    let mut needs = BTreeMap::new();
    for i in 0..caps {
        let cap = CapId::Link(format!("link-{i:02}").parse().expect("it is an id"));
        needs.insert(cap, Need { total: TOTAL, want: rng.random_range(0..TOTAL), outstanding: 0 });
    }
    needs
}

/// Calls of one data centre, whose wants change each second.
fn run(caps: usize) -> Counted {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut store = Ledgers::default();
    let mut holders = Vec::new();
    for i in 0..ZONES {
        let zone = format!("zone-{i}").parse().expect("it is an id");
        holders
            .push((LeaseHolder::new(zone, LeaseHolderSettings::default()), needs(caps, &mut rng)));
    }
    let mut counted = Counted::default();
    for step in 0..MINUTES * 60_000 / TICK {
        let now = Time(step * TICK);
        for (holder, wanted) in &mut holders {
            if now.since(Time::ZERO).0.is_multiple_of(CHANGE) {
                *wanted = needs(caps, &mut rng);
            }
            for action in holder.on_tick(wanted, now) {
                store.answer(holder, action, now, &mut counted);
            }
        }
    }
    counted
}

/// Reads, writes and renewals a second of one data centre.
pub(crate) fn measure() -> Result<Vec<Slope>> {
    let (mut reads, mut writes, mut renewals) = (Vec::new(), Vec::new(), Vec::new());
    let seconds = Millis(MINUTES * 60_000).0 as f64 / 1_000.0 * ZONES as f64;
    for caps in CAPS {
        let counted = run(caps);
        reads.push((caps as f64, counted.reads as f64 / seconds));
        writes.push((caps as f64, counted.writes as f64 / seconds));
        renewals.push((caps as f64, counted.renewals as f64 / seconds));
    }
    let of = |name, points| Slope::new((name, "1/s for a data centre", "cap"), points, FULL_CAPS);
    Ok(vec![
        of("ledger reads", reads),
        of("ledger writes, all wants changing each second", writes),
        of("lease renewals", renewals),
    ])
}
