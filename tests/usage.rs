//! VMs that share an organisation's quota over real connections, each on a thread of its own.

mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod tool;

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::{Arc, Mutex, mpsc},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use entry::ListenAddresses;
use platform::{PlatformDialect, write_entry};
use reqwest::{Client, StatusCode};
use serde_json::Value;
use stand_in::StandInStore;
use th_gateway::{Gateway, GatewaySettings, Listeners, QUOTAS_PATH, admit, set_quotas};
use th_protocol::{OrganisationId, RequestRate, Time, VmId, ZoneId};
use th_steer::{
    dispatch::{EntryRecord, Topology},
    quota::{Quota, QuotaBook, QuotaLimits},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime,
    sync::oneshot,
    task::{LocalSet, spawn_blocking, spawn_local},
    time::sleep,
};
use tool::{thctl, thctl_json};

const VMS: usize = 4;
/// Requests that each VM has under way: far more than the quota is asked for.
const CALLERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(20);

/// The times at which requests were admitted, at any VM.
type Admitted = Arc<Mutex<Vec<Instant>>>;

fn quota() -> Quota {
    Quota { rate: RequestRate::per_second(50.0).unwrap(), burst: 10.0 }
}

fn organisation() -> OrganisationId {
    "org-1".parse().unwrap()
}

fn records() -> Vec<EntryRecord> {
    let mut records = Vec::new();
    for number in 0..VMS {
        let listen = ListenAddresses::free();
        records.push(EntryRecord {
            vm: format!("vm-{number}").parse().unwrap(),
            zone: "north-a".parse().unwrap(),
            callers: listen.callers,
            ready: listen.ready,
            peers: Some(listen.peers),
            link: None,
        });
    }
    records
}

/// Index of the VM that gives out tokens.
fn keeper(records: &[EntryRecord]) -> usize {
    let mut book = QuotaBook::new(QuotaLimits::default(), records[0].vm.clone(), Time::ZERO);
    book.set_members(records.iter().map(|it| (it.vm.clone(), it.link)), Time::ZERO);
    let keeper = book.keeper(Time::ZERO);
    records.iter().position(|it| it.vm == keeper).unwrap()
}

/// A VM whose callers ask all the time; killed on drop, with all its connections.
struct TestVm {
    stop: Option<oneshot::Sender<()>>,
    freeze: tokio::sync::mpsc::UnboundedSender<mpsc::Receiver<()>>,
    thread: Option<JoinHandle<()>>,
}

impl TestVm {
    fn start(own: EntryRecord, records: Vec<EntryRecord>, admitted: Admitted) -> TestVm {
        let (stop, stopped) = oneshot::channel();
        let (freeze, mut frozen) = tokio::sync::mpsc::unbounded_channel::<mpsc::Receiver<()>>();
        let thread = thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let gateway = start_gateway(&own);
                let core = gateway.core();
                for record in records {
                    core.dispatcher.borrow_mut().on_entry(record);
                }
                set_quotas(core, BTreeMap::from([(organisation(), quota())]));
                for _ in 0..CALLERS {
                    let (core, admitted) = (Rc::clone(core), Arc::clone(&admitted));
                    spawn_local(async move {
                        loop {
                            if admit(&core, &organisation()).await.is_ok() {
                                admitted.lock().unwrap().push(Instant::now());
                            }
                            sleep(PAUSE).await;
                        }
                    });
                }
                spawn_local(async move {
                    while let Some(thawed) = frozen.recv().await {
                        // Blocks the VM's only thread until the test drops the other end.
                        let _ = thawed.recv();
                    }
                });
                let _ = stopped.await;
            });
        });
        TestVm { stop: Some(stop), freeze, thread: Some(thread) }
    }
}

