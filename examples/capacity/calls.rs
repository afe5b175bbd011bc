//! Calls of the platform's service and control messages by real entry processes on loopback.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use eyre::{Result, WrapErr};
use th_protocol::{Permille, VmId, VmRecord, VmRole, VmState};
use th_testing::{Caller, CallerSettings, Deployment, DeploymentSpec, Records, ZoneSpec};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

use crate::measurement::Measurement;

/// Numbers of entry VMs in each of the three data centres.
const ENTRIES: [u32; 4] = [2, 3, 6, 12];
const ZONES: [(&str, &str); 3] = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
/// Entry VMs of a data centre at the full size: 2,500 VMs in 26 data centres.
const FULL_ENTRIES: f64 = 2_500.0 / 26.0;
/// Two of the periods in which VMs read the claims of shards in the steady state.
const COUNT_WINDOW: Duration = Duration::from_secs(60);
const WARMUP: Duration = Duration::from_secs(3);
const CALL_PAUSE: Duration = Duration::from_millis(25);
const CALLERS: usize = 6;
const CALL_KINDS: [&str; 6] = ["read", "cas", "lease", "keep-alive", "watch", "vm-list"];

/// Calls so far by kind, and bytes of control messages, summed over all entry processes.
type MetricSums = BTreeMap<String, f64>;

/// Calls of one deployment, during its start and in the steady state under a light load.
struct CountedCalls {
    entries: u32,
    start_calls: MetricSums,
    steady_calls: MetricSums,
}

async fn sum_metrics(callers: &[SocketAddr]) -> Result<MetricSums> {
    let mut sums = MetricSums::new();
    for address in callers {
        let text = reqwest::get(format!("http://{address}/metrics")).await?.text().await?;
        for line in text.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else { continue };
            let value: f64 = value.parse().unwrap_or(0.0);
            if name.starts_with("th_control_bytes_total") {
                *sums.entry("control".to_owned()).or_default() += value;
            }
            if !name.starts_with("th_store_calls") || !name.contains("end=\"made\"") {
                continue;
            }
            let Some((_, rest)) = name.split_once("call=\"") else { continue };
            let kind = rest.split('"').next().unwrap_or_default();
            *sums.entry(kind.to_owned()).or_default() += value;
        }
    }
    Ok(sums)
}

fn difference(later: &MetricSums, earlier: &MetricSums) -> MetricSums {
    let mut differences = MetricSums::new();
    for (kind, value) in later {
        differences.insert(kind.clone(), value - earlier.get(kind).copied().unwrap_or(0.0));
    }
    differences
}

fn deployment_spec(entries: u32) -> DeploymentSpec {
    let mut zones = Vec::new();
    for (name, region) in ZONES {
        zones.push(ZoneSpec { name, region, entries, backends: 2 });
    }
    DeploymentSpec { zones, ..DeploymentSpec::default() }
}

/// Sets the floors of each region's data centres to half of its cap, so that the other half is leased.
async fn lease_half_of_caps(deployment: &mut Deployment) -> Result<()> {
    let change = |bundle: &mut th_protocol::Bundle| {
        let zones = bundle.zones.clone();
        for (id, region) in &mut bundle.regions {
            let region_zones = zones.iter().filter(|(_, zone)| zone.region == *id);
            let names: Vec<_> = region_zones.map(|(name, _)| name.clone()).collect();
            let share = Permille(500 / names.len().max(1) as u32);
            region.floors = names.into_iter().map(|name| (name, share)).collect();
        }
    };
    deployment.change_bundle(change).await?;
    deployment.wait_in_force(deployment.bundle.version, th_protocol::Millis(20_000)).await
}

async fn run_caller(seeds: Vec<SocketAddr>, name: usize, end: Instant) {
    let settings = CallerSettings {
        name: format!("caller-{name}"),
        seeds,
        records: Records::default(),
        ..CallerSettings::default()
    };
    let mut caller = Caller::new(settings);
    while Instant::now() < end {
        caller.call("check", true).await;
        sleep(CALL_PAUSE).await;
    }
}

