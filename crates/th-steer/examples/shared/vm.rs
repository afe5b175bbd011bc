//! The engine of one entry VM in a synthetic fleet.

use std::sync::Arc;

use th_protocol::{
    Bundle, Bytes, Heartbeat, Millis, Operation, PeerRecord, Time, Version, VmRecord, VmRole,
    VmState, ZoneId,
};
use th_steer::{
    engine::{Engine, EngineSettings, Identity},
    ticket::{TicketKey, TicketKeys},
};

use crate::{
    sample,
    world::{self, Size},
};

/// Sizes of the fleet and the bundle that an entry VM handles.
pub(crate) struct Shape {
    /// Number of entry VMs.
    pub(crate) members: usize,
    /// Number of blocks and classes, in eighths of the full number.
    pub(crate) eighths: usize,
    /// Number of backend servers of each service in each data centre.
    pub(crate) copies: usize,
}

/// Builds the synthetic bundle with operations and additional backend servers.
pub(crate) fn bundle(shape: &Shape) -> Bundle {
    let full = Size::default();
    let size = Size {
        blocks: full.blocks * shape.eighths / 8,
        classes: full.classes * shape.eighths / 8,
        ..full
    };
    let mut bundle = world::bundle(&size);
    bundle.version = Version(1);
    let spec = Operation { idempotent: true, deadline: Millis(2_000), size: Bytes(4_000) };
    for service in bundle.services.values_mut() {
        service.operations.insert("check".parse().expect("valid id"), spec.clone());
        let book = Operation { idempotent: false, ..spec.clone() };
        service.operations.insert("book".parse().expect("valid id"), book);
        let first: Vec<_> = service.backends.clone().into_iter().collect();
        for copy in 1..shape.copies {
            for (id, backend) in &first {
                let id = format!("{id}-{copy}").parse().expect("valid id");
                service.backends.insert(id, backend.clone());
            }
        }
    }
    bundle
}

/// The entry VMs, as records of heartbeats and as the platform's list.
pub(crate) struct Fleet {
    pub(crate) records: Vec<PeerRecord>,
    pub(crate) list: Vec<VmRecord>,
}

/// Builds a fleet spread evenly over the data centres of the bundle.
pub(crate) fn fleet(bundle: &Bundle, count: usize) -> Fleet {
    let zones: Vec<ZoneId> = bundle.zones.keys().cloned().collect();
    let mut records = Vec::new();
    let mut list = Vec::new();
    for i in 0..count {
        let zone = zones[i % zones.len()].clone();
        let record = PeerRecord { zone: zone.clone(), ..sample::record(i) };
        let (vm, address) = (record.vm.clone(), record.address);
        list.push(VmRecord { vm, zone, address, state: VmState::Live, role: VmRole::Entry });
        records.push(record);
    }
    Fleet { records, list }
}

/// Builds a heartbeat of the VM `from`, with the records of the VMs after it.
pub(crate) fn heartbeat(fleet: &Fleet, from: usize, now: Time, records: usize) -> Heartbeat {
    let mut updates = Vec::new();
    for step in 1..=records {
        updates.push(fleet.records[(from + step) % fleet.records.len()].clone());
    }
    Heartbeat {
        from: fleet.records[from].clone(),
        clock: now,
        head: None,
        headroom: sample::headroom(from),
        leaving: Vec::new(),
        records: updates,
    }
}

/// Builds the engine of the first VM of the fleet, with that bundle in force.
pub(crate) fn engine(fleet: &Fleet, bundle: Arc<Bundle>) -> Engine<()> {
    let me = fleet.records[0].clone();
    let identity = Identity {
        vm: me.vm,
        zone: me.zone,
        incarnation: me.incarnation,
        callers: me.callers,
        peers: me.address,
        origin: me.origin,
    };
    let keys = TicketKeys::new(TicketKey([7; 32]), Vec::new());
    let mut engine = Engine::new(EngineSettings::default(), identity, keys, 7, Time(0));
    engine.on_vms(&fleet.list, Time(0));
    engine.on_heartbeat(&heartbeat(fleet, 1, Time(0), fleet.records.len()), Time(0));
    engine.apply(bundle, Time(0));
    engine
}
