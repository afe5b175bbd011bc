//! What this VM may spend: shares of caps, slots, connections and link bytes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use th_protocol::{
    AttemptId, Backend, BackendId, Bundle, Bytes, Connections, LinkId, Millis, Permille, RegionId,
    Revision, ServiceId, Slots as Count, Time, VmId, ZoneId,
};

use super::{
    EngineSettings, ShardAction,
    shards::{Claims, ShardRules, Shards},
};
use crate::limit::{
    Answer, CapId, CapTable, Charge, Holder, LinkMeter, Need, PartAnswer, PartAsk, Refusal,
    ShardClaim, Share, SlotLimit, Slots, Splitter, StoreAction, deal,
};

/// What is counted of one cap.
#[derive(Debug, Default)]
struct Use {
    share: Share,
    splitter: Splitter,
    /// The most that was in use, or was refused, since the lease holder was last asked.
    want: u64,
    /// When the lease holder was last asked.
    asked: Option<Time>,
}

/// What is kept of a bundle after the next one is in force.
#[derive(Debug)]
struct Before {
    caps: CapTable,
    /// Shards of this data centre, which it may have lacked.
    shards: Option<u32>,
    /// As it had them, the backend servers that the next one has in this data centre.
    backends: BTreeMap<BackendId, Backend>,
    /// Its smaller shares bind until then.
    until: Time,
}

impl Before {
    fn new(old: &Bundle, caps: CapTable, next: &Bundle, zone: &ZoneId, until: Time) -> Before {
        let mut backends = BTreeMap::new();
        for (id, backend) in next.services.values().flat_map(|it| &it.backends) {
            if backend.zone != *zone {
                continue;
            }
            if let Some(found) = old.services.values().find_map(|it| it.backends.get(id)) {
                backends.insert(id.clone(), found.clone());
            }
        }
        let shards = old.zones.get(zone).map(|it| it.shards);
        Before { caps, shards, backends, until }
    }
}

/// What this VM may spend, and what it has spent.
#[derive(Debug)]
pub(crate) struct Capacity {
    zone: ZoneId,
    vm: VmId,
    region: Option<RegionId>,
    bundle: Option<Arc<Bundle>>,
    /// The bundle before, whose smaller shares still bind for a while.
    before: Option<Before>,
    caps: CapTable,
    shards: Shards,
    uses: BTreeMap<CapId, Use>,
    slots: Slots,
    meters: BTreeMap<LinkId, LinkMeter>,
    holder: Holder,
    /// The longest deadline of any operation.
    longest: Millis,
    claim: Millis,
    settle: Millis,
    drift: Millis,
}

impl Capacity {
    pub(crate) fn new(claim: ShardClaim, zone: ZoneId, settings: &EngineSettings) -> Capacity {
        Capacity {
            zone: zone.clone(),
            vm: claim.vm.clone(),
            region: None,
            bundle: None,
            before: None,
            caps: CapTable::default(),
            shards: Shards::new(claim),
            uses: BTreeMap::new(),
            slots: Slots::default(),
            meters: BTreeMap::new(),
            holder: Holder::new(zone, settings.holder),
            longest: Millis::ZERO,
            claim: settings.claim,
            settle: settings.settle,
            drift: settings.holder.drift,
        }
    }

    /// Takes a bundle over. A smaller share binds at once, a larger one after the settling time.
    pub(crate) fn on_bundle(&mut self, bundle: &Arc<Bundle>, now: Time) {
        if let Some(old) = self.bundle.take() {
            let caps = std::mem::take(&mut self.caps);
            self.before = Some(Before::new(&old, caps, bundle, &self.zone, now.after(self.settle)));
        }
        self.caps = CapTable::new(bundle);
        self.region = bundle.zones.get(&self.zone).map(|it| it.region.clone());
        self.shards.resize(bundle.zones.get(&self.zone).map_or(0, |it| it.shards));
        self.longest = longest_deadline(bundle);
        self.bundle = Some(Arc::clone(bundle));
        let caps = &self.caps;
        self.uses.retain(|id, _| caps.get(id).is_some());
    }

