//! The capacity that this VM may use: shares of caps, slots, connections and link bytes.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{
    AttemptId, BackendId, Bundle, Bytes, Connections, LinkId, Millis, Permille, RegionId,
    ServiceId, Slots as Count, Time, VmId, ZoneId,
};

use super::{
    EngineSettings,
    plan::{CapacityPlan, Holding},
    shards::Shards,
};
use crate::limit::{
    CapId, Charge, LeaseHolder, LinkMeter, Rejection, ShardClaim, Share, SlotLimit, Slots, Splitter,
};

/// Usage of one cap.
#[derive(Debug, Default)]
pub(crate) struct CapUsage {
    pub(crate) share: Share,
    pub(crate) splitter: Splitter,
    /// The highest usage since the last request to the lease holder, including rejected demand.
    pub(crate) want: u64,
    /// When a part was last requested from the lease holder.
    pub(crate) last_request: Option<Time>,
}

/// The capacity that this VM may use, and its present usage.
#[derive(Debug)]
pub(crate) struct Capacity {
    pub(crate) zone: ZoneId,
    pub(crate) vm: VmId,
    pub(crate) plan: CapacityPlan,
    /// Plans of earlier bundles. Where such a plan gives a smaller share, that share applies until the
    /// given time.
    earlier_plans: Vec<(CapacityPlan, Time)>,
    pub(crate) shards: Shards,
    /// Shards of the region's other data centres, which this VM adopts when these have no listed entry VM.
    pub(crate) adopted: BTreeMap<ZoneId, Shards>,
    pub(crate) usage: BTreeMap<CapId, CapUsage>,
    pub(crate) slots: Slots,
    meters: BTreeMap<LinkId, LinkMeter>,
    pub(crate) holder: LeaseHolder,
    claim: ShardClaim,
    pub(crate) period: Millis,
    settle_delay: Millis,
    pub(crate) drift: Millis,
    /// Without a tick for this long, the process counts as paused.
    pause_limit: Millis,
    last_tick: Option<Time>,
}

impl Capacity {
    pub(crate) fn new(claim: ShardClaim, zone: ZoneId, settings: &EngineSettings) -> Capacity {
        Capacity {
            zone: zone.clone(),
            vm: claim.vm.clone(),
            plan: CapacityPlan::default(),
            earlier_plans: Vec::new(),
            shards: Shards::new(claim.clone()),
            adopted: BTreeMap::new(),
            usage: BTreeMap::new(),
            slots: Slots::default(),
            meters: BTreeMap::new(),
            holder: LeaseHolder::new(zone, settings.holder),
            claim,
            period: settings.claim_period,
            settle_delay: settings.settle_delay,
            drift: settings.holder.drift,
            pause_limit: settings.pause_limit,
            last_tick: None,
        }
    }

    /// Records a tick. After a pause the shards are not used until their claims have been read again.
    pub(crate) fn on_tick(&mut self, now: Time) {
        if self.was_paused(now) {
            self.require_reread();
        }
        self.last_tick = Some(now);
    }

    fn was_paused(&self, now: Time) -> bool {
        self.last_tick.is_some_and(|at| self.pause_limit <= now.since(at))
    }

    /// Stops using any shard until its claim has been read again.
    fn require_reread(&mut self) {
        self.shards.require_reread();
        for shards in self.adopted.values_mut() {
            shards.require_reread();
        }
    }

    /// Applies a bundle. A smaller share applies at once. A larger share is used only after the bundle
    /// has come into force at the VMs whose share it reduces, and after the requests that they had
    /// dispatched before have ended.
    pub(crate) fn on_bundle(&mut self, bundle: &Bundle, now: Time) {
        let plan = CapacityPlan::new(bundle, &self.zone);
        let old = std::mem::replace(&mut self.plan, plan);
        if old.region.is_some() {
            let until = now.after(self.settle_delay).after(old.max_deadline);
            self.earlier_plans.push((old, until));
        }
        self.earlier_plans.retain(|(_, until)| now < *until);
        self.shards.resize(self.plan.shards.get(&self.zone).copied().unwrap_or(0));
        self.resize_adopted();
        let caps = &self.plan.caps;
        self.usage.retain(|id, _| caps.get(id).is_some());
    }

