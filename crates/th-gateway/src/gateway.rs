//! Start and stop of the process, and its periodic work.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use eyre::WrapErr;
use http::Response;
use th_protocol::{Millis, VmId, ZoneId};
use th_steer::dispatch::{Dispatcher, Topology};
use tokio::task::{JoinHandle, spawn_local};
use tokio_util::sync::CancellationToken;

use crate::{
    body::AnswerBody,
    call::{serve, serve_ahead},
    core::Core,
    dialect::Dialect,
    forward::check_links,
    listen::{Handler, HandlerFuture, accept, open},
    lookup::{lookup, metrics, readiness},
    pipeline::StartAhead,
    relay::serve_peer,
    settings::{GatewaySettings, Listeners},
    stop::stop,
    usage::report_usage,
};

/// Result of running the data path.
pub type Result<T, E = eyre::Report> = std::result::Result<T, E>;

/// Number of ticks between two ticks of the dispatcher, which are combined with sweeps of idle connections.
const SWEEP_TICKS: u32 = 20;

/// A running data path. All its tasks run on the thread that started it.
pub struct Gateway {
    core: Rc<Core>,
    ports: Ports,
}

/// The ports that a planned stop closes.
pub(crate) struct Ports {
    pub(crate) callers: Port,
    /// For other VMs.
    pub(crate) peers: Option<Port>,
}

/// A port whose connections are accepted.
pub(crate) struct Port {
    closing: CancellationToken,
    task: JoinHandle<()>,
}

impl Port {
    fn open(core: &Rc<Core>, address: SocketAddr, handler: Handler) -> Result<Port> {
        let listener = open(address).wrap_err_with(|| format!("listening at {address}"))?;
        let closing = CancellationToken::new();
        let task = spawn_local(accept(Rc::clone(core), listener, handler, closing.clone()));
        Ok(Port { closing, task })
    }

    /// Begins to close the port; the connections that wait there are accepted before.
    pub(crate) fn close(&self) {
        self.closing.cancel();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.task.is_finished()
    }
}

fn sync_handler(
    answer: impl Fn(&http::Request<hyper::body::Incoming>) -> Response<AnswerBody> + 'static,
) -> Handler {
    let serve = Rc::new(move |request| -> HandlerFuture {
        let answer = answer(&request);
        Box::pin(async move { Ok(answer) })
    });
    Handler { users: "operators", serve, ahead: None }
}

impl Gateway {
    /// Opens the listeners and starts all tasks.
    pub fn start(
        vm: VmId,
        zone: ZoneId,
        topology: Topology,
        listeners: Listeners,
        settings: GatewaySettings,
        dialect: Rc<dyn Dialect>,
    ) -> Result<Gateway> {
        let dispatcher = Dispatcher::new(settings.dispatch.clone(), vm, zone, topology);
        let core = Rc::new(Core::new(dispatcher, settings, dialect));
        let shared = Rc::clone(&core);
        let serve = Rc::new(move |request| -> HandlerFuture {
            Box::pin(serve(Rc::clone(&shared), request))
        });
        let shared = Rc::clone(&core);
        let ahead: StartAhead = Rc::new(move |request| serve_ahead(&shared, request));
        let callers = Handler { users: "callers", serve, ahead: Some(ahead) };
        let callers = Port::open(&core, listeners.callers, callers)?;
        let shared = Rc::clone(&core);
        Port::open(&core, listeners.lookups, sync_handler(move |it| lookup(&shared, it)))?;
        let shared = Rc::clone(&core);
        Port::open(&core, listeners.ready, sync_handler(move |it| readiness(&shared, it)))?;
        if let Some(address) = listeners.metrics {
            let shared = Rc::clone(&core);
            Port::open(&core, address, sync_handler(move |_| metrics(&shared)))?;
        }
        let mut peers = None;
        if let Some(address) = listeners.peers {
            let shared = Rc::clone(&core);
            let serve = Rc::new(move |request| -> HandlerFuture {
                Box::pin(serve_peer(Rc::clone(&shared), request))
            });
            peers = Some(Port::open(
                &core,
                address,
                Handler { users: "other VMs", serve, ahead: None },
            )?);
        }
        spawn_local(tick(Rc::clone(&core)));
        spawn_local(check_links(Rc::clone(&core)));
        spawn_local(report_usage(Rc::clone(&core)));
        log::info!(target: "entry", "vm={} callers={} Listening.", core.dispatcher.borrow().vm(), listeners.callers);
        Ok(Gateway { core, ports: Ports { callers, peers } })
    }

    /// Returns the shared state, for tasks that update it.
    pub fn core(&self) -> &Rc<Core> {
        &self.core
    }

    /// Carries out a planned stop that may last for the grace period. Returns the number of requests that were cut.
    pub async fn stop(self, grace: Millis) -> u32 {
        stop(&self.core, &self.ports, grace).await
    }
}

/// Runs the periodic work.
async fn tick(core: Rc<Core>) {
    let mut ticks = 0u32;
    loop {
        tokio::time::sleep(Duration::from_millis(core.settings.tick.0)).await;
        ticks = ticks.wrapping_add(1);
        core.place_waiting(usize::MAX);
        if ticks.is_multiple_of(SWEEP_TICKS) {
            let now = core.now();
            core.dispatcher.borrow_mut().tick(now);
            core.memory.tick(now);
            core.forget_answer_sizes();
            core.pool.borrow_mut().sweep(now);
            core.vm_pool.borrow_mut().sweep(now);
        }
    }
}