    /// The region that this VM is in.
    pub(crate) fn region(&self) -> Option<&RegionId> {
        self.region.as_ref()
    }

    pub(crate) fn on_list(&mut self, listed: BTreeSet<VmId>) {
        self.shards.on_list(listed);
    }

    pub(crate) fn shards(&self) -> &Shards {
        &self.shards
    }

    /// What the shards that this VM owns bring of a cap.
    fn floor(&self, id: &CapId, now: Time) -> u64 {
        let count = self.shards.count();
        let mut floor = 0;
        let mut earlier = 0;
        let before = self.before.as_ref().filter(|it| now < it.until);
        let before = before.and_then(|it| Some((it.shards.unwrap_or(0), it.caps.get(id)?)));
        for shard in self.shards.usable(now) {
            floor += self.caps.get(id).map_or(0, |cap| cap.floor(&self.zone, count, shard));
            if let Some((count, cap)) = before {
                earlier += cap.floor(&self.zone, count, shard);
            }
        }
        if before.is_some() { floor.min(earlier) } else { floor }
    }

    /// What may be spent of a cap by work that lasts at most `span`.
    pub(crate) fn spendable(&self, id: &CapId, span: Millis, now: Time) -> u64 {
        let mut share = self.uses.get(id).map_or(Share::default(), |it| it.share);
        share.floor = self.floor(id, now);
        share.spendable(now, span)
    }

