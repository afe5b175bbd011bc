//! Whether callers that look-ups direct use routes with home regions.
//!
//! Handles hosts of which few requests use such routes. A look-up does not include the path, so the home regions bind all
//! look-ups of a host or none. How large a part of the host's requests has homes does not tell: it is small where others are
//! many. Requests of callers that make no look-ups, such as checks that are sent to every VM, do not tell either. So callers
//! are recognised by their addresses.

use std::{collections::BTreeMap, net::IpAddr};

use th_protocol::{Millis, Time};

use super::super::dispatcher::Dispatcher;

/// Time for which a caller is remembered after a request with homes; callers make several look-ups in it.
const CALLER_TIME: Millis = Millis(60_000);
/// Maximum number of callers that are remembered for a host.
const MAX_CALLERS: usize = 4_096;
/// Time for which look-ups of a host stay bound after the last one of such a caller.
const BOUND_TIME: Millis = Millis(600_000);

/// The use of a host's routes with home regions.
#[derive(Debug, Default)]
pub(crate) struct HomeUse {
    /// Callers of such routes, and the time of their last request.
    callers: BTreeMap<IpAddr, Time>,
    /// Until when look-ups are bound.
    bound_until: Option<Time>,
}

impl HomeUse {
    fn tick(&mut self, now: Time) {
        self.callers.retain(|_, last| now < last.after(CALLER_TIME));
        self.bound_until = self.bound_until.filter(|it| now < *it);
    }

    fn is_idle(&self) -> bool {
        self.callers.is_empty() && self.bound_until.is_none()
    }
}

impl Dispatcher {
    /// Handles a caller's request on a route with home regions.
    pub fn on_home_request(&mut self, host: &str, caller: IpAddr, now: Time) {
        let home_use = self.home_use.entry(host.to_owned()).or_default();
        if home_use.callers.len() < MAX_CALLERS || home_use.callers.contains_key(&caller) {
            home_use.callers.insert(caller, now);
        }
    }

    /// Handles a caller's look-up of a host, before it is answered.
    pub fn on_lookup(&mut self, host: &str, caller: IpAddr, now: Time) {
        let Some(home_use) = self.home_use.get_mut(host) else {
            return;
        };
        if home_use.callers.contains_key(&caller) {
            home_use.bound_until = Some(now.after(BOUND_TIME));
        }
    }

    /// Whether callers that make look-ups of a host use its routes with home regions.
    pub(crate) fn uses_homes(&self, host: &str) -> bool {
        self.home_use.get(host).is_some_and(|it| it.bound_until.is_some())
    }

    /// Forgets callers and hosts that have not used such routes for long.
    pub(crate) fn update_home_use(&mut self, now: Time) {
        for home_use in self.home_use.values_mut() {
            home_use.tick(now);
        }
        self.home_use.retain(|_, it| !it.is_idle());
    }
}
