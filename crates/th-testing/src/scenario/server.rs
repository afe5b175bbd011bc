//! A simulated backend server with slots, a service time and a load report.

use std::{cell::RefCell, rc::Rc};

use th_protocol::{LoadReport, Slots, Time};
use tokio::sync::Semaphore;

use super::{
    script::ReportKind,
    simulation::{Sim, WARM_UP_MS},
};
use crate::Run;

/// Factor on the service time at a cold server.
const COLD_FACTOR: f64 = 4.0;
/// How long a server stays cold after its start, in milliseconds.
pub(crate) const COLD_SPAN_MS: u64 = 5_000;
/// Time after a server began to leave from which it must receive no new requests, in milliseconds.
const NEW_WORK_LIMIT_MS: u64 = 5_000;

/// The state of one backend server.
pub(crate) struct Server {
    pub(crate) service: usize,
    slots: Rc<Semaphore>,
    pub(crate) busy: u32,
    /// The time until which the server is cold.
    pub(crate) cold_until: u64,
    pub(crate) shed: bool,
    /// When it began to leave, and whether it reports that itself.
    pub(crate) leaving: Option<(u64, bool)>,
    pub(crate) report: ReportKind,
    /// The last load report.
    last_report: LoadReport,
}

impl Server {
    pub(crate) fn new(service: usize, slots: u32) -> Server {
        Server {
            service,
            slots: Rc::new(Semaphore::new(slots as usize)),
            busy: 0,
            cold_until: 0,
            shed: false,
            leaving: None,
            report: ReportKind::True,
            last_report: LoadReport { busy: Slots(0), slots: Slots(slots), leaving: false },
        }
    }

    /// Returns what the health and load endpoints answer, or `None` if they do not answer.
    pub(crate) fn report(&mut self) -> Option<LoadReport> {
        match self.report {
            ReportKind::True => self.last_report.busy = Slots(self.busy),
            ReportKind::Lying => self.last_report.busy = Slots(0),
            ReportKind::Stale => {}
            ReportKind::Off => return None,
        }
        self.last_report.leaving = self.leaving.is_some_and(|it| it.1);
        Some(self.last_report.clone())
    }
}

/// A request as it reaches a backend server.
#[derive(Debug, Clone)]
pub(crate) struct ServerRequest {
    pub(crate) request: String,
    pub(crate) operation: String,
    /// The region of the caller.
    pub(crate) caller_region: usize,
    pub(crate) time_left: u64,
}

/// The answer of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct ServerAnswer {
    /// The name of the request that ran, or `None` if it was shed.
    pub(crate) request: Option<String>,
    pub(crate) leaving: bool,
}

/// A slot in use, released when dropped.
struct BusySlot {
    sim: Sim,
    host: usize,
    number: Option<usize>,
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        let Ok(mut state) = self.sim.state.try_borrow_mut() else {
            return;
        };
        let region = state.hosts[self.host].region;
        let Some(server) = state.servers.get_mut(&self.host) else {
            return;
        };
        server.busy -= 1;
        let service = server.service;
        state.stats.on_run_end((service, region));
        if let Some(number) = self.number {
            state.stats.run_log.end(number, Time(self.sim.now()));
        }
    }
}

/// Runs a request in a slot. A request that misses its deadline gets no answer.
pub(crate) async fn run(sim: Sim, host: usize, request: ServerRequest) -> ServerAnswer {
    let began = sim.now();
    let (slots, leaving, shed) = {
        let state = sim.state.borrow();
        let server = &state.servers[&host];
        (Rc::clone(&server.slots), server.leaving, server.shed)
    };
    let reports_leaving = leaving.is_some_and(|it| it.1);
    if shed {
        return ServerAnswer { request: None, leaving: reports_leaving };
    }
    if slots.available_permits() == 0 {
        sim.state.borrow_mut().stats.run_log.add_overrun();
    }
    if leaving.is_some_and(|(at, _)| at + NEW_WORK_LIMIT_MS < began) {
        sim.state.borrow_mut().stats.add_violation("new work to a leaving server", began);
    }
    let _slot = slots.acquire().await.expect("the semaphore is never closed");
    let (number, mut slot_in_use) = record_run(&sim, host, &request);
    let service_time = service_time(&sim, host);
    let time_left = (began + request.time_left).saturating_sub(sim.now());
    sim.sleep(service_time.min(time_left)).await;
    if time_left < service_time {
        drop(slot_in_use);
        sim.state.borrow_mut().stats.missed_deadlines += 1;
        return futures_util::future::pending().await;
    }
    slot_in_use.number = Some(number);
    drop(slot_in_use);
    ServerAnswer { request: Some(request.request), leaving: reports_leaving }
}

fn record_run(sim: &Sim, host: usize, request: &ServerRequest) -> (usize, BusySlot) {
    let mut state = sim.state.borrow_mut();
    let (name, region) = (state.hosts[host].name.clone(), state.hosts[host].region);
    let server = state.servers.get_mut(&host).expect("the host is a backend server");
    server.busy += 1;
    let service = server.service;
    let second = sim.now().saturating_sub(WARM_UP_MS) / 1_000;
    state.stats.on_run_start((service, region), request.caller_region, second);
    let number = state.stats.run_log.begin(Run {
        request: request.request.clone(),
        operation: request.operation.clone(),
        server: name,
        began: Time(sim.now()),
        ended: None,
    });
    (number, BusySlot { sim: Rc::clone(sim), host, number: None })
}

/// Draws a log-normal service time with the median and the 99th percentile of the scenario.
fn service_time(sim: &Sim, host: usize) -> u64 {
    let (a, b): (f64, f64) = (1.0 - sim.random(), sim.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let state = RefCell::borrow(&sim.state);
    let server = &state.servers[&host];
    let spec = &sim.script.services[server.service];
    let cold = if sim.now() < server.cold_until { COLD_FACTOR } else { 1.0 };
    (spec.service.0 as f64 * (spec.sigma() * normal).exp() * cold) as u64
}
