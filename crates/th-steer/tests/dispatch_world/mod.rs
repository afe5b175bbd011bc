//! Test fixture: a dispatcher with backend servers of one service in several data centres.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod fleet;

use std::{collections::BTreeMap, sync::Arc};

use th_protocol::{BackendId, Millis, ServiceId, Slots, Time, Version, VmId, ZoneId};
use th_steer::dispatch::{
    Attempt, AttemptOutcome, BackendRecord, CallerLimits, DispatchSettings, Dispatcher,
    EntryRecord, Job, Placement, Route, RouteTable, Serving, Topology, WeightedService,
};

pub(crate) const START: Time = Time(100_000);
pub(crate) const COLD_RATE: f64 = 4.0;

pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// Two data centres in the north, one in the south.
pub(crate) fn topology() -> Topology {
    let mut zones = BTreeMap::new();
    for (zone, region) in [("north-a", "north"), ("north-b", "north"), ("south-a", "south")] {
        zones.insert(id(zone), id(region));
    }
    Topology { zones }
}

pub(crate) fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/look/".to_owned(),
        idempotent: true,
        timeout: Millis(1_500),
        objective: Millis(600),
        rank: 1,
        services: vec![WeightedService { service: id("desk"), weight: 1.0 }],
        attempts: 2,
        sticky: true,
        home_regions: Default::default(),
        public: false,
    }
}

pub(crate) fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    let mut cold = BTreeMap::new();
    for route in &routes {
        for share in &route.services {
            cold.insert(share.service.clone(), COLD_RATE);
        }
    }
    RouteTable::new(Version(version), routes, cold, CallerLimits::default())
}

pub(crate) fn backend(name: &str, zone: &str) -> BackendRecord {
    BackendRecord {
        id: id(name),
        service: id("desk"),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: id(zone),
        slots: Slots(2),
        serving: Serving::Ready,
        started: Some(1),
        cold: Millis::ZERO,
    }
}

pub(crate) fn entry(name: &str, zone: &str, port: u16) -> EntryRecord {
    let (callers, ready) = (([127, 0, 0, 1], port).into(), ([127, 0, 0, 2], port).into());
    EntryRecord { vm: id(name), zone: id(zone), callers, ready, peers: None, link: None }
}

pub(crate) struct World {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Time,
}

impl World {
    /// An entry VM in `north-a`, with servers given as name and data centre.
    pub(crate) fn new(servers: &[(&str, &str)]) -> World {
        World::with(DispatchSettings::default(), servers)
    }

    pub(crate) fn with(settings: DispatchSettings, servers: &[(&str, &str)]) -> World {
        World::within("north-a", settings, servers)
    }

    /// An entry VM in the given data centre.
    pub(crate) fn within(
        zone: &str,
        settings: DispatchSettings,
        servers: &[(&str, &str)],
    ) -> World {
        let vm: VmId = id("entry-1");
        let mut dispatcher = Dispatcher::new(settings, vm, id::<ZoneId>(zone), topology());
        dispatcher.on_entry(entry("entry-1", zone, 1));
        assert!(dispatcher.on_routes(table(1, vec![route("look")])));
        for (name, zone) in servers {
            dispatcher.on_backend(backend(name, zone), START);
        }
        World { dispatcher, now: START }
    }

    pub(crate) fn job(&self, object: u64) -> Job {
        self.job_of(route("look"), object)
    }

    pub(crate) fn job_of(&self, route: Route, object: u64) -> Job {
        let service: ServiceId = route.services[0].service.clone();
        let deadline = self.now.after(route.timeout);
        let route = Arc::new(route);
        Job {
            route,
            service,
            object: Some(object),
            arrived: self.now,
            deadline,
            start_by: None,
            tried: Vec::new(),
            organisation: None,
        }
    }

    /// Places a new request.
    pub(crate) fn place(&mut self, job: &Job) -> (Placement, Option<u64>) {
        self.dispatcher.on_request(job, self.now);
        self.dispatcher.place(job.clone(), self.now)
    }

    /// Places a new request, which must get a slot.
    pub(crate) fn send(&mut self, job: &Job) -> Attempt {
        match self.place(job).0 {
            Placement::Send { attempt, .. } => attempt,
            other => panic!("not sent: {other:?}"),
        }
    }

    /// Advances the time by `after` and ends an attempt.
    pub(crate) fn end(
        &mut self,
        job: &Job,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        after: Millis,
    ) {
        self.now = self.now.after(after);
        self.dispatcher.on_attempt_end(job, attempt, outcome, self.now);
    }

    /// Places a request and completes it after `work`; returns its server.
    pub(crate) fn serve(&mut self, object: u64, work: Millis) -> BackendId {
        let job = self.job(object);
        let attempt = self.send(&job);
        self.end(&job, &attempt, AttemptOutcome::Answered, work);
        attempt.backend
    }
}
