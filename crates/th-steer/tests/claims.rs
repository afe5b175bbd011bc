//! Guards against two VMs using the same shard of a data centre, when entry VMs fail, pause, restart or
//! are replaced, or when the store is down.

use std::{collections::BTreeMap, sync::Arc};

use rstest::rstest;
use serde_json::json;
use th_protocol::{
    Bundle, Bytes, Incarnation, Millis, Revision, Time, VmId, VmRecord, VmRole, VmState, ZoneId,
};
use th_steer::{
    engine::{
        Action, Call, Claims, Engine, EngineSettings, Identity, Placement, ReceiveOutcome,
        ShardAction,
    },
    limit::{Answer, ShardClaim},
    ticket::{Fingerprint, TicketKey, TicketKeys},
};

const TICK: Millis = Millis(100);

fn bundle() -> Arc<Bundle> {
    let backend = |zone: &str, port: u16| {
        json!({
            "zone": zone, "address": format!("10.0.0.1:{port}"), "slots": 4, "connections": 100,
        })
    };
    let bundle = json!({
        "version": 1,
        "regions": { "north": { "cap": 8 } },
        "zones": { "a": { "region": "north" }, "b": { "region": "north" } },
        "services": { "roster": {
            "regions": { "north": { "weight": 1, "cap": 8 } },
            "operations": { "check": { "idempotent": true, "deadline": 2000, "size": 1000 } },
            "backends": { "a-1": backend("a", 1), "b-1": backend("b", 2) },
            "shift": { "cap": 200, "window": 10000 },
            "slo": { "latency": 250, "objective": 990, "headroom": 100, "drain": 30000 },
        }},
        "operators": {},
    });
    Arc::new(serde_json::from_value(bundle).unwrap())
}

/// Entry VMs that share one store. The store answers calls within the tick.
struct Cluster {
    now: Time,
    engines: BTreeMap<VmId, Engine<()>>,
    claims: BTreeMap<(ZoneId, u32), (ShardClaim, Revision)>,
    revision: u64,
    list: Vec<VmRecord>,
    store_down: bool,
}

impl Cluster {
    fn new() -> Cluster {
        Cluster {
            now: Time(1_000),
            engines: BTreeMap::new(),
            claims: BTreeMap::new(),
            revision: 0,
            list: Vec::new(),
            store_down: false,
        }
    }

    fn start(&mut self, vm: &str, zone: &str, incarnation: u64) {
        let address = "10.0.0.9:1".parse().unwrap();
        let me = Identity {
            vm: vm.parse().unwrap(),
            zone: zone.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            callers: address,
            peers: address,
            origin: Time::ZERO,
        };
        let keys = TicketKeys::new(TicketKey([1; 32]), Vec::new());
        let mut engine = Engine::new(EngineSettings::default(), me, keys, 1, self.now);
        engine.apply(bundle(), self.now);
        self.engines.insert(vm.parse().unwrap(), engine);
        self.unlist(vm);
        self.list.push(VmRecord {
            vm: vm.parse().unwrap(),
            zone: zone.parse().unwrap(),
            address,
            state: VmState::Live,
            role: VmRole::Entry,
        });
    }

    fn unlist(&mut self, vm: &str) {
        self.list.retain(|it| it.vm.as_str() != vm);
    }

    fn kill(&mut self, vm: &str) {
        self.engines.remove(&vm.parse::<VmId>().unwrap());
    }

    fn run(&mut self, span: Millis) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(TICK);
            for vm in self.engines.keys().cloned().collect::<Vec<_>>() {
                self.tick(&vm);
            }
        }
    }

    fn tick(&mut self, vm: &VmId) {
        let engine = self.engines.get_mut(vm).unwrap();
        if !self.store_down {
            engine.on_vms(&self.list, self.now);
        }
        let mut actions = Vec::new();
        for action in engine.tick(self.now) {
            if let Action::Shard(it) = action {
                actions.push(it);
            }
        }
        while let Some(action) = actions.pop() {
            let engine = self.engines.get_mut(vm).unwrap();
            match action {
                ShardAction::Read(zone) => {
                    let mut claims = Claims::new();
                    for ((at, index), claim) in &self.claims {
                        if *at == zone {
                            claims.insert(*index, claim.clone());
                        }
                    }
                    let read = (!self.store_down).then_some(&claims);
                    actions.extend(engine.on_shard_read(&zone, read, &self.list, self.now));
                }
                ShardAction::Write(zone, index, expected, claim) => {
                    let key = (zone.clone(), index);
                    let found = self.claims.get(&key).map(|it| it.1);
                    let answer = if self.store_down {
                        Answer::Unknown
                    } else if found != expected {
                        Answer::Refused
                    } else {
                        self.revision += 1;
                        self.claims.remove(&key);
                        if let Some(claim) = claim {
                            self.claims.insert(key, (claim, Revision(self.revision)));
                        }
                        Answer::Applied(Revision(self.revision))
                    };
                    engine.on_shard_write(&zone, index, &answer, self.now);
                }
            }
        }
    }

    fn owner(&self, zone: &str) -> Option<String> {
        let key = (zone.parse().unwrap(), 0);
        self.claims.get(&key).map(|it| it.0.vm.to_string())
    }
}

