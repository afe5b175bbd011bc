//! Validation rules for a parsed bundle.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    Millis, Permille, RegionId, Slots, ZoneId,
    bundle::{
        fault::Fault,
        sign::public_key,
        spec::{Bundle, Link, Region, Service, Shift, Slo},
    },
};

/// Longest deadline of an operation.
pub(crate) const MAX_DEADLINE: Millis = Millis(600_000);

/// Returns all violations of the rules in `bundle`.
pub(crate) fn find_faults(bundle: &Bundle) -> Vec<Fault> {
    let mut checker = RuleChecker { bundle, faults: Vec::new() };
    checker.check_version();
    checker.check_regions();
    checker.check_zones();
    checker.check_links();
    checker.check_services();
    checker.check_addresses();
    checker.check_classes();
    checker.check_operators();
    checker.faults
}

struct RuleChecker<'a> {
    bundle: &'a Bundle,
    faults: Vec<Fault>,
}

impl<'a> RuleChecker<'a> {
    fn add_fault(&mut self, path: String, cause: impl Into<String>, help: &str) {
        self.faults.push(Fault::new(path, cause, help));
    }

    fn check_nonzero(&mut self, path: String, raw: u64) {
        if raw == 0 {
            self.add_fault(path, "must not be zero", "give a whole number from 1");
        }
    }

    fn check_permille(&mut self, path: String, share: Permille) {
        if Permille::WHOLE < share {
            self.add_fault(path, format!("{share} is more than 1000 permille"), "give 0 to 1000");
        }
    }

    fn check_region(&mut self, path: String, region: &RegionId) {
        if !self.bundle.regions.contains_key(region) {
            let cause = format!("region {region} is not in the bundle");
            self.add_fault(path, cause, "add it to `regions`, or name one that is there");
        }
    }

    fn check_floors(&mut self, path: &str, region: &RegionId, floors: &BTreeMap<ZoneId, Permille>) {
        let mut sum = 0u64;
        for (id, share) in floors {
            sum = sum.saturating_add(u64::from(share.0));
            let path = format!("{path}.{id}");
            let Some(zone) = self.bundle.zones.get(id) else {
                let cause = format!("zone {id} is not in the bundle");
                self.add_fault(path, cause, "add it to `zones`, or name one that is there");
                continue;
            };
            // An unknown region is reported as a separate fault.
            if zone.region != *region && self.bundle.regions.contains_key(region) {
                let cause = format!("zone {id} lies in region {}, not {region}", zone.region);
                self.add_fault(path, cause, &format!("only zones of {region} have a floor here"));
            }
        }
        if u64::from(Permille::WHOLE.0) < sum {
            let cause = format!("the floors add up to {sum} permille, more than the cap");
            self.add_fault(path.to_owned(), cause, "lower them to at most 1000 in all");
        }
    }

    fn check_version(&mut self) {
        self.check_nonzero("version".into(), self.bundle.version.0);
    }

    fn check_regions(&mut self) {
        if self.bundle.regions.is_empty() {
            self.add_fault("regions".into(), "there is no region", "add at least one");
        }
        for (id, Region { cap, floors }) in &self.bundle.regions {
            let path = format!("regions.{id}");
            self.check_nonzero(format!("{path}.cap"), cap.0.into());
            self.check_floors(&format!("{path}.floors"), id, floors);
        }
    }

    fn check_zones(&mut self) {
        if self.bundle.zones.is_empty() {
            self.add_fault("zones".into(), "there is no zone", "add at least one");
        }
        for (id, zone) in &self.bundle.zones {
            self.check_region(format!("zones.{id}.region"), &zone.region);
            self.check_nonzero(format!("zones.{id}.shards"), zone.shards.into());
        }
    }

    fn check_links(&mut self) {
        let mut seen = BTreeMap::new();
        for (id, link) in &self.bundle.links {
            let Link { from, to, cap, delay: _, floors } = link;
            let path = format!("links.{id}");
            self.check_region(format!("{path}.from"), from);
            self.check_region(format!("{path}.to"), to);
            self.check_nonzero(format!("{path}.cap"), cap.0.into());
            self.check_floors(&format!("{path}.floors"), from, floors);
            if from == to {
                let cause = format!("the link leads from {from} to itself");
                self.add_fault(format!("{path}.to"), cause, "name two different regions");
            }
            if let Some(other) = seen.insert((from, to), id) {
                let cause = format!("link {other} already leads from {from} to {to}");
                self.add_fault(path, cause, "keep one link for each direction");
            }
        }
    }