impl Drop for TestVm {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn start_gateway(own: &EntryRecord) -> Gateway {
    let zone: ZoneId = own.zone.clone();
    let topology = Topology { zones: BTreeMap::from([(zone.clone(), "north".parse().unwrap())]) };
    let listeners = Listeners {
        callers: own.callers,
        ready: own.ready,
        lookups: (own.callers.ip(), 0).into(),
        metrics: None,
        peers: own.peers,
    };
    let (vm, settings): (VmId, _) = (own.vm.clone(), GatewaySettings::default());
    Gateway::start(vm, zone, topology, listeners, settings, Rc::new(PlatformDialect)).unwrap()
}

async fn wait_for_more(admitted: &Admitted, count: usize) {
    let before = admitted.lock().unwrap().len();
    for _ in 0..6_000 {
        if before + count <= admitted.lock().unwrap().len() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("{} admitted after {before}", admitted.lock().unwrap().len());
}

/// The largest number admitted in a window, as a share of what is allowed.
fn worst_window(admitted: &Admitted) -> f64 {
    let mut times = admitted.lock().unwrap().clone();
    times.sort_unstable();
    let limits = QuotaLimits::default();
    let window = Duration::from_millis(limits.window.0);
    let (mut first, mut worst) = (0, 0);
    for (last, at) in times.iter().enumerate() {
        while window < *at - times[first] {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst as f64 / limits.allowed(quota())
}

fn start_all(records: &[EntryRecord], admitted: &Admitted) -> Vec<TestVm> {
    let start =
        |it: &EntryRecord| TestVm::start(it.clone(), records.to_vec(), Arc::clone(admitted));
    records.iter().map(start).collect()
}

/// More than a window's requests.
const MANY: usize = 320;

#[tokio::test]
async fn vms_share_a_quota() {
    let (records, admitted) = (records(), Admitted::default());
    let _vms = start_all(&records, &admitted);
    wait_for_more(&admitted, MANY).await;
    assert!(worst_window(&admitted) <= 1.0);
    let url = format!("http://{}{QUOTAS_PATH}", records[0].peers.unwrap());
    let view: Value = Client::new().get(url).send().await.unwrap().json().await.unwrap();
    assert_eq!(view["org-1"]["rate"], 50.0);
    assert!(view["org-1"]["age"].is_u64(), "{view}");
}

#[tokio::test]
async fn the_tool_shows_use_and_refusals_of_all_vms() {
    let (records, admitted, store) = (records(), Admitted::default(), StandInStore::start().await);
    let _vms = start_all(&records, &admitted);
    for record in &records {
        store.put_bytes(&format!("th/vm/{}", record.vm), &write_entry(record).unwrap());
    }
    wait_for_more(&admitted, MANY).await;
    let address = store.address.to_string();
    let arguments = address.clone();
    let shown = spawn_blocking(move || thctl_json(&["fleet", "--store", &arguments])).await;
    let (code, output) = shown.unwrap();
    assert_eq!(code, 0, "{output}");
    let rows = output["quotas"]["org-1"].as_object().unwrap();
    let sum = |field: &str| rows.values().map(|it| it[field].as_u64().unwrap()).sum::<u64>();
    assert_eq!(rows.len(), VMS);
    assert!(MANY as u64 <= sum("admitted") && 0 < sum("refused"), "{output}");
    let (_, text) = spawn_blocking(move || thctl(&["fleet", "--store", &address])).await.unwrap();
    assert!(text.contains("of 50/s at 4 VMs"), "{text}");
}

/// Guards against a check of the windows that cannot fail.
#[tokio::test]
async fn vms_that_do_not_know_each_other_exceed_it() {
    let (records, admitted) = (records(), Admitted::default());
    let mut vms = Vec::new();
    for record in &records {
        vms.push(TestVm::start(record.clone(), vec![record.clone()], Arc::clone(&admitted)));
    }
    wait_for_more(&admitted, 2 * MANY).await;
    assert!(1.0 < worst_window(&admitted));
}

#[tokio::test]
async fn the_quota_is_kept_after_the_keeper_is_killed() {
    let (records, admitted) = (records(), Admitted::default());
    let mut vms = start_all(&records, &admitted);
    wait_for_more(&admitted, MANY).await;
    vms.remove(keeper(&records));
    wait_for_more(&admitted, MANY).await;
    assert!(worst_window(&admitted) <= 1.0);
}

#[tokio::test]
async fn the_quota_is_kept_while_the_keeper_is_frozen_and_afterwards() {
    let (records, admitted) = (records(), Admitted::default());
    let vms = start_all(&records, &admitted);
    wait_for_more(&admitted, MANY).await;
    let (thaw, thawed) = mpsc::channel();
    vms[keeper(&records)].freeze.send(thawed).unwrap();
    wait_for_more(&admitted, MANY).await;
    drop(thaw);
    wait_for_more(&admitted, MANY).await;
    assert!(worst_window(&admitted) <= 1.0);
}

/// The VM that would give out tokens runs a build that does not know the path.
#[tokio::test]
async fn an_older_build_is_passed_over() {
    let (mut records, admitted) = (records(), Admitted::default());
    let older = keeper(&records);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    records[older].peers = Some(listener.local_addr().unwrap());
    let asked = Arc::new(Mutex::new(0));
    let count = Arc::clone(&asked);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            *count.lock().unwrap() += 1;
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let answer =
                b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            let _ = stream.write_all(answer).await;
        }
    });
    let mut vms = Vec::new();
    for (index, record) in records.iter().enumerate() {
        if index != older {
            vms.push(TestVm::start(record.clone(), records.clone(), Arc::clone(&admitted)));
        }
    }
    wait_for_more(&admitted, MANY).await;
    assert!(worst_window(&admitted) <= 1.0);
    assert!(0 < *asked.lock().unwrap());
}

#[tokio::test]
async fn a_malformed_report_is_rejected() {
    let (records, admitted) = (records(), Admitted::default());
    let vm = TestVm::start(records[0].clone(), records[..1].to_vec(), Arc::clone(&admitted));
    wait_for_more(&admitted, 1).await;
    let url = format!("http://{}/v1/usage", records[0].peers.unwrap());
    for body in [vec![], vec![0xff; 100], vec![0; 3 << 20]] {
        let answer = Client::new().post(&url).body(body).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    }
    wait_for_more(&admitted, 1).await;
    drop(vm);
}
