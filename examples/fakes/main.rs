//! A fake of the platform's service and fake backend servers in one process, for trying the system by hand.

use std::{fs, net::SocketAddr, path::PathBuf, process::ExitCode, str::FromStr, time::Duration};

use argh::FromArgs;
use eyre::{Result, WrapErr, eyre};
use th_protocol::{Millis, Slots, VmRecord, VmRole, VmState};
use th_testing::{
    BackendSettings, Behaviour, FakeBackend, FakePlatform, PlatformServer, Run, RunLog,
};
use tokio::{signal, time::sleep};

/// Interval between polls of the backend servers' run log.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Serves a fake of the platform's service and fake backend servers until Ctrl-C. Prints each request that a backend
/// server begins to run.
#[derive(FromArgs)]
struct Arguments {
    /// where the fake platform listens, such as 127.0.0.1:7000; if left out, no platform is served
    #[argh(option)]
    store: Option<SocketAddr>,

    /// where the backend servers listen, separated by commas; they are named backend-1, backend-2 and so on
    #[argh(option, default = "Addresses(Vec::new())")]
    backends: Addresses,

    /// slots of each backend server (default: 4)
    #[argh(option, default = "Slots(4)")]
    slots: Slots,

    /// milliseconds that a request takes (default: 40)
    #[argh(option, default = "Millis(40)")]
    service_ms: Millis,

    /// an entry VM for the platform's list, as vm=NAME,zone=ZONE,peers=ADDRESS; repeat for each VM
    #[argh(option)]
    entry: Vec<ListedEntry>,

    /// a JSON file with more VMs for the list: an array of objects with vm, zone, address, state and role
    #[argh(option)]
    vms: Option<PathBuf>,
}

/// Addresses separated by commas.
struct Addresses(Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Addresses, String> {
        let mut addresses = Vec::new();
        for part in text.split(',') {
            let address = part.parse().map_err(|error| format!("{part:?}: {error}"))?;
            addresses.push(address);
        }
        Ok(Addresses(addresses))
    }
}

/// An entry VM as the platform lists it.
struct ListedEntry(VmRecord);

impl FromStr for ListedEntry {
    type Err = String;

    fn from_str(text: &str) -> Result<ListedEntry, String> {
        let field = |name: &str| {
            let mut parts = text.split(',').filter_map(|it| it.split_once('='));
            let found = parts.find(|(key, _)| *key == name);
            found.map(|(_, value)| value).ok_or_else(|| format!("{name}= is missing in {text:?}"))
        };
        Ok(ListedEntry(VmRecord {
            vm: field("vm")?.parse().map_err(|error| format!("vm: {error}"))?,
            zone: field("zone")?.parse().map_err(|error| format!("zone: {error}"))?,
            address: field("peers")?.parse().map_err(|error| format!("peers: {error}"))?,
            state: VmState::Live,
            role: VmRole::Entry,
        }))
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match serve(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(arguments: Arguments) -> Result<()> {
    if let Some(address) = arguments.store {
        serve_platform(address, listed_vms(&arguments)?).await?;
    }
    let run_log = RunLog::default();
    let mut backends = Vec::new();
    for (i, address) in (1..).zip(&arguments.backends.0) {
        backends.push(start_backend(i, *address, &arguments, &run_log).await?);
    }
    println!("fakes: ready; Ctrl-C ends them all");
    tokio::select! {
        () = print_runs(&run_log) => {}
        ended = signal::ctrl_c() => ended?,
    }
    println!("fakes: {} requests were begun", run_log.runs().len());
    Ok(())
}

/// Serves the platform until the process ends.
async fn serve_platform(address: SocketAddr, vms: Vec<VmRecord>) -> Result<()> {
    let platform = FakePlatform::default();
    for record in vms {
        println!(
            "fakes: the platform lists {} in {} at {}",
            record.vm, record.zone, record.address
        );
        platform.list_vm(record);
    }
    let server = PlatformServer::start(platform, address).await;
    let server = server.wrap_err_with(|| format!("listening at {address}"))?;
    println!("fakes: the platform's service listens at {}", server.url());
    Ok(())
}

/// Returns the VMs from the command line and from the file of `--vms`.
fn listed_vms(arguments: &Arguments) -> Result<Vec<VmRecord>> {
    let mut records: Vec<_> = arguments.entry.iter().map(|it| it.0.clone()).collect();
    if let Some(path) = &arguments.vms {
        let text = fs::read_to_string(path);
        let text = text.wrap_err_with(|| format!("reading {}", path.display()))?;
        let more: Vec<VmRecord> =
            serde_json::from_str(&text).map_err(|error| eyre!("{}: {error}", path.display()))?;
        records.extend(more);
    }
    Ok(records)
}

async fn start_backend(
    number: u32,
    address: SocketAddr,
    arguments: &Arguments,
    run_log: &RunLog,
) -> Result<FakeBackend> {
    let name = format!("backend-{number}");
    println!(
        "fakes: {name} listens at {address} with {} slots, {} a request",
        arguments.slots.0, arguments.service_ms
    );
    let settings = BackendSettings {
        name,
        address,
        slots: arguments.slots,
        behaviour: Behaviour { service_time: arguments.service_ms, ..Behaviour::default() },
        run_log: run_log.clone(),
    };
    let backend = FakeBackend::start(settings).await;
    backend.wrap_err_with(|| format!("listening at {address}"))
}

/// Prints each request that a backend server begins to run.
async fn print_runs(run_log: &RunLog) {
    let mut printed = 0;
    loop {
        let runs = run_log.runs();
        for run in &runs[printed..] {
            println!("fakes: {}", run_line(run));
        }
        printed = runs.len();
        sleep(POLL_INTERVAL).await;
    }
}

fn run_line(run: &Run) -> String {
    let Run { server, operation, request, .. } = run;
    match request.is_empty() {
        true => format!("{server} began {operation}"),
        false => format!("{server} began {operation} for request {request}"),
    }
}
