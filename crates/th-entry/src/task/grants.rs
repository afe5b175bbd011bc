//! Reads and writes claims of shards and grants in the store.

use std::{collections::BTreeMap, sync::Arc};

use th_platform::{Entry as Stored, Key, LeaseId, Platform, WriteOutcome};
use th_protocol::{Millis, Revision, ZoneId};
use th_steer::{
    engine::{Claims, ShardAction},
    limit::{Answer, CapId, Lease, Ledger, Revisioned, ShardClaim, StoreAction},
};

use crate::entry::Entry;

fn shard_prefix(zone: &ZoneId) -> String {
    format!("shard/{zone}/")
}

fn lead_key(zone: &ZoneId) -> Key {
    Key::new(format!("lead/{zone}"))
}

fn ledger_key(cap: &CapId) -> Key {
    Key::new(format!("grant/{cap}"))
}

fn to_answer<T>(outcome: WriteOutcome<T>) -> Answer<T> {
    match outcome {
        WriteOutcome::Applied(value) => Answer::Applied(value),
        WriteOutcome::Refused(_) => Answer::Refused,
        WriteOutcome::Unknown(error) => {
            log::debug!(target: "store", "The outcome of a write is unknown: {error}.");
            Answer::Unknown
        }
    }
}

/// Carries out a read or write of shard claims, and the writes that follow from a read.
pub(crate) async fn shard(entry: &Arc<Entry>, action: ShardAction) {
    let mut actions = vec![action];
    while let Some(action) = actions.pop() {
        match action {
            ShardAction::Read(zone) => {
                let claims = read_claims(entry, &zone).await;
                // The list is read after the claims: an earlier one may lack a VM that has claimed a shard since.
                let list = entry.store.vms().await.ok();
                let read = claims.as_ref().filter(|_| list.is_some());
                let list = list.unwrap_or_default();
                let next =
                    entry.with_engine(|engine, now| engine.on_shard_read(&zone, read, &list, now));
                actions.extend(next);
            }
            ShardAction::Write(zone, index, expected, claim) => {
                let key = Key::new(format!("{}{index}", shard_prefix(&zone)));
                let value = claim.map(|it| json(&it));
                let outcome = to_answer(entry.store.cas(&key, expected, value, None).await);
                log::info!(target: "store", "Writing the claim of shard {zone}/{index} ended with {outcome:?}.");
                entry.with_engine(|engine, now| engine.on_shard_write(&zone, index, &outcome, now));
            }
        }
    }
}

fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored values are plain data")
}

async fn read_claims(entry: &Entry, zone: &ZoneId) -> Option<Claims> {
    let prefix = shard_prefix(zone);
    let found = entry.store.watch(&prefix, Revision::ZERO, Millis::ZERO).await;
    let found = match found {
        Ok(found) => found,
        Err(error) => {
            log::debug!(target: "store", "The shard claims cannot be read: {error}.");
            return None;
        }
    };
    let mut claims = BTreeMap::new();
    for Stored { key, value, revision } in found {
        let Some(value) = value else {
            continue;
        };
        let index = key.as_str().strip_prefix(&prefix).and_then(|it| it.parse().ok());
        let claim = serde_json::from_slice::<ShardClaim>(&value).ok();
        if let (Some(index), Some(claim)) = (index, claim) {
            claims.insert(index, (claim, revision));
        }
    }
    Some(claims)
}

/// Carries out one store call for this data centre's lease and its grants.
pub(crate) async fn grant(entry: &Arc<Entry>, action: StoreAction) {
    let store = &entry.store;
    match action {
        StoreAction::TakeLease(ttl) => {
            let outcome = to_answer(store.lease(ttl).await);
            let outcome = match outcome {
                Answer::Applied(LeaseId(id)) => Answer::Applied(Lease(id)),
                Answer::Refused => Answer::Refused,
                Answer::Unknown => Answer::Unknown,
            };
            entry.with_engine(|engine, _| engine.holder().on_lease(outcome));
        }
        StoreAction::Claim(zone, lease) => {
            let id = Some(LeaseId(lease.0));
            let outcome =
                to_answer(store.cas(&lead_key(&zone), None, Some(json(&lease)), id).await);
            entry.with_engine(|engine, _| engine.holder().on_claim(outcome));
        }
        StoreAction::KeepAlive(lease) => {
            let outcome = to_answer(store.keep_alive(LeaseId(lease.0)).await);
            entry.with_engine(|engine, _| engine.holder().on_keep_alive(outcome));
        }
        StoreAction::ReadLead(zone, _) => {
            let found = store.read(&lead_key(&zone)).await;
            // A value that cannot be parsed counts as a failed read: it does not show who holds the lease.
            let lead = match found {
                Ok(None) => Some(None),
                Ok(Some(it)) => parse::<Lease>(&it).map(Some),
                Err(_) => None,
            };
            entry.with_engine(|engine, now| engine.holder().on_lead(lead, now));
        }
        StoreAction::ReadLedger(cap) => {
            let found = store.read(&ledger_key(&cap)).await;
            let ledger = found.ok().and_then(|it| ledger(it.as_ref()));
            entry.with_engine(|engine, _| engine.holder().on_read(&cap, ledger));
        }
        StoreAction::WriteLedger(cap, Revisioned { revision, ledger }) => {
            let value = Some(json(&ledger));
            let outcome = to_answer(store.cas(&ledger_key(&cap), revision, value, None).await);
            entry.with_engine(|engine, _| engine.holder().on_write(&cap, outcome));
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(found: &Stored) -> Option<T> {
    serde_json::from_slice(found.value.as_ref()?).ok()
}

/// Parses a ledger. Returns an empty one if none is stored, and `None` if it is malformed, since its grants may still
/// be in use.
fn ledger(found: Option<&Stored>) -> Option<Revisioned> {
    let Some(found) = found else {
        return Some(Revisioned::default());
    };
    let ledger = parse::<Ledger>(found)?;
    Some(Revisioned { revision: Some(found.revision), ledger })
}
