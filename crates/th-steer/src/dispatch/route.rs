//! Routes: which service runs a request, and within which bounds.

use std::{collections::BTreeMap, collections::BTreeSet, sync::Arc};

use th_protocol::{Bytes, Millis, RegionId, ServiceId, Version};

/// A service of a route, and its part of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// What holds for the requests of one host below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers ask for.
    pub host: String,
    /// The path that the requests begin with.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// Service-level objective of the latency.
    pub objective: Millis,
    /// Rank among waiting requests; 0 is served first.
    pub rank: u32,
    /// The services that run the requests.
    pub services: Vec<WeightedService>,
    /// Most backend servers that one request is sent to.
    pub attempts: u32,
    /// Whether a backend server is faster with objects that it lately handled.
    pub sticky: bool,
    /// The only regions in which the requests may run; empty for all.
    pub home_regions: BTreeSet<RegionId>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head: Bytes,
    /// Largest request body.
    pub body: Bytes,
    /// Longest time to send a head.
    pub send: Millis,
    /// Longest time that a connection may stay idle.
    pub idle: Millis,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head: Bytes(16 << 10),
            body: Bytes(64 << 20),
            send: Millis(3_000),
            idle: Millis(15_000),
        }
    }
}

/// The routes in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    version: Version,
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Cold requests that a starting backend server of a service takes in a second.
    cold: BTreeMap<ServiceId, f64>,
    limits: CallerLimits,
}

impl RouteTable {
    /// A table of that version.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        cold: BTreeMap<ServiceId, f64>,
        limits: CallerLimits,
    ) -> RouteTable {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        RouteTable { version, hosts, cold, limits }
    }

    /// The version of the configuration that the routes come from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// The routes of a host.
    pub fn of_host(&self, host: &str) -> &[Arc<Route>] {
        self.hosts.get(host).map_or(&[], Vec::as_slice)
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten().map(Arc::as_ref)
    }

    /// Requests a second that a cold backend server of the service takes; `None` for an unknown service.
    pub fn cold_rate(&self, service: &ServiceId) -> Option<f64> {
        self.cold.get(service).copied()
    }
}
