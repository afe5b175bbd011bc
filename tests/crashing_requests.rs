//! Requests under which backend servers crash, which come again at any VM.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{process::Stdio, time::Duration};

use desk::{RUN_TIME, config};
use entry::{EntryProcess, ListenAddresses, settings};
use reqwest::{Method, Response};
use rstest::rstest;
use serde_json::json;
use stand_in::{StandInServer, StandInStore, wait_until};
use tokio::time::{Instant, sleep};

const SERVERS: usize = 12;
/// Time after which all VMs must know what happened.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Number of servers that a request may crash before all VMs must reject it.
const KNOWN_AFTER: usize = 3;
/// Number of servers that it may crash after that and the time above.
const ALLOWED: usize = 3;
/// Time from one such request to the next.
const INTERVAL: Duration = Duration::from_millis(100);

struct Fleet {
    store: StandInStore,
    servers: Vec<StandInServer>,
    entries: Vec<EntryProcess>,
}

/// A caller's request: its method, path, object and body.
#[derive(Debug, Clone, Copy)]
struct CallerRequest {
    method: &'static str,
    path: &'static str,
    object: Option<&'static str>,
    body: &'static str,
}

const LOOK_UP: CallerRequest =
    CallerRequest { method: "GET", path: "/look/list/crash", object: Some("7"), body: "" };
const BOOKING: CallerRequest =
    CallerRequest { method: "POST", path: "/book/crash", object: Some("7"), body: "four gangs" };
/// Without an object, only the address of the caller tells who it is.
const ANONYMOUS: CallerRequest = CallerRequest { object: None, ..LOOK_UP };

impl Fleet {
    async fn start(vms: usize, zones: &[&str]) -> Fleet {
        let store = StandInStore::start().await;
        store.put("op/config", &config(7, "/look/"));
        let mut servers = Vec::new();
        for number in 1..=SERVERS {
            let server = StandInServer::start(&format!("i-{number}"), RUN_TIME).await;
            store.put(&format!("servers/{}", server.id), &server.entry("ready"));
            servers.push(server);
        }
        let mut entries = Vec::new();
        for number in 0..vms {
            entries.push(start_vm(&store, number, zones[number % zones.len()]));
        }
        for entry in &entries {
            entry.wait_until_ready().await;
        }
        wait_until("all are registered", || store.keys("th/vm/").len() == vms).await;
        sleep(Duration::from_secs(2)).await;
        Fleet { store, servers, entries }
    }

    /// Registers servers again that are back after a crash.
    fn register(&self) {
        for server in &self.servers {
            self.store.put(&format!("servers/{}", server.id), &server.entry("ready"));
        }
    }

    /// When servers crashed, in order.
    fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<Instant> = Vec::new();
        for server in &self.servers {
            crashes.extend(server.crashes());
        }
        crashes.sort_unstable();
        crashes
    }

    /// Sends a request to the VMs in turn until an end, whatever is answered.
    async fn repeat(&self, request: CallerRequest, time: Duration) {
        let end = Instant::now() + time;
        let mut number = 0;
        while Instant::now() < end {
            let vm = &self.entries[number % self.entries.len()];
            let id = format!("crash-{:?}-{number}", end);
            let (client, url) =
                (vm.client.clone(), format!("http://{}{}", vm.listen.callers, request.path));
            tokio::spawn(async move { send(client, url, request, &id).await.ok() });
            number += 1;
            if number.is_multiple_of(5) {
                self.register();
            }
            sleep(INTERVAL).await;
        }
    }

    /// Number of crashes that are not allowed.
    fn excess(&self) -> usize {
        let crashes = self.crashes();
        let Some(third) = crashes.get(KNOWN_AFTER - 1) else {
            return 0;
        };
        let late = crashes.iter().filter(|it| *third + SETTLE_TIME < **it).count();
        late.saturating_sub(ALLOWED)
    }
}

fn start_vm(store: &StandInStore, number: usize, zone: &str) -> EntryProcess {
    let listen = ListenAddresses::free();
    let mut settings = settings(&format!("vm-{number}"), zone, listen, store.address);
    settings["config_limit"] = json!(2_500);
    settings["drain_limit"] = json!(2_500);
    EntryProcess::start(listen, &settings, Stdio::null())
}

async fn send(
    client: reqwest::Client,
    url: String,
    request: CallerRequest,
    id: &str,
) -> reqwest::Result<Response> {
    let method = Method::from_bytes(request.method.as_bytes()).unwrap();
    let mut sent = client.request(method, url).header("host", "desk.example");
    if let Some(object) = request.object {
        sent = sent.header("cookie", format!("Affinity-Key={object}"));
    }
    sent.header("attempt-id", id).header("request-deadline", "1500").body(request.body).send().await
}

/// Guards against a request that is sent to one backend server after the other although each crashes under it.
#[rstest]
#[case::one_vm(LOOK_UP, 1, &["north-a"])]
#[case::one_data_centre(LOOK_UP, 4, &["north-a"])]
#[case::two_data_centres(LOOK_UP, 4, &["north-a", "south-a"])]
#[case::may_run_once(BOOKING, 4, &["north-a", "south-a"])]
#[case::anonymous(ANONYMOUS, 4, &["north-a"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_servers_is_soon_rejected_everywhere(
    #[case] request: CallerRequest,
    #[case] vms: usize,
    #[case] zones: &[&str],
) {
    let fleet = Fleet::start(vms, zones).await;
    fleet.repeat(request, Duration::from_secs(9)).await;
    let (crashes, excess) = (fleet.crashes().len(), fleet.excess());
    assert!(KNOWN_AFTER <= crashes, "{crashes} crashes");
    assert_eq!(excess, 0, "of {crashes} crashes in all");
}

/// Guards against callers that are refused because a request of another caller, or another one of theirs, crashes servers,
/// and against a VM that starts later and has to find out by crashes of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_request_that_crashes_servers_is_rejected() {
    let mut fleet = Fleet::start(3, &["north-a", "south-a"]).await;
    fleet.repeat(LOOK_UP, Duration::from_secs(3)).await;
    fleet.entries.push(start_vm(&fleet.store, 3, "south-a"));
    fleet.entries[3].wait_until_ready().await;
    sleep(SETTLE_TIME).await;
    fleet.register();
    sleep(SETTLE_TIME).await;
    let before = fleet.crashes().len();
    let others = [
        CallerRequest { path: "/look/list", ..LOOK_UP },
        CallerRequest { path: "/look/list", object: Some("8"), ..LOOK_UP },
        CallerRequest { path: "/look/list", object: None, ..LOOK_UP },
        CallerRequest { path: "/book/", ..BOOKING },
    ];
    for (number, entry) in fleet.entries.iter().enumerate() {
        let url =
            |request: CallerRequest| format!("http://{}{}", entry.listen.callers, request.path);
        let id = format!("rejected-{number}");
        let answer = send(entry.client.clone(), url(LOOK_UP), LOOK_UP, &id).await.unwrap();
        assert_eq!(answer.status(), 503, "VM {number}");
        assert!(answer.headers().contains_key("retry-after"));
        for (other, request) in others.into_iter().enumerate() {
            let id = format!("served-{number}-{other}");
            let answer = send(entry.client.clone(), url(request), request, &id).await.unwrap();
            assert_eq!(answer.status(), 200, "VM {number}, {request:?}");
        }
    }
    assert_eq!(fleet.crashes().len(), before, "no server crashed");
}
