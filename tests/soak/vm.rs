//! An entry VM: its process, and the proxies around it.

use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::Mutex,
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    entry::{EntryProcess, ListenAddresses, settings},
    fleet::ZONES,
    options::Options,
    proxy::Proxy,
};

/// An entry VM with the proxies between it and its callers, and between it and the store.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) zone: &'static str,
    pub(crate) listen: ListenAddresses,
    pub(crate) callers: Proxy,
    pub(crate) store: Proxy,
    pub(crate) entry: Mutex<Option<EntryProcess>>,
    /// The process in a planned stop.
    pub(crate) stopping: Mutex<Option<EntryProcess>>,
    /// Program file, if it is not the one of this build.
    program: Option<PathBuf>,
    /// File to which its processes write their logs.
    log: Option<PathBuf>,
}

impl Vm {
    /// Starts the proxies of a VM, whose process does not run yet.
    pub(crate) async fn new(number: usize, seed: u64, store: SocketAddr, options: &Options) -> Vm {
        let listen = ListenAddresses::free();
        let name = format!("vm-{number}");
        Vm {
            log: options.logs.as_ref().map(|it| it.join(format!("{seed}-{name}.log"))),
            name,
            zone: ZONES[number % ZONES.len()],
            listen,
            callers: Proxy::start(listen.callers).await,
            store: Proxy::start(store).await,
            entry: Mutex::default(),
            stopping: Mutex::default(),
            program: options.program.clone(),
        }
    }

    pub(crate) fn start(&self) {
        let settings = settings(&self.name, self.zone, self.listen, self.store.address);
        let output = self.log.as_ref().map_or(Stdio::null(), |it| {
            File::options().create(true).append(true).open(it).unwrap().into()
        });
        let own = Path::new(env!("CARGO_BIN_EXE_tanagerhollow"));
        let program = self.program.as_deref().unwrap_or(own);
        let entry = EntryProcess::start_program(program, self.listen, &settings, output);
        *self.entry.lock().unwrap() = Some(entry);
    }

    pub(crate) fn signal(&self, name: &str) {
        if let Some(entry) = self.entry.lock().unwrap().as_ref() {
            entry.signal(name);
        }
    }

    /// Keeps the process from running for some time, if it is in a planned stop.
    pub(crate) async fn hold_up(&self, span: Duration) {
        for (signal, pause) in [("-STOP", span), ("-CONT", Duration::ZERO)] {
            {
                let mut stopping = self.stopping.lock().unwrap();
                let Some(entry) = stopping.as_mut() else { return };
                if entry.exit_status().is_some() {
                    return;
                }
                entry.signal(signal);
            }
            sleep(pause).await;
        }
    }

    /// Whether no process is in a planned stop, or it has exited.
    pub(crate) fn has_stopped(&self) -> bool {
        let mut stopping = self.stopping.lock().unwrap();
        stopping.as_mut().is_none_or(|it| it.exit_status().is_some())
    }

    pub(crate) async fn is_ready(&self, client: &reqwest::Client) -> bool {
        let url = format!("http://{}/-/readiness", self.listen.ready);
        let answer = client.get(url).timeout(Duration::from_millis(500)).send().await;
        answer.is_ok_and(|it| it.status() == 200)
    }
}