    /// The slots and connections of each backend server of this data centre that may be used.
    pub(crate) fn allowances(&self, now: Time) -> Vec<(BackendId, Count, Connections)> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let usable = self.shards.usable(now);
        let count = self.shards.count();
        let before = self.before.as_ref().filter(|it| now < it.until);
        let mut allowances = Vec::new();
        for service in bundle.services.values() {
            for (id, backend) in &service.backends {
                if backend.zone != self.zone {
                    continue;
                }
                let mut share = backend_share(id, backend, &usable, count);
                let earlier = before.and_then(|before| {
                    let found = before.backends.get(id)?;
                    Some(backend_share(id, found, &usable, before.shards?))
                });
                if let Some(earlier) = earlier {
                    share = (share.0.min(earlier.0), share.1.min(earlier.1));
                }
                allowances.push((id.clone(), share.0, share.1));
            }
        }
        allowances
    }

    /// Whether the region's and the service's caps let one more request run here.
    pub(crate) fn room(
        &mut self,
        service: &ServiceId,
        span: Millis,
        now: Time,
    ) -> Result<SlotLimit, CapId> {
        let Some(region) = self.region.clone() else {
            return Err(CapId::Region("unknown".parse().expect("it is an id")));
        };
        let total = CapId::Region(region.clone());
        let target = CapId::Service(service.clone(), region);
        let limit = SlotLimit {
            region: self.spendable(&total, span, now),
            service: self.spendable(&target, span, now),
            backend: u64::MAX,
        };
        for (id, most) in [(total, limit.region), (target, limit.service)] {
            let used = self.slots.used(&id);
            self.note_want(&id, used + 1);
            if most <= used {
                return Err(id);
            }
        }
        Ok(limit)
    }

    fn note_want(&mut self, id: &CapId, want: u64) {
        let it = self.uses.entry(id.clone()).or_default();
        it.want = it.want.max(want);
    }

    /// Takes a slot under the region's and the service's caps.
    pub(crate) fn acquire(
        &mut self,
        attempt: AttemptId,
        service: &ServiceId,
        backend: &BackendId,
        limit: SlotLimit,
    ) -> Result<(), Refusal> {
        let region = self.region.clone().expect("a slot limit is made where the region is known");
        self.slots.acquire(attempt, service, &region, backend, limit)
    }

    /// Gives a slot back; false where none was held.
    pub(crate) fn release(&mut self, attempt: AttemptId) -> bool {
        self.slots.release(attempt).is_ok()
    }

    /// The link between two regions.
    fn link(&self, from: &RegionId, to: &RegionId) -> Option<LinkId> {
        let bundle = self.bundle.as_ref()?;
        let found = bundle.links.iter().find(|(_, it)| it.from == *from && it.to == *to);
        found.map(|(id, _)| id.clone())
    }

    /// Charges bytes that this VM sends to another region. Nothing is charged within one region.
    pub(crate) fn charge(
        &mut self,
        to: &RegionId,
        bytes: Bytes,
        now: Time,
    ) -> Result<Option<(LinkId, Charge)>, Refusal> {
        let Some(from) = self.region.clone() else {
            return Ok(None);
        };
        if from == *to {
            return Ok(None);
        }
        let Some(link) = self.link(&from, to) else {
            // No cap is stated for this way.
            return Ok(None);
        };
        let id = CapId::Link(link.clone());
        let share = self.spendable(&id, Millis::ZERO, now);
        let meter = self.meters.entry(link.clone()).or_default();
        let used = meter.used(now).0;
        let charged = meter.charge(bytes, share, now);
        self.note_want(&id, used.saturating_add(bytes.0));
        Ok(Some((link, charged?)))
    }

    /// Notes bytes that go to another region whatever the cap says, as a debt.
    pub(crate) fn owe(&mut self, to: &RegionId, bytes: Bytes) {
        let Some(from) = self.region.clone().filter(|it| it != to) else {
            return;
        };
        if let Some(link) = self.link(&from, to) {
            self.meters.entry(link).or_default().owe(bytes);
        }
    }

    /// Settles a charge by what was really sent.
    pub(crate) fn settle(&mut self, (link, charge): (LinkId, Charge), actual: Bytes) {
        if let Some(meter) = self.meters.get_mut(&link) {
            meter.settle(charge, actual);
        }
    }

    /// The free share of what this VM may spend of its region's cap.
    pub(crate) fn free(&self, now: Time) -> Permille {
        let Some(region) = &self.region else {
            return Permille::ZERO;
        };
        let id = CapId::Region(region.clone());
        let most = self.spendable(&id, Millis::ZERO, now);
        let used = self.slots.used(&id).min(most);
        permille(most - used, most)
    }

    /// The free share of each link that starts in this region.
    pub(crate) fn free_links(&mut self, now: Time) -> Vec<(LinkId, Permille)> {
        let mut free = Vec::new();
        let links: Vec<LinkId> = self.meters.keys().cloned().collect();
        for link in links {
            let most = self.spendable(&CapId::Link(link.clone()), Millis::ZERO, now);
            let used = self.meters.get_mut(&link).map_or(0, |it| it.used(now).0).min(most);
            free.push((link, permille(most - used, most)));
        }
        free
    }

    fn rules(&self, spare: bool) -> ShardRules {
        ShardRules { period: self.claim, deadline: self.longest, spare }
    }

    /// The calls about shards that are due.
    pub(crate) fn tick_shards(
        &mut self,
        live: &BTreeSet<VmId>,
        spare: bool,
        now: Time,
    ) -> Vec<ShardAction> {
        self.shards.tick(live, self.rules(spare), now)
    }

    pub(crate) fn release_shards(&mut self) -> Vec<ShardAction> {
        self.shards.release()
    }

    pub(crate) fn on_shard_read(
        &mut self,
        read: Option<&Claims>,
        spare: bool,
        now: Time,
    ) -> Vec<ShardAction> {
        self.shards.on_read(read, self.rules(spare), now)
    }

    pub(crate) fn on_shard_write(&mut self, index: u32, answer: &Answer<Revision>, now: Time) {
        self.shards.on_write(index, answer, self.longest, now);
    }

    /// What the data centre needs of each cap that has a leased remainder, as this VM knows it.
    fn needs(&mut self, now: Time) -> BTreeMap<CapId, Need> {
        let mut needs = BTreeMap::new();
        for (id, cap) in self.caps.iter() {
            if cap.leasable == 0 || !self.concerns(id) {
                continue;
            }
            let it = self.uses.entry(id.clone()).or_default();
            let out = it.splitter.out(now);
            let floor = cap.floors.get(&self.zone).copied().unwrap_or(0);
            let want = it.want.saturating_sub(floor).max(out);
            needs.insert(id.clone(), Need { total: cap.leasable, want, out });
        }
        needs
    }

    /// Whether this data centre may spend of a cap at all.
    fn concerns(&self, id: &CapId) -> bool {
        let Some(region) = &self.region else {
            return false;
        };
        match id {
            CapId::Region(it) | CapId::Service(_, it) => it == region,
            CapId::Link(link) => {
                let link = self.bundle.as_ref().and_then(|it| it.links.get(link));
                link.is_some_and(|it| it.from == *region)
            }
        }
    }

    /// The calls for leased grants that are due; only the data centre's lease holder makes them.
    pub(crate) fn tick_holder(&mut self, now: Time) -> Vec<StoreAction> {
        let needs = self.needs(now);
        if needs.is_empty() {
            return Vec::new();
        }
        self.holder.on_tick(&needs, now)
    }

    pub(crate) fn holder(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// The parts of grants that this VM should ask for now.
    pub(crate) fn asks(&mut self, period: Millis, now: Time) -> Vec<PartAsk> {
        let mut asks = Vec::new();
        let mut ids = Vec::new();
        for (id, cap) in self.caps.iter() {
            if 0 < cap.leasable && self.concerns(id) {
                ids.push(id.clone());
            }
        }
        for id in ids {
            let floor = self.floor(&id, now);
            let used = self.slots.used(&id);
            let it = self.uses.entry(id.clone()).or_default();
            if it.asked.is_some_and(|at| now < at.after(period)) {
                continue;
            }
            it.asked = Some(now);
            let want = it.want.max(used).saturating_sub(floor);
            it.want = used;
            if 0 < want {
                asks.push(PartAsk { vm: self.vm.clone(), cap: id, want });
            }
        }
        asks
    }

    /// Answers a VM of the data centre that asks for a part of a grant.
    pub(crate) fn on_ask(&mut self, ask: &PartAsk, now: Time) -> PartAnswer {
        let (total, expiry) = self.holder.spendable(&ask.cap, now);
        let it = self.uses.entry(ask.cap.clone()).or_default();
        it.want = it.want.max(ask.want);
        it.splitter.on_ask(ask, total, expiry, now, self.drift)
    }

    /// Takes the part of a grant that was asked for at `asked`.
    pub(crate) fn on_part(&mut self, answer: &PartAnswer, asked: Time) {
        let it = self.uses.entry(answer.cap.clone()).or_default();
        it.share.on_part(answer.part(asked));
    }
}

/// `part` of `whole`; nothing of nothing.
fn permille(part: u64, whole: u64) -> Permille {
    Permille((part * 1_000).checked_div(whole).unwrap_or(0) as u32)
}

fn longest_deadline(bundle: &Bundle) -> Millis {
    let mut longest = Millis::ZERO;
    for service in bundle.services.values() {
        for operation in service.operations.values() {
            longest = longest.max(operation.deadline);
        }
    }
    longest
}

/// The part of a backend server that falls to the owner of `shards` out of `count`.
///
/// Servers start at different shards, so that the units left over are spread.
fn backend_share(
    id: &BackendId,
    backend: &Backend,
    shards: &[u32],
    count: u32,
) -> (Count, Connections) {
    let first: u32 = id.as_str().bytes().map(u32::from).sum();
    let (mut slots, mut connections) = (0, 0);
    for shard in shards {
        if count <= *shard {
            continue;
        }
        let index = (shard + first) % count;
        slots += deal(u64::from(backend.slots.0), count, index);
        connections += deal(u64::from(backend.connections.0), count, index);
    }
    (Count(slots as u32), Connections(connections as u32))
}
