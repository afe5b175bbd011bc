//! Planned stops of the real program around requests that one entry VM passes on to another.

mod desk;
mod entry;
mod raw_caller;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{net::SocketAddr, process::Stdio, time::Duration};

use desk::{RUN_TIME, config};
use entry::{EntryProcess, ListenAddresses, free, settings};
use raw_caller::{Answer, RawCaller, post};
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::{StandInServer, StandInStore, wait_until};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// Work of a request that takes longer than a planned stop.
const LONG: Duration = Duration::from_secs(9);
/// Number of slots of the two servers.
const SLOTS: u32 = 8;

/// Returns a configuration whose requests are sent to one server each and do not time out.
fn patient_config() -> Value {
    let mut config = config(7, "/look/");
    for route in config["routes"].as_array_mut().unwrap() {
        (route["timeout_ms"], route["max_attempts"]) = (json!(600_000), json!(1));
    }
    config
}

fn start(vm: &str, zone: &str, store: &StandInStore) -> EntryProcess {
    let listen = ListenAddresses::free();
    EntryProcess::start(listen, &settings(vm, zone, listen, store.address), Stdio::null())
}

fn record(listen: ListenAddresses) -> Value {
    json!({"zone": "south-a", "callers": listen.callers, "ready": listen.ready, "peers": listen.peers})
}

/// A VM that reaches no server, and another one that does.
struct Deployment {
    _stores: [StandInStore; 2],
    servers: Vec<StandInServer>,
    cut_off: EntryProcess,
    other: EntryProcess,
}

impl Deployment {
    async fn start() -> Deployment {
        let stores = [StandInStore::start().await, StandInStore::start().await];
        let mut servers = Vec::new();
        for id in ["i-1", "i-2"] {
            let server = StandInServer::start(id, RUN_TIME).await;
            let mut unreachable = server.entry("ready");
            unreachable["address"] = json!(free());
            stores[0].put(&format!("servers/{id}"), &unreachable);
            stores[1].put(&format!("servers/{id}"), &server.entry("ready"));
            servers.push(server);
        }
        for store in &stores {
            store.put("op/config", &patient_config());
        }
        let other = start("vm-2", "south-a", &stores[1]);
        other.wait_until_ready().await;
        other.wait_for_status("/look/first", 200).await;
        stores[0].put("th/vm/vm-2", &record(other.listen));
        let cut_off = start("vm-1", "north-a", &stores[0]);
        cut_off.wait_until_ready().await;
        cut_off.wait_for_status("/look/first", 200).await;
        Deployment { _stores: stores, servers, cut_off, other }
    }

    fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|it| it.runs(id)).sum()
    }

    fn total_runs(&self) -> u32 {
        self.servers.iter().map(StandInServer::total_runs).sum()
    }

    fn set_work(&self, work: Duration) {
        for server in &self.servers {
            server.set_work(work);
        }
    }

    /// Takes some slots of the servers through the VM that reaches them.
    async fn take_slots(&self, count: u32, work: Duration) -> Vec<JoinHandle<Option<Answer>>> {
        self.set_work(work);
        let before = self.total_runs();
        let address = self.other.listen.callers;
        let mut taken = Vec::new();
        for number in 0..count {
            taken.push(send(address, post("/book/x", &format!("busy-{number}"), "gang=7")));
        }
        wait_until("the slots are taken", || self.total_runs() == before + count).await;
        taken
    }
}

/// Sends a request over a connection of its own. Returns its answer.
fn send(address: SocketAddr, request: String) -> JoinHandle<Option<Answer>> {
    tokio::spawn(async move {
        let mut caller = RawCaller::connect(address).await;
        caller.send(&[request]).await;
        caller.answer().await
    })
}

/// Guards against requests that wait at another VM until the VM that passed them on ends its planned stop without an answer.
#[rstest]
#[case::small(6)]
#[case::upload(360_000)]
#[tokio::test]
async fn a_stop_answers_the_requests_that_wait_at_another_vm(#[case] size: usize) {
    let mut deployment = Deployment::start().await;
    let _taken = deployment.take_slots(SLOTS, LONG).await;
    let request = post("/book/photo", "waits", &"x".repeat(size));
    let sent = send(deployment.cut_off.listen.callers, request);
    // Until it has arrived at the other VM.
    sleep(Duration::from_millis(300)).await;
    deployment.cut_off.signal("-TERM");
    let stopped = Instant::now();
    let answer = sent.await.unwrap();
    let took = stopped.elapsed();
    assert_eq!(deployment.runs("waits"), 0);
    let answer = answer.unwrap_or_else(|| panic!("no answer for {took:?}"));
    assert_eq!(answer.status, 503, "after {took:?}");
    assert_eq!(deployment.cut_off.wait().code(), Some(0));
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}