#[test]
fn each_vm_owns_the_shard_of_its_data_centre() {
    let mut cluster = Cluster::new();
    cluster.start("a-entry", "a", 1);
    cluster.start("b-entry", "b", 1);
    cluster.run(Millis(5_000));
    assert_eq!(cluster.owner("a").as_deref(), Some("a-entry"));
    assert_eq!(cluster.owner("b").as_deref(), Some("b-entry"));
}

#[test]
fn another_vm_adopts_the_shard_of_a_data_centre_without_entry_vms_and_relinquishes_it() {
    let mut cluster = Cluster::new();
    cluster.start("a-entry", "a", 1);
    cluster.start("b-entry", "b", 1);
    cluster.run(Millis(5_000));
    cluster.kill("b-entry");
    cluster.run(Millis(30_000));
    assert_eq!(cluster.owner("b").as_deref(), Some("b-entry"), "a listed VM may only be paused");
    cluster.unlist("b-entry");
    cluster.run(Millis(30_000));
    assert_eq!(cluster.owner("b").as_deref(), Some("a-entry"));
    cluster.start("b-entry-2", "b", 1);
    cluster.run(Millis(30_000));
    assert_eq!(cluster.owner("b").as_deref(), Some("b-entry-2"));
    assert_eq!(cluster.owner("a").as_deref(), Some("a-entry"));
}

#[rstest]
#[case::adopter_restarts("a-entry", 2)]
#[case::adopter_restarts_twice("a-entry", 3)]
fn a_restarted_adopter_relinquishes_a_shard_it_no_longer_needs(
    #[case] vm: &str,
    #[case] incarnation: u64,
) {
    let mut cluster = Cluster::new();
    cluster.start("a-entry", "a", 1);
    cluster.run(Millis(30_000));
    assert_eq!(cluster.owner("b").as_deref(), Some("a-entry"));
    cluster.kill(vm);
    cluster.start("b-entry", "b", 1);
    cluster.run(Millis(2_000));
    cluster.start(vm, "a", incarnation);
    cluster.run(Millis(30_000));
    assert_eq!(cluster.owner("b").as_deref(), Some("b-entry"));
}

/// Places a forwarded request that the engine receives now.
fn place(engine: &mut Engine<()>, now: Time) -> Placement {
    let call = Call {
        service: "roster".parse().unwrap(),
        operation: "check".parse().unwrap(),
        customer: None,
        source: "10.0.0.1".parse().unwrap(),
        ticket: None,
        key: None,
        fingerprint: Fingerprint::of(&[b"body"]),
        deadline: now.after(Millis(2_000)),
        size: Bytes(4),
        forwarded: true,
        attempts: 0,
        number: 1,
    };
    let ReceiveOutcome::Run(mut run) = engine.receive(call, now) else {
        panic!("the request is to run here")
    };
    engine.place(&mut run, now)
}

/// Guards against a paused VM that resumes with stale shard claims. In one case the platform has removed
/// it from the list and another VM has taken over; in the other it still owns its shard.
#[rstest]
#[case::taken_over(true)]
#[case::still_its_own(false)]
fn a_paused_owner_uses_no_slot_until_it_has_read_its_claim(#[case] unlisted: bool) {
    let mut cluster = Cluster::new();
    cluster.start("a-entry", "a", 1);
    cluster.start("b-entry", "b", 1);
    cluster.run(Millis(5_000));
    let id: VmId = "b-entry".parse().unwrap();
    let mut paused = cluster.engines.remove(&id).unwrap();
    assert!(matches!(place(&mut paused, cluster.now), Placement::Backend(_)));
    if unlisted {
        cluster.unlist("b-entry");
    }
    cluster.run(Millis(30_000));
    let resumed = place(&mut paused, cluster.now);
    assert!(matches!(resumed, Placement::Reject(_)), "{resumed:?}");
    cluster.engines.insert(id.clone(), paused);
    cluster.run(Millis(5_000));
    let now = cluster.now;
    let later = place(cluster.engines.get_mut(&id).unwrap(), now);
    assert_eq!(matches!(later, Placement::Backend(_)), !unlisted, "{later:?}");
}

#[test]
fn a_store_outage_changes_no_shard_owner() {
    let mut cluster = Cluster::new();
    cluster.start("a-entry", "a", 1);
    cluster.start("b-entry", "b", 1);
    cluster.run(Millis(5_000));
    cluster.store_down = true;
    cluster.run(Millis(600_000));
    cluster.store_down = false;
    cluster.run(Millis(60_000));
    assert_eq!(cluster.owner("a").as_deref(), Some("a-entry"));
    assert_eq!(cluster.owner("b").as_deref(), Some("b-entry"));
}
