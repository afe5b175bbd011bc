//! Backend servers that limit the requests that they accept from all entry VMs together.

use th_protocol::{BackendId, RequestRate, Time};

use super::{dispatcher::Dispatcher, pace::Pace, table::RowId};

/// Number of requests that may exceed a limit, as seconds at its rate: half of the 4 s over which the users count.
const BURST_S: f64 = 2.0;
/// Least rate in requests a second at which all VMs together try whether a limit has ended.
const MIN_RATE: f64 = 0.1;

/// A server's limit, and this VM's part in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limited {
    pub(crate) rate: RequestRate,
    pub(crate) pace: Pace,
}

impl Dispatcher {
    /// Applies the limit on requests that a backend server stated with an answer; `None` if it stated none. Returns
    /// whether that differs from its last answer.
    pub fn on_limit(&mut self, backend: &BackendId, limit: Option<RequestRate>, now: Time) -> bool {
        let Some(id) = self.backends.id(backend) else {
            return false;
        };
        let before = self.backends.get(id).and_then(|it| it.stated.limited);
        if before.map(|it| it.rate) == limit {
            return false;
        }
        let limited = limit.map(|rate| {
            let share = self.limit_share(id, rate);
            let pace = match before {
                Some(mut it) => {
                    it.pace.set_share(share, now);
                    it.pace
                }
                None => Pace::new(share, self.server_delay(id), now),
            };
            Limited { rate, pace }
        });
        if let Some(row) = self.backends.get_mut(id) {
            row.stated.limited = limited;
        }
        true
    }

    /// Brings this VM's parts in servers' limits up to date with the VMs and servers that there are.
    pub(crate) fn update_limits(&mut self, now: Time) {
        for (backend, rate) in self.limited() {
            let Some(id) = self.backends.id(&backend) else {
                continue;
            };
            let share = self.limit_share(id, rate);
            if let Some(limited) =
                self.backends.get_mut(id).and_then(|it| it.stated.limited.as_mut())
            {
                limited.pace.set_share(share, now);
            }
        }
    }

    /// The backend servers that limit their requests, with their limits.
    pub fn limited(&self) -> Vec<(BackendId, RequestRate)> {
        let rows = self.backends.iter();
        rows.filter_map(|it| Some((it.record.id.clone(), it.stated.limited?.rate))).collect()
    }

    /// Requests a second that this VM may send to a server with a limit.
    fn limit_share(&self, id: RowId, rate: RequestRate) -> f64 {
        let rate = rate.requests().max(MIN_RATE);
        self.server_share(id, rate, BURST_S * rate)
    }
}
