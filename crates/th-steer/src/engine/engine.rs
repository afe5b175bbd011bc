//! The state of one entry VM.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use th_protocol::{
    AttemptId, Bundle, MemberState, PeerRecord, ServiceId, Time, VmId, VmRecord, ZoneId,
};

use super::{
    Action, EngineSettings, Identity, Wake,
    capacity::Capacity,
    claims::{Listed, listed},
    routing::Routing,
};
use crate::{
    backend::Backends,
    explain::Journal,
    limit::ShardClaim,
    member::{Headroom, Members, Spread},
    queue::Queue,
    retry::RetryPolicy,
    ticket::{TicketKeys, TicketTable},
};

/// The decision engine of one entry VM. `A` is a complete answer, retained for repeated requests.
pub struct Engine<A> {
    pub(crate) settings: EngineSettings,
    pub(crate) me: Identity,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) bundle: Option<Arc<Bundle>>,
    /// When the bundle came into force on this VM.
    pub(crate) bundle_since: Time,
    pub(crate) routing: Option<Routing>,
    pub(crate) capacity: Capacity,
    pub(crate) backends: Backends,
    pub(crate) members: Members,
    pub(crate) headroom: Headroom,
    pub(crate) spread: Spread,
    pub(crate) tickets: TicketTable<A>,
    pub(crate) keys: TicketKeys,
    pub(crate) queues: BTreeMap<ServiceId, Queue<super::place::Waiter>>,
    pub(crate) retry: RetryPolicy,
    pub(crate) journal: Journal,
    pub(crate) wakes: Vec<Wake>,
    /// Actions that the next tick returns.
    pub(crate) pending: Vec<Action>,
    /// Number of requests that have ever been queued; numbers the next one.
    pub(crate) waiter_count: u64,
    pub(crate) stopping: bool,
    /// Live entry VMs of each data centre, according to the platform's list.
    pub(crate) listed: Listed,
    /// The time since which each data centre of this region has had no listed entry VM.
    pub(crate) empty_since: BTreeMap<ZoneId, Time>,
}

impl<A: Clone> Engine<A> {
    /// Creates an engine that holds no bundle and knows no other VM.
    pub fn new(
        settings: EngineSettings,
        me: Identity,
        keys: TicketKeys,
        seed: u64,
        now: Time,
    ) -> Engine<A> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let record = PeerRecord {
            vm: me.vm.clone(),
            zone: me.zone.clone(),
            address: me.peers,
            callers: me.callers,
            origin: me.origin,
            incarnation: me.incarnation,
            beat: 0,
            state: MemberState::Live,
        };
        let claim = ShardClaim { vm: me.vm.clone(), incarnation: me.incarnation };
        // Attempt ids start at a random number, so that they differ between VMs and between restarts
        // of one VM.
        let first_attempt = AttemptId(rand::Rng::random::<u64>(&mut rng) >> 16);
        Engine {
            capacity: Capacity::new(claim, me.zone.clone(), &settings),
            backends: Backends::new(settings.backend.clone(), me.zone.clone(), first_attempt),
            members: Members::new(settings.member.clone(), record, now),
            headroom: Headroom::default(),
            spread: Spread::new(settings.spread.clone(), now, &mut rng),
            tickets: TicketTable::new(me.vm.clone(), me.incarnation, settings.tickets.clone()),
            keys,
            queues: BTreeMap::new(),
            retry: RetryPolicy::new(settings.retry.clone()),
            journal: Journal::new(&settings.explain),
            routing: None,
            bundle: None,
            bundle_since: now,
            wakes: Vec::new(),
            pending: Vec::new(),
            waiter_count: 0,
            stopping: false,
            listed: Listed::new(),
            empty_since: BTreeMap::new(),
            settings,
            me,
            rng,
        }
    }

    /// The identity of this VM.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.bundle.as_ref()
    }

    /// Puts a bundle in force. Returns false if it is not newer than the present one.
    pub(crate) fn put_in_force(&mut self, bundle: Arc<Bundle>, now: Time) -> bool {
        let newer = self.bundle.as_ref().is_none_or(|it| it.version < bundle.version);
        if !newer {
            return false;
        }
        let records = self.records();
        let route = self.settings.route.clone();
        self.routing = Some(match self.routing.take() {
            None => Routing::new(&bundle, &self.me.zone, route, &records, now),
            Some(it) => it.on_bundle(&bundle, &self.me.zone, &records, now),
        });
        self.capacity.on_bundle(&bundle, now);
        self.backends.on_bundle(&bundle, now);
        self.retry.retain(|service| bundle.services.contains_key(service));
        self.set_queues(&bundle);
        self.bundle_since = now;
        self.bundle = Some(bundle);
        self.set_allowances(now);
        true
    }

    fn set_queues(&mut self, bundle: &Bundle) {
        for (id, service) in &bundle.services {
            let queue = self.queues.entry(id.clone());
            let queue = queue.or_insert_with(|| Queue::new(self.settings.queue.clone()));
            queue.set_weights(&service.customers);
        }
        // A removed service's queue stays until it is empty: its requests are rejected when they leave
        // the queue.
        self.queues.retain(|id, queue| bundle.services.contains_key(id) || !queue.is_empty());
    }

    /// Sets how many slots and connections of each backend server this VM may use: those of the
    /// shards that it holds now.
    pub(crate) fn set_allowances(&mut self, now: Time) {
        let zones = self.capacity.served_zones(now);
        if let Some(bundle) = &self.bundle
            && self.backends.set_zones(zones)
        {
            self.backends.on_bundle(bundle, now);
        }
        self.backends.set_allowances(&self.capacity.allowances(now));
    }

    /// The records of all known entry VMs, including this one.
    pub fn records(&self) -> Vec<PeerRecord> {
        let mut records: Vec<PeerRecord> = self.members.records().cloned().collect();
        records.push(self.members.me().clone());
        records
    }

    /// The live entry VMs of this data centre, including this one.
    pub(crate) fn live_neighbours(&self) -> BTreeSet<VmId> {
        let mut live = BTreeSet::from([self.me.vm.clone()]);
        for record in self.members.records() {
            if record.zone == self.me.zone && record.state == MemberState::Live {
                live.insert(record.vm.clone());
            }
        }
        live
    }

    /// Applies the platform's list of VMs (entry VMs and backend servers). The list lags behind the
    /// actual state.
    pub fn on_vms(&mut self, list: &[VmRecord], now: Time) {
        let names = list.iter().map(|it| it.vm.clone()).collect();
        self.capacity.on_vm_list(&names);
        self.listed = listed(list);
        self.members.on_vm_list(&super::tick::seeds(list), now);
        if let Some(bundle) = self.bundle.clone() {
            self.backends.on_vm_list(&super::tick::backend_states(&bundle, list), now);
        }
    }

    /// Stops accepting new requests.
    pub fn close(&mut self) {
        self.stopping = true;
        self.tickets.close();
    }

    /// Returns the queued requests that have left the queue since the last call.
    pub fn take_wakes(&mut self) -> Vec<Wake> {
        std::mem::take(&mut self.wakes)
    }
}