    fn resize_adopted(&mut self) {
        let (zone, claim) = (&self.zone, &self.claim);
        for (id, count) in &self.plan.shards {
            if id == zone {
                continue;
            }
            let shards = self.adopted.entry(id.clone());
            shards.or_insert_with(|| Shards::new(claim.clone())).resize(*count);
        }
        let plan = &self.plan;
        self.adopted.retain(|id, _| plan.shards.contains_key(id));
    }

    /// The region that this VM is in.
    pub(crate) fn region(&self) -> Option<&RegionId> {
        self.plan.region.as_ref()
    }

    /// Applies the names of all listed VMs. If this VM is no longer listed, another may have taken over
    /// its shards.
    pub(crate) fn on_vm_list(&mut self, listed: &BTreeSet<VmId>) {
        if !listed.contains(&self.vm) {
            self.require_reread();
        }
        self.shards.on_vm_list(listed.clone());
        for shards in self.adopted.values_mut() {
            shards.on_vm_list(listed.clone());
        }
    }

    /// The shards whose share this VM may use.
    pub(crate) fn holdings(&self, now: Time) -> Vec<Holding> {
        let mut holdings = Vec::new();
        // A request may arrive before the first tick after a pause.
        if self.was_paused(now) {
            return holdings;
        }
        let own = (&self.zone, &self.shards);
        for (zone, shards) in self.adopted.iter().chain([own]) {
            let usable = shards.usable(now);
            if !usable.is_empty() {
                holdings.push(Holding { zone: zone.clone(), shards: usable });
            }
        }
        holdings
    }

    /// Data centres whose backend servers this VM sends requests to: its own and adopted ones.
    pub(crate) fn served_zones(&self, now: Time) -> BTreeSet<ZoneId> {
        let mut zones = BTreeSet::from([self.zone.clone()]);
        zones.extend(self.holdings(now).into_iter().map(|it| it.zone));
        zones
    }

    /// The part of a cap's floor that belongs to the shards of this VM.
    pub(crate) fn floor(&self, id: &CapId, now: Time) -> u64 {
        let holdings = self.holdings(now);
        let mut floor = self.plan.floor(id, &holdings).unwrap_or(0);
        for (plan, until) in &self.earlier_plans {
            if *until <= now {
                continue;
            }
            if let Some(before) = plan.floor(id, &holdings) {
                floor = floor.min(before);
            }
        }
        floor
    }

    /// The amount of a cap that requests lasting at most `span` may use.
    pub(crate) fn spendable(&self, id: &CapId, span: Millis, now: Time) -> u64 {
        let mut share = self.usage.get(id).map_or(Share::default(), |it| it.share);
        share.floor = self.floor(id, now);
        share.spendable(now, span)
    }

    /// The slots and connections of each backend server that this VM may use.
    pub(crate) fn allowances(&self, now: Time) -> BTreeMap<BackendId, (Count, Connections)> {
        let holdings = self.holdings(now);
        let mut allowances = self.plan.allowances(&holdings);
        for (plan, until) in &self.earlier_plans {
            if *until <= now {
                continue;
            }
            for (id, before) in plan.allowances(&holdings) {
                if let Some(it) = allowances.get_mut(&id) {
                    *it = (it.0.min(before.0), it.1.min(before.1));
                }
            }
        }
        allowances
    }