    fn check_services(&mut self) {
        if self.bundle.services.is_empty() {
            self.add_fault("services".into(), "there is no service", "add at least one");
        }
        for (id, service) in &self.bundle.services {
            let path = format!("services.{id}");
            self.check_targets(&path, service);
            self.check_operations(&path, service);
            self.check_backends(&path, service);
            self.check_shift(&path, &service.shift);
            self.check_slo(&path, &service.slo);
            if !service.customers.is_empty() && service.customers.values().all(|it| *it == 0) {
                let path = format!("{path}.customers");
                self.add_fault(path, "all weights are zero", "give at least one customer a weight");
            }
        }
    }

    fn check_targets(&mut self, path: &str, service: &Service) {
        let path = format!("{path}.regions");
        if service.regions.is_empty() {
            self.add_fault(path, "the service has no region", "add at least one");
            return;
        }
        if service.regions.values().all(|it| it.weight == 0) {
            let help = "give at least one region a weight over zero";
            self.add_fault(path.clone(), "all weights are zero", help);
        }
        for (id, target) in &service.regions {
            self.check_region(format!("{path}.{id}"), id);
            self.check_nonzero(format!("{path}.{id}.cap"), target.cap.0.into());
            let region_cap = self.bundle.regions.get(id).map_or(Slots(u32::MAX), |it| it.cap);
            if region_cap != Slots::ZERO && region_cap < target.cap {
                let cause = format!("{} is over the region's cap of {region_cap}", target.cap);
                self.add_fault(
                    format!("{path}.{id}.cap"),
                    cause,
                    "lower it, or raise the region's cap",
                );
            }
        }
    }

    fn check_operations(&mut self, path: &str, service: &Service) {
        for (id, operation) in &service.operations {
            let path = format!("{path}.operations.{id}.deadline");
            self.check_nonzero(path.clone(), operation.deadline.0);
            if MAX_DEADLINE < operation.deadline {
                let cause = format!("{} is over {MAX_DEADLINE}", operation.deadline);
                self.add_fault(path, cause, "give at most 600000 (10 minutes)");
            }
        }
    }

    fn check_backends(&mut self, path: &str, service: &Service) {
        let path = format!("{path}.backends");
        if service.backends.is_empty() {
            self.add_fault(path.clone(), "the service has no backend server", "add at least one");
        }
        for (id, backend) in &service.backends {
            let path = format!("{path}.{id}");
            if !self.bundle.zones.contains_key(&backend.zone) {
                let cause = format!("zone {} is not in the bundle", backend.zone);
                let help = "add it to `zones`, or name one that is there";
                self.add_fault(format!("{path}.zone"), cause, help);
            }
            self.check_nonzero(format!("{path}.slots"), backend.slots.0.into());
            self.check_nonzero(format!("{path}.connections"), backend.connections.0.into());
        }
    }

    fn check_addresses(&mut self) {
        let mut seen = BTreeMap::<SocketAddr, String>::new();
        for (service, it) in &self.bundle.services {
            for (id, backend) in &it.backends {
                let path = format!("services.{service}.backends.{id}.address");
                let Some(other) = seen.get(&backend.address) else {
                    seen.insert(backend.address, path);
                    continue;
                };
                let cause = format!("{} is already used at {other}", backend.address);
                self.add_fault(path, cause, "each backend server needs an address of its own");
            }
        }
    }

    fn check_shift(&mut self, path: &str, shift: &Shift) {
        self.check_nonzero(format!("{path}.shift.cap"), shift.cap.0.into());
        self.check_permille(format!("{path}.shift.cap"), shift.cap);
        self.check_nonzero(format!("{path}.shift.window"), shift.window.0);
    }

    fn check_slo(&mut self, path: &str, slo: &Slo) {
        self.check_nonzero(format!("{path}.slo.latency"), slo.latency.0);
        self.check_permille(format!("{path}.slo.objective"), slo.objective);
        self.check_permille(format!("{path}.slo.headroom"), slo.headroom);
        self.check_nonzero(format!("{path}.slo.drain"), slo.drain.0);
    }

    fn check_classes(&mut self) {
        for (id, class) in &self.bundle.classes {
            for region in class.delays.keys() {
                self.check_region(format!("classes.{id}.delays.{region}"), region);
            }
        }
        let mut unknown = BTreeSet::new();
        for (block, class) in &self.bundle.blocks {
            if self.bundle.classes.contains_key(class) || !unknown.insert(class) {
                continue;
            }
            let cause = format!("class {class} is not in the bundle");
            self.add_fault(
                format!("blocks.{block}"),
                cause,
                "add it to `classes`, or name one that is there",
            );
        }
    }

    fn check_operators(&mut self) {
        if self.bundle.operators.is_empty() {
            let help = "add the public key of at least one, see `thctl bundle keygen`";
            self.add_fault("operators".into(), "there is no operator", help);
        }
        for (id, key) in &self.bundle.operators {
            let Err(e) = public_key(key) else { continue };
            let help = "make a key with `thctl bundle keygen`";
            self.add_fault(format!("operators.{id}"), e.to_string(), help);
        }
    }
}
