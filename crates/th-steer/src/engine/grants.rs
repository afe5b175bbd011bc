//! Leased grants of this data centre, and the parts of them that its VMs request.

use std::collections::BTreeMap;

use th_protocol::{Millis, Time};

use super::capacity::Capacity;
use crate::limit::{CapId, Need, PartAnswer, PartRequest, StoreAction};

impl Capacity {
    /// The need of the data centre, as known to this VM, for each cap with a leasable amount.
    fn needs(&mut self, now: Time) -> BTreeMap<CapId, Need> {
        let mut needs = BTreeMap::new();
        for id in self.leased_caps() {
            let Some(cap) = self.plan.caps.get(&id) else {
                continue;
            };
            let it = self.usage.entry(id.clone()).or_default();
            let outstanding = it.splitter.outstanding(now);
            let floor = cap.floors.get(&self.zone).copied().unwrap_or(0);
            let want = it.want.saturating_sub(floor).max(outstanding);
            needs.insert(id, Need { total: cap.leasable, want, outstanding });
        }
        needs
    }

    /// The caps with a leasable amount that apply to this data centre.
    fn leased_caps(&self) -> Vec<CapId> {
        let mut ids = Vec::new();
        for (id, cap) in self.plan.caps.iter() {
            if 0 < cap.leasable && self.is_relevant(id) {
                ids.push(id.clone());
            }
        }
        ids
    }

    /// Whether a cap applies to this data centre.
    fn is_relevant(&self, id: &CapId) -> bool {
        match id {
            CapId::Region(it) | CapId::Service(_, it) => self.region() == Some(it),
            CapId::Link(link) => self.plan.links.values().any(|it| it == link),
        }
    }

    /// Returns the grant calls that are due. Only the data centre's lease holder makes them.
    pub(crate) fn tick_holder(&mut self, now: Time) -> Vec<StoreAction> {
        let needs = self.needs(now);
        if needs.is_empty() {
            return Vec::new();
        }
        self.holder.on_tick(&needs, now)
    }

    /// Returns the requests for parts of grants that are due.
    pub(crate) fn due_part_requests(&mut self, period: Millis, now: Time) -> Vec<PartRequest> {
        let mut requests = Vec::new();
        for id in self.leased_caps() {
            let floor = self.floor(&id, now);
            let used = self.slots.used(&id);
            let it = self.usage.entry(id.clone()).or_default();
            if it.last_request.is_some_and(|at| now < at.after(period)) {
                continue;
            }
            it.last_request = Some(now);
            let want = it.want.max(used).saturating_sub(floor);
            it.want = used;
            if 0 < want {
                requests.push(PartRequest { vm: self.vm.clone(), cap: id, want });
            }
        }
        requests
    }

    /// Answers a VM of the data centre that requests a part of a grant.
    pub(crate) fn on_part_request(&mut self, request: &PartRequest, now: Time) -> PartAnswer {
        let (total, expiry) = self.holder.spendable(&request.cap, now);
        let it = self.usage.entry(request.cap.clone()).or_default();
        it.want = it.want.max(request.want);
        it.splitter.on_request(request, total, expiry, now, self.drift)
    }

    /// Applies a part of a grant that was requested at `requested`.
    pub(crate) fn on_part(&mut self, answer: &PartAnswer, requested: Time) {
        let it = self.usage.entry(answer.cap.clone()).or_default();
        it.share.on_part(answer.part(requested));
    }
}
