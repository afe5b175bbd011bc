//! One VM's part of a rate of requests that all entry VMs share without talking.
//!
//! Handles servers that accept only a few requests a second from a fleet of any size. Each VM leaves the same time
//! between its requests. Unused time does not add up, so in any time all VMs together send what the rate allows, and at
//! most one request more each; where that would be too many, most of the rate goes to a few VMs.

use th_protocol::Time;

/// Fraction of a rate that the VMs without a full part share, so that they notice when the limit has ended.
const PROBE_SHARE: f64 = 0.25;

/// Returns the part in a rate of the VM with this rank among those that share it. At most `burst` VMs have a full part,
/// those with the lowest ranks.
pub fn rate_share(rate: f64, burst: f64, rank: usize, vms: usize) -> f64 {
    let vms = vms.max(1);
    let users = (burst as usize).clamp(1, vms);
    let even = rate / vms as f64;
    if users == vms {
        even
    } else if rank < users {
        rate * (1.0 - PROBE_SHARE) / users as f64
    } else {
        even.min(rate * PROBE_SHARE / (vms - users) as f64)
    }
}

/// Spaces the requests of this VM to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Milliseconds from a request to the next; infinite if this VM sends none.
    interval: f64,
    /// Time from which the next request may be sent, in milliseconds.
    next: f64,
}

fn interval(share: f64) -> f64 {
    1_000.0 / share.max(0.0)
}

impl Pace {
    /// Starts at a rate of `share` requests a second. The first request may be sent after the fraction `delay` of the
    /// time between two requests; VMs that learn of a limit together should have different ones.
    pub fn new(share: f64, delay: f64, now: Time) -> Pace {
        let interval = interval(share);
        let wait = if interval.is_finite() { interval * delay } else { interval };
        Pace { interval, next: now.0 as f64 + wait }
    }

    /// Changes the rate.
    pub(crate) fn set_share(&mut self, share: f64, now: Time) {
        let changed = interval(share);
        if changed == self.interval {
            return;
        }
        self.interval = changed;
        self.next = self.next.min(now.0 as f64 + changed);
    }

    /// Milliseconds until a request may be sent that has `ahead` others before it.
    pub fn wait(&self, ahead: u32, now: Time) -> f64 {
        let wait = (self.next - now.0 as f64).max(0.0);
        // Zero times infinity is not a number.
        if ahead == 0 { wait } else { wait + self.interval * f64::from(ahead) }
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Time) {
        self.next = self.next.max(now.0 as f64) + self.interval;
    }
}