/// Guards against requests that are passed on around SIGTERM with more time than the stop has left, and that get no answer.
#[rstest]
#[case::before(false)]
#[case::after(true)]
#[tokio::test]
async fn a_stop_waits_for_another_vm_until_its_last_answer_only(#[case] stops: bool) {
    let store = StandInStore::start().await;
    for id in ["i-1", "i-2"] {
        let mut unreachable = StandInServer::start(id, RUN_TIME).await.entry("ready");
        unreachable["address"] = json!(free());
        store.put(&format!("servers/{id}"), &unreachable);
    }
    // The other VM takes requests, and answers none.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while stream.read(&mut [0; 4096]).await.is_ok_and(|it| 0 < it) {}
            });
        }
    });
    store.put("op/config", &patient_config());
    let mut entry = start("vm-1", "north-a", &store);
    entry.wait_until_ready().await;
    entry.wait_for_status("/look/first", 503).await;
    store.put("th/vm/vm-2", &record(ListenAddresses { peers, ..ListenAddresses::free() }));
    // Until it knows the other VM.
    sleep(Duration::from_secs(1)).await;
    let request = post("/book/x", "unanswered", "gang=7");
    let early = (!stops).then(|| send(entry.listen.callers, request.clone()));
    // Until it has arrived at the other VM.
    sleep(Duration::from_millis(300)).await;
    entry.signal("-TERM");
    let stopped = Instant::now();
    sleep(Duration::from_millis(300)).await;
    let sent = early.unwrap_or_else(|| send(entry.listen.callers, request));
    let answer = sent.await.unwrap();
    let took = stopped.elapsed();
    let answer = answer.unwrap_or_else(|| panic!("no answer for {took:?}"));
    assert!(matches!(answer.status, 502 | 504), "{answer:?} after {took:?}");
    assert_eq!(entry.wait().code(), Some(0));
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
}

/// Guards against passed-on requests that get no answer, or one that says that they may have run, as the VM stops where they
/// wait or run.
#[rstest]
#[case::waits(SLOTS, LONG, 503)]
#[case::runs(0, Duration::from_secs(2), 200)]
#[tokio::test]
async fn a_stop_of_the_vm_that_took_a_request_answers_it(
    #[case] taken: u32,
    #[case] work: Duration,
    #[case] status: u16,
) {
    let deployment = Deployment::start().await;
    let _taken = deployment.take_slots(taken, work).await;
    let sent = send(deployment.cut_off.listen.callers, post("/book/x", "taken", "gang=7"));
    if status == 200 {
        wait_until("it runs", || deployment.runs("taken") == 1).await;
    } else {
        // Until it has arrived at the other VM.
        sleep(Duration::from_millis(300)).await;
    }
    deployment.other.signal("-TERM");
    let answer = sent.await.unwrap();
    assert_eq!(answer.map(|it| it.status), Some(status));
    assert_eq!(deployment.runs("taken"), u32::from(status == 200));
}

/// Guards against requests that are passed on to a VM as its planned stop ends, never run, and are answered as if they may
/// have.
#[rstest]
#[case::idle(0, 2_500)]
#[case::port_closes(1, 4_700)]
#[case::busy(1, 5_700)]
#[tokio::test]
async fn a_request_passed_on_as_a_stop_ends_is_rejected_as_not_run(
    #[case] taken: u32,
    #[case] ends: u64,
) {
    /// Time for which the VM that stops does not run, from this long before `ends`.
    const HELD: Duration = Duration::from_millis(800);
    const HELD_BEFORE: Duration = Duration::from_millis(400);
    const REQUESTS: usize = 10;
    let deployment = Deployment::start().await;
    let _taken = deployment.take_slots(taken, LONG).await;
    deployment.other.signal("-TERM");
    let ends = Instant::now() + Duration::from_millis(ends);
    sleep_until(ends - HELD_BEFORE).await;
    deployment.other.signal("-STOP");
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let request = post("/book/photo", &format!("held-{number}"), &"x".repeat(50_000));
        sent.push(send(deployment.cut_off.listen.callers, request));
    }
    sleep_until(ends - HELD_BEFORE + HELD).await;
    deployment.other.signal("-CONT");
    for (number, sent) in sent.into_iter().enumerate() {
        let status = sent.await.unwrap().map(|it| it.status);
        assert_eq!(deployment.runs(&format!("held-{number}")), 0);
        assert_eq!(status, Some(503), "held-{number} has not run");
    }
}
