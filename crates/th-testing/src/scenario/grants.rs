//! Calls of the store for shards and grants.

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
                    let list = store::list(&self.sim, self.host).await;
                    let mut claims = Claims::new();
                    for it in read.iter().flatten() {
                        let index = it.key.as_str()[prefix.len()..].parse();
                        if let Some(claim) = json::<ShardClaim>(it.value.as_deref()) {
                            claims.insert(index.expect("it was written so"), (claim, it.revision));
                        }
                    }
                    let read = (read.is_some() && list.is_some()).then_some(&claims);
                    let list = list.unwrap_or_default();
                    actions.extend(
                        self.decide(|engine, now| engine.on_shard_read(&zone, read, &list, now)),
                    );
                }
                ShardAction::Write(zone, index, expected, claim) => {
                    let value = claim.map(|it| serde_json::to_vec(&it).expect("it is plain data"));
                    let key = Key::new(format!("shard/{zone}/{index}"));
                    let ended = self.cas(key, expected, value, None).await;
                    self.decide(|engine, now| engine.on_shard_write(&zone, index, &ended, now));
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
        answer(store::cas(&self.sim, self.host, key, expected, value, lease).await)
    }

    pub(crate) async fn grant(&self, action: StoreAction) {
        let (sim, host) = (&self.sim, self.host);
        let lead = |zone| Key::new(format!("lead/{zone}"));
        match action {
            StoreAction::TakeLease(ttl) => {
                let ended = store::call(sim, host, true, |store, now| Ok(store.lease(ttl, now)));
                let ended = answer(ended.await.map(|it| it.map(|it| Lease(it.0))));
                self.decide(|engine, _| engine.holder().on_lease(ended));
            }
            StoreAction::Claim(zone, lease) => {
                let value = serde_json::to_vec(&lease).expect("it is plain data");
                let ended = self.cas(lead(zone), None, Some(value), Some(LeaseId(lease.0))).await;
                self.decide(|engine, _| engine.holder().on_claim(ended));
            }
            StoreAction::KeepAlive(lease) => {
                let kept = |store: &mut crate::Store, now| {
                    store.keep_alive(LeaseId(lease.0), now).then_some(()).ok_or(())
                };
                let ended = answer(store::call(sim, host, true, kept).await);
                self.decide(|engine, _| engine.holder().on_keep_alive(ended));
            }
            StoreAction::ReadLead(zone, _) => {
                let key = lead(zone);
                let read =
                    store::call(sim, host, false, |store, _| store.read(&key).cloned()).await;
                let shown = read.map(|it| json(it.as_ref().and_then(|it| it.value.as_deref())));
                self.decide(|engine, now| engine.holder().on_lead(shown, now));
            }
            StoreAction::ReadLedger(cap) => {
                let key = Key::new(format!("grant/{cap}"));
                let read =
                    store::call(sim, host, false, |store, _| store.read(&key).cloned()).await;
                let ledger = read.map(|found| {
                    let ledger = json::<Ledger>(found.as_ref().and_then(|it| it.value.as_deref()));
                    let revision = found.map(|it| it.revision);
                    Revisioned { revision, ledger: ledger.unwrap_or_default() }
                });
                self.decide(|engine, _| engine.holder().on_read(&cap, ledger));
            }
            StoreAction::WriteLedger(cap, Revisioned { revision, ledger }) => {
                let key = Key::new(format!("grant/{cap}"));
                let value = serde_json::to_vec(&ledger).expect("it is plain data");
                let ended = self.cas(key, revision, Some(value), None).await;
                self.decide(|engine, _| engine.holder().on_write(&cap, ended));
            }
        }
    }
}

fn json<T: serde::de::DeserializeOwned>(value: Option<&[u8]>) -> Option<T> {
    serde_json::from_slice(value?).ok()
}

fn answer<T>(ended: Option<Result<T, ()>>) -> Answer<T> {
    match ended {
        Some(Ok(value)) => Answer::Applied(value),
        Some(Err(())) => Answer::Refused,
        None => Answer::Unknown,
    }
}