async fn count_calls(entries: u32) -> Result<CountedCalls> {
    let mut deployment = Deployment::start(deployment_spec(entries)).await?;
    sleep(WARMUP).await;
    let seeds = deployment.callers();
    let started = sum_metrics(&seeds).await?;
    lease_half_of_caps(&mut deployment).await?;
    sleep(WARMUP).await;
    let before = sum_metrics(&seeds).await?;
    let end = Instant::now() + COUNT_WINDOW;
    let mut callers = Vec::new();
    for name in 0..CALLERS {
        callers.push(tokio::spawn(run_caller(seeds.clone(), name, end)));
    }
    for caller in callers {
        caller.await?;
    }
    let steady_calls = difference(&sum_metrics(&seeds).await?, &before);
    Ok(CountedCalls { entries, start_calls: started, steady_calls })
}

/// Prints the bytes on the wire of one heartbeat and of its answer, without the headers of TCP and IP.
async fn print_heartbeat_size() -> Result<()> {
    let deployment = Deployment::start(DeploymentSpec::default()).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let record = VmRecord {
        vm: "north-a-entry-9".parse::<VmId>()?,
        zone: "north-a".parse()?,
        address: listener.local_addr()?,
        state: VmState::Live,
        role: VmRole::Entry,
    };
    deployment.platform.list_vm(record);
    let (mut stream, _) = timeout(Duration::from_secs(20), listener.accept())
        .await
        .wrap_err("waiting for a heartbeat")??;
    let request = read_message(&mut stream).await?;
    let entry = deployment.entries.values().next().expect("there is an entry process");
    let mut to = TcpStream::connect(entry.peers()).await?;
    to.write_all(&request).await?;
    let answer = read_message(&mut to).await?;
    for (name, bytes) in [("heartbeat", &request), ("its answer", &answer)] {
        let end = bytes.windows(4).position(|it| it == b"\r\n\r\n").unwrap_or(0);
        let head = String::from_utf8_lossy(&bytes[..end]).replace("\r\n", " | ");
        eprintln!("calls: {name}: {} B, of which the head is {} B: {head}", bytes.len(), end + 4);
    }
    Ok(())
}

/// Reads one HTTP message that has a `content-length`.
async fn read_message(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await??;
        eyre::ensure!(0 < count, "the connection was closed before the end of the message");
        bytes.extend_from_slice(&buffer[..count]);
        let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let length = head.lines().find_map(|it| it.strip_prefix("content-length: ")?.parse().ok());
        if bytes.len() == end + 4 + length.unwrap_or(0usize) {
            return Ok(bytes);
        }
    }
}

async fn run() -> Result<Vec<CountedCalls>> {
    print_heartbeat_size().await?;
    let mut tasks = Vec::new();
    for entries in ENTRIES {
        tasks.push(tokio::spawn(count_calls(entries)));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.push(task.await??);
    }
    Ok(all)
}

/// Measures the calls per second and data centre by kind in the steady state under a light load, and the calls of a
/// start.
pub(crate) fn measure() -> Result<Vec<Measurement>> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let all = runtime.block_on(run())?;
    let zones = ZONES.len() as f64;
    let seconds = COUNT_WINDOW.as_secs_f64();
    let mut measurements = Vec::new();
    let names = [
        ("store: read", "start: read"),
        ("store: compare-and-swap", "start: compare-and-swap"),
        ("store: lease", "start: lease"),
        ("store: keep-alive", "start: keep-alive"),
        ("store: watch", "start: watch"),
        ("store: VM list", "start: VM list"),
    ];
    for (kind, (rest, start)) in CALL_KINDS.iter().zip(names) {
        let value = |it: &MetricSums| it.get(*kind).copied().unwrap_or(0.0);
        let points = |y: &dyn Fn(&CountedCalls) -> f64| {
            all.iter().map(|it| (f64::from(it.entries), y(it))).collect::<Vec<_>>()
        };
        let per = "entry VM of a data centre";
        let rates = points(&|it| value(&it.steady_calls) / zones / seconds);
        measurements.push(Measurement::new(
            (rest, "1/s for a data centre", per),
            rates,
            FULL_ENTRIES,
        ));
        let calls = points(&|it| value(&it.start_calls) / zones);
        measurements.push(Measurement::new(
            (start, "calls for a data centre", per),
            calls,
            FULL_ENTRIES,
        ));
    }
    let mut control = Vec::new();
    for it in &all {
        let bytes = it.steady_calls.get("control").copied().unwrap_or(0.0);
        control.push((f64::from(it.entries), bytes / zones / f64::from(it.entries) / seconds));
    }
    measurements.push(Measurement::new(
        ("control payload, real processes", "bytes/s a VM", "entry VM of a data centre"),
        control,
        FULL_ENTRIES,
    ));
    Ok(measurements)
}
