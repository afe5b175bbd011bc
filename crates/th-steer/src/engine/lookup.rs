//! Look-ups of entry VMs by callers.

use std::net::Ipv4Addr;

use th_protocol::{
    EntryAddress, Incarnation, LookupAnswer, Millis, Notice, OperationId, Reason, ServiceId, Time,
    VmId,
};

use super::{Engine, notices};
use crate::{
    explain::{Inputs, Limit, Outcome, Quantity, Rule},
    route::{RegionIx, VmIx},
    ticket::Ticket,
};

impl<A: Clone> Engine<A> {
    /// Returns the entry VMs that a caller at `source` should use.
    pub fn lookup(
        &mut self,
        service: &ServiceId,
        operation: &OperationId,
        source: Ipv4Addr,
        now: Time,
    ) -> Result<LookupAnswer, Notice> {
        let Some(bundle) = self.bundle.clone() else {
            return Err(notices::refused(Reason::NoBundle, self.settings.spread.poll));
        };
        let spec = bundle.services.get(service).ok_or(notices::not_run(Reason::NoService))?;
        let operation_spec = spec.operations.get(operation);
        let operation_spec = operation_spec.ok_or(notices::not_run(Reason::NoOperation))?;
        let routing =
            self.routing.as_ref().expect("routing tables exist whenever a bundle is in force");
        let row = routing.map().service_ix(service).ok_or(notices::not_run(Reason::NoService))?;
        let answer = routing.lookup(row, source, now);
        if answer.diverted {
            // No request follows, but the planner must count the demand.
            if let Some(routing) = &mut self.routing {
                routing.count_request(service, source);
            }
            return Err(self.reject_shift_capped(service, now));
        }
        let mut entries = Vec::new();
        for vm in answer.vms.as_slice() {
            if self.is_in_region(answer.region, *vm) {
                entries.push(self.entry_address(*vm));
            }
        }
        if entries.is_empty() && !self.stopping {
            // The caller has reached this VM, which can forward its requests.
            entries.push(EntryAddress {
                vm: self.me.vm.clone(),
                zone: self.me.zone.clone(),
                address: self.me.callers,
            });
        }
        let Some(first) = entries.first() else {
            return Err(notices::refused(Reason::NoBackend, self.settings.member.period));
        };
        let ticket = match operation_spec.idempotent {
            true => None,
            false => Some(self.ticket_for(&first.vm.clone(), service, operation, now)),
        };
        self.explain_lookup(service, entries.len(), now);
        Ok(LookupAnswer {
            service: service.clone(),
            operation: operation.clone(),
            entries,
            ttl: answer.ttl,
            ticket,
            version: bundle.version,
        })
    }

    /// The longest time for which a caller may cache an answer.
    pub fn longest_ttl(&self) -> Millis {
        self.settings.route.ttl
    }

    fn entry_address(&self, vm: VmIx) -> EntryAddress {
        let routing = self.routing.as_ref().expect("the VM comes from the routing tables");
        let (fleet, map) = (routing.fleet(), routing.map());
        EntryAddress {
            vm: fleet.id(vm).clone(),
            zone: map.zones()[fleet.zone(vm).row()].clone(),
            address: fleet.address(vm),
        }
    }

    /// Issues a sealed ticket that `vm` may dispatch under.
    pub(crate) fn ticket_for(
        &mut self,
        vm: &VmId,
        service: &ServiceId,
        operation: &OperationId,
        now: Time,
    ) -> String {
        let (incarnation, clock) = self.estimate_clock(vm, now);
        let owner = (vm.clone(), incarnation);
        let target = (service.clone(), operation.clone());
        let lifetime = self.settings.tickets.lifetime;
        self.keys.seal(&Ticket::issue(owner, target, clock, lifetime, &mut self.rng))
    }

    /// Returns the incarnation of a VM and an estimate of its clock.
    fn estimate_clock(&self, vm: &VmId, now: Time) -> (Incarnation, Time) {
        let Some(record) = self.members.record(vm) else {
            return (self.me.incarnation, now);
        };
        let wall = self.me.origin.0.saturating_add(now.0);
        (record.incarnation, Time(wall.saturating_sub(record.origin.0)))
    }

    /// Rejects a look-up whose block's region has no usable entry VM while the cap on shifts does not yet
    /// let its traffic move to another region.
    fn reject_shift_capped(&mut self, service: &ServiceId, now: Time) -> Notice {
        let routing =
            self.routing.as_mut().expect("the look-up was answered from the routing tables");
        let retry_after = routing.next_shift(service, now).max(self.settings.refresh_period);
        let decision = (Limit::ShiftCap, Rule::Divert, Outcome::Refused);
        self.record(service, None, Inputs::default(), decision, Some(Reason::ShiftCap), now);
        notices::refused(Reason::ShiftCap, retry_after)
    }

    /// Whether a VM is in the chosen region. A VM in another region would receive traffic that the cap on
    /// shifts does not allow.
    fn is_in_region(&self, region: Option<RegionIx>, vm: VmIx) -> bool {
        let Some(routing) = &self.routing else {
            return false;
        };
        let found = routing.map().region_of(routing.fleet().zone(vm));
        region.is_none_or(|it| it == found)
    }

    fn explain_lookup(&mut self, service: &ServiceId, usable: usize, now: Time) {
        if !self.journal.should_record(Outcome::Accepted) {
            return;
        }
        let mut inputs = Inputs::default();
        inputs.push(Quantity::Usable, usable as f64, self.settings.refresh_period);
        self.record(
            service,
            None,
            inputs,
            (Limit::None, Rule::Nearest, Outcome::Accepted),
            None,
            now,
        );
    }
}
