//! The rules that a bundle of the right form must still keep.

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

/// Every fault of sense in `bundle`.
pub(crate) fn find_faults(bundle: &Bundle) -> Vec<Fault> {
    let mut rules = Rules { bundle, faults: Vec::new() };
    rules.version();
    rules.regions();
    rules.zones();
    rules.links();
    rules.services();
    rules.addresses();
    rules.classes();
    rules.operators();
    rules.faults
}

struct Rules<'a> {
    bundle: &'a Bundle,
    faults: Vec<Fault>,
}

impl<'a> Rules<'a> {
    fn fault(&mut self, path: String, cause: impl Into<String>, help: &str) {
        self.faults.push(Fault::new(path, cause, help));
    }

    fn not_zero(&mut self, path: String, raw: u64) {
        if raw == 0 {
            self.fault(path, "must not be zero", "give a whole number from 1");
        }
    }

    fn permille(&mut self, path: String, share: Permille) {
        if Permille::WHOLE < share {
            self.fault(path, format!("{share} is more than the whole"), "give 0 to 1000");
        }
    }

    fn known_region(&mut self, path: String, region: &RegionId) {
        if !self.bundle.regions.contains_key(region) {
            let cause = format!("region {region} is not in the bundle");
            self.fault(path, cause, "add it to `regions`, or name one that is there");
        }
    }

    fn floors(&mut self, path: &str, region: &RegionId, floors: &BTreeMap<ZoneId, Permille>) {
        let mut sum = 0u64;
        for (id, share) in floors {
            sum = sum.saturating_add(u64::from(share.0));
            let path = format!("{path}.{id}");
            let Some(zone) = self.bundle.zones.get(id) else {
                let cause = format!("zone {id} is not in the bundle");
                self.fault(path, cause, "add it to `zones`, or name one that is there");
                continue;
            };
            // An unknown region has a fault of its own.
            if zone.region != *region && self.bundle.regions.contains_key(region) {
                let cause = format!("zone {id} lies in region {}, not {region}", zone.region);
                self.fault(path, cause, &format!("only zones of {region} have a floor here"));
            }
        }
        if u64::from(Permille::WHOLE.0) < sum {
            let cause = format!("the floors add up to {sum} permille, more than the cap");
            self.fault(path.to_owned(), cause, "lower them to at most 1000 in all");
        }
    }

    fn version(&mut self) {
        self.not_zero("version".into(), self.bundle.version.0);
    }

    fn regions(&mut self) {
        if self.bundle.regions.is_empty() {
            self.fault("regions".into(), "there is no region", "add at least one");
        }
        for (id, Region { cap, floors }) in &self.bundle.regions {
            let path = format!("regions.{id}");
            self.not_zero(format!("{path}.cap"), cap.0.into());
            self.floors(&format!("{path}.floors"), id, floors);
        }
    }

    fn zones(&mut self) {
        if self.bundle.zones.is_empty() {
            self.fault("zones".into(), "there is no zone", "add at least one");
        }
        for (id, zone) in &self.bundle.zones {
            self.known_region(format!("zones.{id}.region"), &zone.region);
            self.not_zero(format!("zones.{id}.shards"), zone.shards.into());
        }
    }

    fn links(&mut self) {
        let mut seen = BTreeMap::new();
        for (id, link) in &self.bundle.links {
            let Link { from, to, cap, delay: _, floors } = link;
            let path = format!("links.{id}");
            self.known_region(format!("{path}.from"), from);
            self.known_region(format!("{path}.to"), to);
            self.not_zero(format!("{path}.cap"), cap.0.into());
            self.floors(&format!("{path}.floors"), from, floors);
            if from == to {
                let cause = format!("the link leads from {from} to itself");
                self.fault(format!("{path}.to"), cause, "name two different regions");
            }
            if let Some(other) = seen.insert((from, to), id) {
                let cause = format!("link {other} already leads from {from} to {to}");
                self.fault(path, cause, "keep one link for each direction");
            }
        }
    }

    fn services(&mut self) {
        if self.bundle.services.is_empty() {
            self.fault("services".into(), "there is no service", "add at least one");
        }
        for (id, service) in &self.bundle.services {
            let path = format!("services.{id}");
            self.targets(&path, service);
            self.operations(&path, service);
            self.backends(&path, service);
            self.shift(&path, &service.shift);
            self.slo(&path, &service.slo);
            if !service.customers.is_empty() && service.customers.values().all(|it| *it == 0) {
                let path = format!("{path}.customers");
                self.fault(path, "all weights are zero", "give at least one customer a weight");
            }
        }
    }

