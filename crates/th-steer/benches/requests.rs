//! Measures the engine's path of a request, a look-up and a tick, for one data centre with its own
//! entry VM.
#![allow(missing_docs, reason = "the macro generates an undocumented function")]

use std::{hint::black_box, sync::Arc};

use criterion::{Criterion, criterion_group, criterion_main};
use serde_json::{Map, Value, json};
use th_protocol::{Bundle, Bytes, Incarnation, Millis, Revision, Time, VmRecord, VmRole, VmState};
use th_steer::{
    backend::Outcome,
    engine::{
        Action, Call, Claims, Engine, EngineSettings, Identity, Placement, ReceiveOutcome,
        ShardAction,
    },
    limit::Answer,
    ticket::{Fingerprint, TicketKey, TicketKeys},
};

/// Builds a bundle of two services in three regions of two data centres each, with six backend
/// servers per service and data centre.
fn bundle() -> Arc<Bundle> {
    let (mut zones, mut regions) = (Map::new(), Map::new());
    for zone in 0..6 {
        zones.insert(format!("z{zone}"), json!({ "region": format!("r{}", zone / 2) }));
        regions.insert(format!("r{}", zone / 2), json!({ "cap": 200 }));
    }
    let service = |name: &str, port: u16| {
        let mut backends = Map::new();
        for i in 0..36_u16 {
            let backend = json!({
                "zone": format!("z{}", i % 6), "address": format!("10.0.0.1:{}", port + i),
                "slots": 4, "connections": 330,
            });
            backends.insert(format!("{name}-{i}"), backend);
        }
        json!({
            "regions": {
                "r0": { "weight": 1, "cap": 100 }, "r1": { "weight": 1, "cap": 100 },
                "r2": { "weight": 1, "cap": 100 },
            },
            "operations": { "check": { "idempotent": true, "deadline": 2000, "size": 1000 } },
            "backends": Value::Object(backends),
            "shift": { "cap": 200, "window": 10000 },
            "slo": { "latency": 250, "objective": 990, "headroom": 100, "drain": 30000 },
        })
    };
    let bundle = json!({
        "version": 1, "regions": regions, "zones": zones, "operators": {},
        "services": { "callout": service("callout", 2000), "roster": service("roster", 1000) },
    });
    Arc::new(serde_json::from_value(bundle).unwrap())
}

fn engine(now: Time) -> Engine<()> {
    let address = "10.0.0.9:1".parse().unwrap();
    let me = Identity {
        vm: "entry".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        incarnation: Incarnation(1),
        callers: address,
        peers: address,
        origin: Time::ZERO,
    };
    let list = [VmRecord {
        vm: me.vm.clone(),
        zone: me.zone.clone(),
        address,
        state: VmState::Live,
        role: VmRole::Entry,
    }];
    let keys = TicketKeys::new(TicketKey([1; 32]), Vec::new());
    let mut engine = Engine::new(EngineSettings::default(), me, keys, 1, now);
    engine.apply(bundle(), now);
    engine.on_vms(&list, now);
    for action in engine.tick(now) {
        let Action::Shard(ShardAction::Read(zone)) = action else { continue };
        for write in engine.on_shard_read(&zone, Some(&Claims::new()), &list, now) {
            let ShardAction::Write(zone, index, ..) = write else { continue };
            engine.on_shard_write(&zone, index, &Answer::Applied(Revision(1)), now);
        }
    }
    engine
}

fn call(now: Time) -> Call {
    Call {
        service: "roster".parse().unwrap(),
        operation: "check".parse().unwrap(),
        customer: None,
        source: "10.0.0.1".parse().unwrap(),
        ticket: None,
        key: None,
        fingerprint: Fingerprint::of(&[b"body"]),
        deadline: now.after(Millis(2_000)),
        size: Bytes(4),
        forwarded: false,
        attempts: 0,
        number: 1,
    }
}

fn requests(c: &mut Criterion) {
    let mut now = Time(1_000_000);
    let mut engine = engine(now);
    let request = call(now);
    c.bench_function("request", |b| {
        b.iter(|| {
            now = now.after(Millis(1));
            let call = Call { deadline: now.after(Millis(2_000)), ..request.clone() };
            let ReceiveOutcome::Run(mut run) = engine.receive(call, now) else {
                panic!("request was not accepted")
            };
            let Placement::Backend(choice) = engine.place(&mut run, now) else {
                panic!("no free slot")
            };
            let (service, attempt) = (&run.call.service, choice.attempt);
            engine.finish(service, attempt, Outcome::Answered, Millis(40), now);
        });
    });
    let (service, operation) = (request.service, request.operation);
    c.bench_function("look-up", |b| {
        b.iter(|| black_box(engine.lookup(&service, &operation, request.source, now)));
    });
    c.bench_function("tick", |b| {
        b.iter(|| {
            now = now.after(Millis(100));
            black_box(engine.tick(now))
        });
    });
}

criterion_group!(benches, requests);
criterion_main!(benches);