    /// Checks that the caps of the region and the service allow one more request here. The error names
    /// the exhausted cap, or is `None` if the region is unknown. The demand for each
    /// checked cap, including an exhausted one, is recorded for the next request for a part of its grant.
    pub(crate) fn check_caps(
        &mut self,
        service: &ServiceId,
        span: Millis,
        now: Time,
    ) -> Result<SlotLimit, Option<CapId>> {
        let region = self.plan.region.clone().ok_or(None)?;
        let total = CapId::Region(region.clone());
        let target = CapId::Service(service.clone(), region);
        let limit = SlotLimit {
            region: self.spendable(&total, span, now),
            service: self.spendable(&target, span, now),
            backend: u64::MAX,
        };
        for (id, max) in [(total, limit.region), (target, limit.service)] {
            let used = self.slots.used(&id);
            self.record_want(&id, used + 1);
            if max <= used {
                return Err(Some(id));
            }
        }
        Ok(limit)
    }

    fn record_want(&mut self, id: &CapId, want: u64) {
        let it = self.usage.entry(id.clone()).or_default();
        it.want = it.want.max(want);
    }

    /// Acquires a slot under the caps of the region and the service.
    pub(crate) fn acquire(
        &mut self,
        attempt: AttemptId,
        service: &ServiceId,
        backend: &BackendId,
        limit: SlotLimit,
    ) -> Result<(), Rejection> {
        let region = self.plan.region.clone();
        let region = region.expect("a slot limit exists only if the region is known");
        self.slots.acquire(attempt, service, &region, backend, limit)
    }

    /// Releases a slot; returns false if the attempt held none.
    pub(crate) fn release(&mut self, attempt: AttemptId) -> bool {
        self.slots.release(attempt).is_ok()
    }

    /// Charges bytes that this VM sends to another region to the link. Returns `None` within one region
    /// and if the bundle has no link to the other one.
    pub(crate) fn charge(
        &mut self,
        to: &RegionId,
        bytes: Bytes,
        now: Time,
    ) -> Result<Option<(LinkId, Charge)>, Rejection> {
        if self.plan.region.as_ref() == Some(to) {
            return Ok(None);
        }
        let Some(link) = self.plan.links.get(to).cloned() else {
            return Ok(None);
        };
        let id = CapId::Link(link.clone());
        let share = self.spendable(&id, Millis::ZERO, now);
        let meter = self.meters.entry(link.clone()).or_default();
        let used = meter.used(now).0;
        let charged = meter.charge(bytes, share, now);
        self.record_want(&id, used.saturating_add(bytes.0));
        Ok(Some((link, charged?)))
    }

    /// Records bytes that are sent to another region without regard to the cap as a debt of the link.
    pub(crate) fn add_debt(&mut self, to: &RegionId, bytes: Bytes) {
        if let Some(link) = self.plan.links.get(to) {
            self.meters.entry(link.clone()).or_default().add_debt(bytes);
        }
    }

    /// Corrects a charge to the bytes actually sent.
    pub(crate) fn settle(&mut self, (link, charge): (LinkId, Charge), actual: Bytes) {
        if let Some(meter) = self.meters.get_mut(&link) {
            meter.settle(charge, actual);
        }
    }

    /// The free share of the amount of its region's cap that this VM may use.
    pub(crate) fn free_share(&self, now: Time) -> Permille {
        let Some(region) = self.region() else {
            return Permille::ZERO;
        };
        let id = CapId::Region(region.clone());
        let max = self.spendable(&id, Millis::ZERO, now);
        let used = self.slots.used(&id).min(max);
        permille(max - used, max)
    }

    /// The free share of each link that starts in this region.
    pub(crate) fn free_links(&mut self, now: Time) -> Vec<(LinkId, Permille)> {
        let mut free = Vec::new();
        let links: Vec<LinkId> = self.meters.keys().cloned().collect();
        for link in links {
            let max = self.spendable(&CapId::Link(link.clone()), Millis::ZERO, now);
            let used = self.meters.get_mut(&link).map_or(0, |it| it.used(now).0).min(max);
            free.push((link, permille(max - used, max)));
        }
        free
    }
}

/// The ratio of `part` to `whole`, or zero if `whole` is zero.
fn permille(part: u64, whole: u64) -> Permille {
    Permille((part * 1_000).checked_div(whole).unwrap_or(0) as u32)
}