    fn targets(&mut self, path: &str, service: &Service) {
        let path = format!("{path}.regions");
        if service.regions.is_empty() {
            self.fault(path, "the service has no region", "add at least one");
            return;
        }
        if service.regions.values().all(|it| it.weight == 0) {
            let help = "give at least one region a weight over zero";
            self.fault(path.clone(), "all weights are zero", help);
        }
        for (id, target) in &service.regions {
            self.known_region(format!("{path}.{id}"), id);
            self.not_zero(format!("{path}.{id}.cap"), target.cap.0.into());
            let whole = self.bundle.regions.get(id).map_or(Slots(u32::MAX), |it| it.cap);
            if whole != Slots::ZERO && whole < target.cap {
                let cause = format!("{} is over the region's cap of {whole}", target.cap);
                self.fault(
                    format!("{path}.{id}.cap"),
                    cause,
                    "lower it, or raise the region's cap",
                );
            }
        }
    }

    fn operations(&mut self, path: &str, service: &Service) {
        for (id, operation) in &service.operations {
            let path = format!("{path}.operations.{id}.deadline");
            self.not_zero(path.clone(), operation.deadline.0);
            if MAX_DEADLINE < operation.deadline {
                let cause = format!("{} is over {MAX_DEADLINE}", operation.deadline);
                self.fault(path, cause, "give at most 600000 (10 minutes)");
            }
        }
    }

    fn backends(&mut self, path: &str, service: &Service) {
        let path = format!("{path}.backends");
        if service.backends.is_empty() {
            self.fault(path.clone(), "the service has no backend server", "add at least one");
        }
        for (id, backend) in &service.backends {
            let path = format!("{path}.{id}");
            if !self.bundle.zones.contains_key(&backend.zone) {
                let cause = format!("zone {} is not in the bundle", backend.zone);
                let help = "add it to `zones`, or name one that is there";
                self.fault(format!("{path}.zone"), cause, help);
            }
            self.not_zero(format!("{path}.slots"), backend.slots.0.into());
            self.not_zero(format!("{path}.connections"), backend.connections.0.into());
        }
    }

    fn addresses(&mut self) {
        let mut seen = BTreeMap::<SocketAddr, String>::new();
        for (service, it) in &self.bundle.services {
            for (id, backend) in &it.backends {
                let path = format!("services.{service}.backends.{id}.address");
                let Some(other) = seen.get(&backend.address) else {
                    seen.insert(backend.address, path);
                    continue;
                };
                let cause = format!("{} is also {other}", backend.address);
                self.fault(path, cause, "each backend server needs an address of its own");
            }
        }
    }

    fn shift(&mut self, path: &str, shift: &Shift) {
        self.not_zero(format!("{path}.shift.cap"), shift.cap.0.into());
        self.permille(format!("{path}.shift.cap"), shift.cap);
        self.not_zero(format!("{path}.shift.window"), shift.window.0);
    }

    fn slo(&mut self, path: &str, slo: &Slo) {
        self.not_zero(format!("{path}.slo.latency"), slo.latency.0);
        self.permille(format!("{path}.slo.objective"), slo.objective);
        self.permille(format!("{path}.slo.headroom"), slo.headroom);
        self.not_zero(format!("{path}.slo.drain"), slo.drain.0);
    }

    fn classes(&mut self) {
        for (id, class) in &self.bundle.classes {
            for region in class.delays.keys() {
                self.known_region(format!("classes.{id}.delays.{region}"), region);
            }
        }
        let mut unknown = BTreeSet::new();
        for (block, class) in &self.bundle.blocks {
            if self.bundle.classes.contains_key(class) || !unknown.insert(class) {
                continue;
            }
            let cause = format!("class {class} is not in the bundle");
            self.fault(
                format!("blocks.{block}"),
                cause,
                "add it to `classes`, or name one that is there",
            );
        }
    }

    fn operators(&mut self) {
        if self.bundle.operators.is_empty() {
            let help = "add the public key of at least one, see `thctl bundle keygen`";
            self.fault("operators".into(), "there is no operator", help);
        }
        for (id, key) in &self.bundle.operators {
            let Err(e) = public_key(key) else { continue };
            let help = "make a key with `thctl bundle keygen`";
            self.fault(format!("operators.{id}"), e.to_string(), help);
        }
    }
}
