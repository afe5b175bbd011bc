//! Routes: which service runs a request, and within which limits.

use std::{collections::BTreeMap, collections::BTreeSet, sync::Arc};

use th_protocol::{Bytes, Millis, OrganisationId, RegionId, ServiceId, Version};

use crate::{organisation::OrganisationTable, quota::Quota};

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share of the requests, relative to the other services of the route.
    pub weight: f64,
}

/// Rules for the requests of one host whose paths begin with one prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host of the requests.
    pub host: String,
    /// Prefix of the request paths.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Longest time until a caller gets an answer.
    pub timeout: Millis,
    /// Latency objective (SLO).
    pub objective: Millis,
    /// Rank among waiting requests; 0 is served first.
    pub rank: u32,
    /// The services that run the requests.
    pub services: Vec<WeightedService>,
    /// Maximum number of backend servers to which one request is sent.
    pub attempts: u32,
    /// Whether backend servers are faster with objects that they handled recently, so that requests for an object are
    /// sent to the same servers.
    pub sticky: bool,
    /// The only regions in which requests may run; empty for all.
    pub home_regions: BTreeSet<RegionId>,
    /// Whether requests need no key where the configuration has organisations.
    pub public: bool,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head: Bytes,
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Longest time that a caller may take to send a request head.
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
    /// Requests a second that a cold backend server of each service accepts.
    cold: BTreeMap<ServiceId, f64>,
    limits: CallerLimits,
    organisations: Option<OrganisationTable>,
}

impl RouteTable {
    /// Creates the table of a configuration version.
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
        RouteTable { version, hosts, cold, limits, organisations: None }
    }

    /// Adds the organisations on whose behalf callers make requests.
    pub fn with_organisations(self, organisations: OrganisationTable) -> RouteTable {
        RouteTable { organisations: Some(organisations), ..self }
    }

    /// The organisations; `None` if callers need no keys.
    pub fn organisations(&self) -> Option<&OrganisationTable> {
        self.organisations.as_ref()
    }

    /// The quotas of those organisations that have one.
    pub fn quotas(&self) -> BTreeMap<OrganisationId, Quota> {
        self.organisations.as_ref().map_or_else(BTreeMap::new, OrganisationTable::quotas)
    }

    /// The configuration version of the routes.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits on the requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route with the longest prefix that matches the path.
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

    /// Requests a second that a cold backend server of the service accepts; `None` for an unknown service.
    pub fn cold_rate(&self, service: &ServiceId) -> Option<f64> {
        self.cold.get(service).copied()
    }
}
