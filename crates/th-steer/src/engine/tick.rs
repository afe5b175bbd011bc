//! The periodic tick, heartbeats, and the conversion of the platform's list of VMs.

use std::{collections::BTreeMap, sync::Arc};

use th_protocol::{
    BackendId, Bundle, HeadroomDigest, Heartbeat, IndirectCheck, MemberState, Time, VmRecord,
    VmRole, VmState,
};

use super::{Action, Engine};
use crate::member::{HeartbeatContent, Seed, Source, choose_watchers};

/// Maximum number of headroom digests in one heartbeat.
const MAX_DIGESTS: usize = 6;
/// Maximum number of notices of leaving backend servers in one heartbeat.
const MAX_LEAVING: usize = 8;
/// Number of VMs of a data centre that watch the store.
const STORE_WATCHERS: usize = 2;
/// Number of heartbeats sent at once when a bundle comes into force, this VM leaves or a backend server
/// begins to leave.
const ANNOUNCE_FANOUT: usize = 3;

impl<A: Clone> Engine<A> {
    /// Runs all periodic work. Returns the messages and calls that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        self.capacity.on_tick(now);
        self.tick_routing(now);
        self.set_allowances(now);
        self.tick_grants(now, &mut actions);
        self.tick_members(now, &mut actions);
        self.tick_spread(now, &mut actions);
        for (backend, address) in self.backends.due_probes(now) {
            actions.push(Action::Probe { backend, address });
        }
        self.tickets.sweep(now);
        self.serve_queues(now);
        actions
    }

    fn tick_routing(&mut self, now: Time) {
        let Some(mut routing) = self.routing.take() else {
            return;
        };
        let (members, headroom) = (&self.members, &self.headroom);
        let records = || {
            let mut records: Vec<_> = members.records().cloned().collect();
            records.push(members.me().clone());
            records
        };
        let digests = || headroom.digests(now).collect();
        routing.tick(records, digests, self.settings.refresh_period, now);
        self.routing = Some(routing);
    }

    fn tick_members(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.update_heartbeats(now);
        if self.backends.take_leaving_update() {
            // The other VMs of the data centre must stop sending requests to the leaving server, too.
            for it in self.members.announce(ANNOUNCE_FANOUT, Some(&self.me.zone), &mut self.rng) {
                actions.push(Action::Member(it));
            }
        }
        for it in self.members.tick(now, &mut self.rng) {
            actions.push(Action::Member(it));
        }
    }

    /// Updates the content of the heartbeats.
    fn update_heartbeats(&mut self, now: Time) {
        // A VM without shards has no capacity of which to report a free share.
        let owns = !self.capacity.holdings(now).is_empty();
        if let Some(region) = self.capacity.region().filter(|_| owns).cloned() {
            let free = self.capacity.free_share(now);
            let zone = self.me.zone.clone();
            let own = HeadroomDigest { region, zone, free, age: Default::default() };
            self.headroom.merge(&own, now);
        }
        self.headroom.expire(self.settings.route.stale, now);
        let headroom = self.headroom.pick(&self.me.zone, MAX_DIGESTS, now, &mut self.rng);
        let leaving = self.backends.notices(MAX_LEAVING, now);
        let head = self.spread.head();
        self.members.publish(HeartbeatContent { head, headroom, leaving });
    }

    fn tick_spread(&mut self, now: Time, actions: &mut Vec<Action>) {
        let watches = self.watches_store();
        for it in self.spread.tick(watches, now, &mut self.rng) {
            actions.push(Action::Spread(it));
        }
    }

    /// Whether this VM is one of the VMs of its data centre that watch the store.
    pub fn watches_store(&self) -> bool {
        let me = self.members.me();
        let records = self.members.records().chain([me]);
        choose_watchers(records, &self.me.zone, STORE_WATCHERS).contains(&self.me.vm)
    }

    /// Adds heartbeats outside the regular schedule to the next tick's actions, as their content has
    /// changed: [`ANNOUNCE_FANOUT`] to VMs anywhere and one to a VM of this data centre.
    fn announce(&mut self, now: Time) {
        self.update_heartbeats(now);
        for it in self.members.announce(ANNOUNCE_FANOUT, None, &mut self.rng) {
            self.pending.push(Action::Member(it));
        }
        for it in self.members.announce(1, Some(&self.me.zone), &mut self.rng) {
            self.pending.push(Action::Member(it));
        }
    }

    /// Removes this VM from look-up answers. It still accepts requests.
    pub fn leave(&mut self, now: Time) {
        self.members.leave();
        self.announce(now);
    }

    /// Puts a bundle in force and notifies peers. Returns false and ignores the bundle if it is not newer
    /// than the present one.
    pub fn apply(&mut self, bundle: Arc<Bundle>, now: Time) -> bool {
        if !self.put_in_force(bundle, now) {
            return false;
        }
        self.announce(now);
        true
    }

    /// Returns the heartbeat for a VM of which only the address is known.
    pub fn first_heartbeat(&mut self) -> Heartbeat {
        let target = self.members.me().clone();
        self.members.on_check(&IndirectCheck { target })
    }

    /// Handles a heartbeat and returns the answer.
    pub fn on_heartbeat(&mut self, message: &Heartbeat, now: Time) -> Heartbeat {
        self.on_content(message, now);
        self.members.on_heartbeat(message, now)
    }

    /// Handles the answer to a heartbeat.
    pub fn on_answer(&mut self, message: &Heartbeat, now: Time) {
        self.on_content(message, now);
        self.members.on_answer(message, now);
    }

    fn on_content(&mut self, message: &Heartbeat, now: Time) {
        if let Some(head) = message.head {
            self.spread.on_head(Source::Peer(message.from.vm.clone()), head);
        }
        for digest in &message.headroom {
            self.headroom.merge(digest, now);
        }
        for notice in &message.leaving {
            self.backends.on_notice(notice, now);
        }
    }
}

/// Returns the entry VMs of the platform's list.
pub(crate) fn seeds(list: &[VmRecord]) -> Vec<Seed> {
    let mut seeds = Vec::new();
    for it in list {
        if it.role != VmRole::Entry {
            continue;
        }
        let state = match it.state {
            VmState::Live => MemberState::Live,
            VmState::Leaving => MemberState::Leaving,
        };
        seeds.push(Seed { vm: it.vm.clone(), zone: it.zone.clone(), address: it.address, state });
    }
    seeds
}

/// Returns whether each backend server of the platform's list is live.
pub(crate) fn backend_states(bundle: &Bundle, list: &[VmRecord]) -> BTreeMap<BackendId, bool> {
    let mut states = BTreeMap::new();
    for it in list {
        if it.role != VmRole::Backend {
            continue;
        }
        let Ok(id) = it.vm.as_str().parse::<BackendId>() else {
            continue;
        };
        let known = bundle.services.values().any(|service| service.backends.contains_key(&id));
        if known {
            states.insert(id, it.state == VmState::Live);
        }
    }
    states
}
