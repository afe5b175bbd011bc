//! Calls of an entry VM to the store for shards and grants.

use th_platform::{Key, LeaseId};
use th_protocol::Revision;
use th_steer::{
    engine::{Claims, ShardAction},
    limit::{Answer, Lease, Ledger, Revisioned, ShardClaim, StoreAction},
};

use super::{entry::Entry, store};

impl Entry {
    pub(crate) async fn shard(&self, action: ShardAction) {
        let mut actions = vec![action];
        while let Some(action) = actions.pop() {
            match action {
                ShardAction::Read(zone) => {
                    let prefix = format!("shard/{zone}/");
                    let read = store::call(&self.sim, self.host, false, |store, _| {
                        store.changes(&prefix, Revision::ZERO)
                    });
                    let read = read.await;
                    let list = store::vm_list(&self.sim, self.host).await;
                    let mut claims = Claims::new();
                    for it in read.iter().flatten() {
                        let index = it.key.as_str()[prefix.len()..].parse();
                        if let Some(claim) = parse_json::<ShardClaim>(it.value.as_deref()) {
                            claims.insert(
                                index.expect("a shard key ends with an index"),
                                (claim, it.revision),
                            );
                        }
                    }
                    let read = (read.is_some() && list.is_some()).then_some(&claims);
                    let list = list.unwrap_or_default();
                    actions.extend(
                        self.with_engine(|engine, now| {
                            engine.on_shard_read(&zone, read, &list, now)
                        }),
                    );
                }
                ShardAction::Write(zone, index, expected, claim) => {
                    let value = claim
                        .map(|it| serde_json::to_vec(&it).expect("plain data can be serialised"));
                    let key = Key::new(format!("shard/{zone}/{index}"));
                    let result = self.cas(key, expected, value, None).await;
                    self.with_engine(|engine, now| {
                        engine.on_shard_write(&zone, index, &result, now)
                    });
                }
            }
        }
    }

    async fn cas(
        &self,
        key: Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Answer<Revision> {
        to_answer(store::cas(&self.sim, self.host, key, expected, value, lease).await)
    }

    pub(crate) async fn grant(&self, action: StoreAction) {
        let (sim, host) = (&self.sim, self.host);
        let lead_key = |zone| Key::new(format!("lead/{zone}"));
        match action {
            StoreAction::TakeLease(ttl) => {
                let result = store::call(sim, host, true, |store, now| Ok(store.lease(ttl, now)));
                let result = to_answer(result.await.map(|it| it.map(|it| Lease(it.0))));
                self.with_engine(|engine, _| engine.holder().on_lease(result));
            }
            StoreAction::Claim(zone, lease) => {
                let value = serde_json::to_vec(&lease).expect("plain data can be serialised");
                let result =
                    self.cas(lead_key(zone), None, Some(value), Some(LeaseId(lease.0))).await;
                self.with_engine(|engine, _| engine.holder().on_claim(result));
            }
            StoreAction::KeepAlive(lease) => {
                let keep_alive = |store: &mut crate::Store, now| {
                    store.keep_alive(LeaseId(lease.0), now).then_some(()).ok_or(())
                };
                let result = to_answer(store::call(sim, host, true, keep_alive).await);
                self.with_engine(|engine, _| engine.holder().on_keep_alive(result));
            }
            StoreAction::ReadLead(zone, _) => {
                let key = lead_key(zone);
                let read =
                    store::call(sim, host, false, |store, _| store.read(&key).cloned()).await;
                let lead =
                    read.map(|it| parse_json(it.as_ref().and_then(|it| it.value.as_deref())));
                self.with_engine(|engine, now| engine.holder().on_lead(lead, now));
            }
            StoreAction::ReadLedger(cap) => {
                let key = Key::new(format!("grant/{cap}"));
                let read =
                    store::call(sim, host, false, |store, _| store.read(&key).cloned()).await;
                let ledger = read.map(|found| {
                    let ledger =
                        parse_json::<Ledger>(found.as_ref().and_then(|it| it.value.as_deref()));
                    let revision = found.map(|it| it.revision);
                    Revisioned { revision, ledger: ledger.unwrap_or_default() }
                });
                self.with_engine(|engine, _| engine.holder().on_read(&cap, ledger));
            }
            StoreAction::WriteLedger(cap, Revisioned { revision, ledger }) => {
                let key = Key::new(format!("grant/{cap}"));
                let value = serde_json::to_vec(&ledger).expect("plain data can be serialised");
                let result = self.cas(key, revision, Some(value), None).await;
                self.with_engine(|engine, _| engine.holder().on_write(&cap, result));
            }
        }
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(value: Option<&[u8]>) -> Option<T> {
    serde_json::from_slice(value?).ok()
}

fn to_answer<T>(result: Option<Result<T, ()>>) -> Answer<T> {
    match result {
        Some(Ok(value)) => Answer::Applied(value),
        Some(Err(())) => Answer::Refused,
        None => Answer::Unknown,
    }
}
