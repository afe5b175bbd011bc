//! A backend server: slots, a service time and a load report.

use std::{cell::RefCell, rc::Rc};

use th_protocol::{LoadReport, Slots, Time};
use tokio::sync::Semaphore;

use super::{
    script::ReportKind,
    world::{Sim, WARM},
};
use crate::Run;

/// How much longer a request takes at a cold server.
const COLD: f64 = 4.0;
/// How long a server is cold after its start, in milliseconds.
pub(crate) const COLD_SPAN: u64 = 5_000;
/// A leaving server must get no new work after this time, in milliseconds.
const LEAVING: u64 = 5_000;

/// The state of one backend server.
pub(crate) struct Server {
    pub(crate) service: usize,
    slots: Rc<Semaphore>,
    pub(crate) busy: u32,
    /// Until when it is cold.
    pub(crate) cold: u64,
    pub(crate) shed: bool,
    /// Since when it leaves, and whether it says so itself.
    pub(crate) leaving: Option<(u64, bool)>,
    pub(crate) report: ReportKind,
    /// What it reported last.
    last: LoadReport,
}

impl Server {
    pub(crate) fn new(service: usize, slots: u32) -> Server {
        Server {
            service,
            slots: Rc::new(Semaphore::new(slots as usize)),
            busy: 0,
            cold: 0,
            shed: false,
            leaving: None,
            report: ReportKind::True,
            last: LoadReport { busy: Slots(0), slots: Slots(slots), leaving: false },
        }
    }

    /// What its health and load endpoints say; nothing where they are silent.
    pub(crate) fn report(&mut self) -> Option<LoadReport> {
        match self.report {
            ReportKind::True => self.last.busy = Slots(self.busy),
            ReportKind::Lying => self.last.busy = Slots(0),
            ReportKind::Stale => {}
            ReportKind::Off => return None,
        }
        self.last.leaving = self.leaving.is_some_and(|it| it.1);
        Some(self.last.clone())
    }
}

/// A request as it reaches a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) request: String,
    pub(crate) operation: String,
    /// The region of its caller.
    pub(crate) home: usize,
    pub(crate) left: u64,
}

/// How a backend server answers.
#[derive(Debug, Clone)]
pub(crate) struct Ran {
    /// The request that ran; none where it was shed.
    pub(crate) request: Option<String>,
    pub(crate) leaving: bool,
}

/// A slot in use.
struct Running {
    sim: Sim,
    host: usize,
    number: Option<usize>,
}

impl Drop for Running {
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
        state.tally.leave((service, region));
        if let Some(number) = self.number {
            state.tally.run_log.end(number, Time(self.sim.now()));
        }
    }
}

/// Runs a request.
pub(crate) async fn run(sim: Sim, host: usize, work: Work) -> Ran {
    let began = sim.now();
    let (slots, leaving, shed) = {
        let state = sim.state.borrow();
        let server = &state.servers[&host];
        (Rc::clone(&server.slots), server.leaving, server.shed)
    };
    let says = leaving.is_some_and(|it| it.1);
    if shed {
        return Ran { request: None, leaving: says };
    }
    if slots.available_permits() == 0 {
        sim.state.borrow_mut().tally.run_log.add_overrun();
    }
    if leaving.is_some_and(|(at, _)| at + LEAVING < began) {
        sim.state.borrow_mut().tally.breach("new work to a leaving server", began);
    }
    let _slot = slots.acquire().await.expect("it is never closed");
    let (number, mut running) = begin(&sim, host, &work);
    let took = service_time(&sim, host);
    let left = (began + work.left).saturating_sub(sim.now());
    sim.sleep(took.min(left)).await;
    if left < took {
        drop(running);
        sim.state.borrow_mut().tally.missed += 1;
        return futures_util::future::pending().await;
    }
    running.number = Some(number);
    drop(running);
    Ran { request: Some(work.request), leaving: says }
}

fn begin(sim: &Sim, host: usize, work: &Work) -> (usize, Running) {
    let mut state = sim.state.borrow_mut();
    let (name, region) = (state.hosts[host].name.clone(), state.hosts[host].region);
    let server = state.servers.get_mut(&host).expect("its process runs");
    server.busy += 1;
    let service = server.service;
    let second = sim.now().saturating_sub(WARM) / 1_000;
    state.tally.enter((service, region), work.home, second);
    let number = state.tally.run_log.begin(Run {
        request: work.request.clone(),
        operation: work.operation.clone(),
        server: name,
        began: Time(sim.now()),
        ended: None,
    });
    (number, Running { sim: Rc::clone(sim), host, number: None })
}

/// A log-normal time with the median and the tail that the scenario states.
fn service_time(sim: &Sim, host: usize) -> u64 {
    let (a, b): (f64, f64) = (1.0 - sim.draw(), sim.draw());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let state = RefCell::borrow(&sim.state);
    let server = &state.servers[&host];
    let spec = &sim.script.services[server.service];
    let cold = if sim.now() < server.cold { COLD } else { 1.0 };
    (spec.service.0 as f64 * (spec.sigma() * normal).exp() * cold) as u64
}
