//! A real process that loses its links to all backend servers, while its callers, the store and another entry VM still
//! reach it.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    net::SocketAddr,
    process::Stdio,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use desk::{RUN_TIME, config};
use entry::{EntryProcess, ListenAddresses, settings};
use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use stand_in::{StandInServer, StandInStore, wait_until};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout},
};

const SERVERS: usize = 4;
/// Callers that send one request after the other, before a cut and from then on. The additional ones need new
/// connections to servers.
const CALLERS_BEFORE: u32 = 2;
/// See [`CALLERS_BEFORE`].
const CALLERS: u32 = 10;
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after a cut from which callers must be served.
const SETTLE: Duration = Duration::from_secs(3);
const MEASURED: Duration = Duration::from_secs(3);
/// Backlog of a link's listener, so that few connections are enough to make further ones hang.
const BACKLOG: u32 = 2;

/// What a cut link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    None,
    /// Connections are reset, and new ones are refused.
    Reset,
    /// Connections carry nothing more, and new ones hang.
    Silent,
    /// Connections live on, and new ones are refused.
    Refuse,
}

/// The link of one entry VM to one backend server.
struct Link {
    address: SocketAddr,
    cut: watch::Sender<Cut>,
    /// Number of connections that it has accepted.
    accepted: Arc<AtomicU32>,
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(BACKLOG).unwrap()
}

/// Passes a connection's data on until the link is cut. Dropping the streams with unread data resets them.
async fn carry(mut near: TcpStream, server: SocketAddr, mut cut: watch::Receiver<Cut>) {
    let Ok(mut far) = TcpStream::connect(server).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        _ = cut.wait_for(|it| matches!(it, Cut::Reset | Cut::Silent)) => {}
    }
    let silent = *cut.borrow() == Cut::Silent;
    if silent {
        // The server sees no end either.
        let _ = cut.wait_for(|it| *it == Cut::None).await;
    }
}

impl Link {
    fn start(server: SocketAddr) -> Link {
        let listener = listen("127.0.0.1:0".parse().unwrap());
        let address = listener.local_addr().unwrap();
        let (cut, accepted) = (watch::Sender::new(Cut::None), Arc::<AtomicU32>::default());
        let (mut changed, count) = (cut.subscribe(), Arc::clone(&accepted));
        tokio::spawn(async move {
            let mut listener = Some(listener);
            let mut fillers = Vec::new();
            loop {
                let state = *changed.borrow_and_update();
                match state {
                    Cut::None if listener.is_none() => listener = Some(listen(address)),
                    Cut::Reset | Cut::Refuse => listener = None,
                    Cut::Silent => fillers = fill_backlog(address).await,
                    Cut::None => fillers.clear(),
                }
                let Some(open) = listener.as_ref().filter(|_| state == Cut::None) else {
                    if changed.changed().await.is_err() {
                        return;
                    }
                    continue;
                };
                tokio::select! {
                    stream = open.accept() => {
                        count.fetch_add(1, Ordering::Relaxed);
                        tokio::spawn(carry(stream.unwrap().0, server, changed.clone()));
                    }
                    ended = changed.changed() => {
                        if ended.is_err() {
                            return;
                        }
                    }
                }
            }
        });
        Link { address, cut, accepted }
    }
}

/// Opens connections to a listener that accepts none until one hangs.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(200), TcpStream::connect(address)).await
    {
        streams.push(stream);
    }
    streams
}

/// Two entry VMs and the same servers, which each reaches over links of its own that can be cut.
struct Deployment {
    servers: Vec<StandInServer>,
    /// Links of the VM that callers use, and of the other.
    links: [Vec<Link>; 2],
    entry: EntryProcess,
    _other: EntryProcess,
    stores: [StandInStore; 2],
}

impl Deployment {
    async fn start() -> Deployment {
        let stores = [StandInStore::start().await, StandInStore::start().await];
        let (mut servers, mut links) = (Vec::new(), [Vec::new(), Vec::new()]);
        for number in 1..=SERVERS {
            let server = StandInServer::start(&format!("i-{number}"), RUN_TIME).await;
            for (store, links) in stores.iter().zip(&mut links) {
                let link = Link::start(server.address);
                let mut entry = server.entry("ready");
                entry["address"] = json!(link.address.to_string());
                store.put(&format!("servers/{}", server.id), &entry);
                links.push(link);
            }
            servers.push(server);
        }
        // In different data centres, so that neither asks the other for changes of the store.
        let (near, far) = (ListenAddresses::free(), ListenAddresses::free());
        let start = |vm: &str, zone: &str, listen, store: &StandInStore| {
            store.put("op/config", &config(7, "/look/"));
            let settings = settings(vm, zone, listen, store.address);
            EntryProcess::start(listen, &settings, Stdio::null())
        };
        let entry = start("vm-1", "north-a", near, &stores[0]);
        let other = start("vm-2", "south-a", far, &stores[1]);
        let record = json!({"zone": "south-a", "callers": far.callers, "ready": far.ready, "peers": far.peers});
        stores[0].put("th/vm/vm-2", &record);
        for process in [&entry, &other] {
            process.wait_until_ready().await;
            process.wait_for_status("/look/first", 200).await;
        }
        Deployment { servers, links, entry, _other: other, stores }
    }

    /// Lets the other VM know the one that callers use.
    fn introduce(&self) {
        let near = self.entry.listen;
        let record = json!({"zone": "north-a", "callers": near.callers, "ready": near.ready, "peers": near.peers});
        self.stores[1].put("th/vm/vm-1", &record);
    }

    fn set_links(&self, vms: std::ops::Range<usize>, cut: Cut) {
        for link in self.links[vms].iter().flatten() {
            link.cut.send_replace(cut);
        }
    }

    /// Sends callers' requests for a while. Returns the numbers of those that were served and of all.
    async fn call(&self, time: Duration, phase: &str, callers: u32) -> (u32, u32) {
        let end = Instant::now() + time;
        let mut calls = Vec::new();
        for caller in 0..callers {
            calls.push(async move {
                let (mut served, mut sent) = (0, 0);
                while Instant::now() < end {
                    let id = format!("{phase}-{caller}-{sent}");
                    let (method, path) = if sent % 2 == 0 {
                        (Method::GET, format!("/look/{caller}"))
                    } else {
                        (Method::POST, format!("/book/{caller}"))
                    };
                    let answer = self.entry.send(method, &path, &id).await;
                    served += u32::from(answer.status() == 200);
                    sent += 1;
                    sleep(Duration::from_millis(20)).await;
                }
                (served, sent)
            });
        }
        let counts = futures_util::future::join_all(calls).await;
        counts.into_iter().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    /// Returns the unsafe requests that ran more than once.
    fn run_twice(&self) -> Vec<String> {
        let mut runs = std::collections::BTreeMap::<String, usize>::new();
        for server in &self.servers {
            for (request, seen) in server.all_runs() {
                if seen[0].path.starts_with("/book/") {
                    *runs.entry(request).or_default() += seen.len();
                }
            }
        }
        runs.into_iter().filter(|it| 1 < it.1).map(|it| it.0).collect()
    }

    fn accepted(&self) -> u32 {
        self.links[0].iter().map(|it| it.accepted.load(Ordering::Relaxed)).sum()
    }
}

/// Guards against an entry VM that has lost its links to all backend servers and refuses its callers, although another
/// VM could carry their requests.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::silent(Cut::Silent)]
#[case::refuse(Cut::Refuse)]
#[tokio::test]
async fn callers_of_a_vm_without_links_to_servers_are_served(#[case] cut: Cut) {
    let deployment = Deployment::start().await;
    let (served, sent) = deployment.call(WARM_UP, "before", CALLERS_BEFORE).await;
    assert_eq!(served, sent, "before the cut");
    deployment.set_links(0..1, cut);
    deployment.call(SETTLE, "settling", CALLERS).await;
    let (served, sent) = deployment.call(MEASURED, "cut", CALLERS).await;
    assert!(10 < sent && 2 * sent <= 3 * served, "{served} of {sent} served while cut off");
    deployment.set_links(0..1, Cut::None);
    let before = deployment.accepted();
    deployment.call(SETTLE, "healing", CALLERS).await;
    let (served, sent) = deployment.call(MEASURED, "after", CALLERS).await;
    assert_eq!(served, sent, "after the cut");
    if cut != Cut::Refuse {
        wait_until("the VM uses its own links again", || before < deployment.accepted()).await;
    }
    assert_eq!(deployment.run_twice(), Vec::<String>::new());
}

/// Guards against requests that VMs without links pass to each other in circles or hold until their deadline, and against
/// a VM that is passed requests and never notices that it is cut off, because it knows no other VM.
#[rstest]
#[case::strangers(false)]
#[case::acquainted(true)]
#[tokio::test]
async fn callers_are_rejected_at_once_while_no_vm_reaches_a_server(#[case] acquainted: bool) {
    /// Time for the answers of the other VM and for a busy machine; the requests have 1,500 ms.
    const AT_ONCE: Duration = Duration::from_millis(500);
    /// Number of requests, more than are sent while a VM that declined is not asked again.
    const REQUESTS: usize = 25;
    let deployment = Deployment::start().await;
    if acquainted {
        deployment.introduce();
    }
    deployment.set_links(0..2, Cut::Silent);
    deployment.call(SETTLE, "settling", CALLERS).await;
    for number in 0..REQUESTS {
        let (sent, id) = (Instant::now(), format!("cut-{number}"));
        let answer = deployment.entry.send(Method::POST, "/book/x", &id).await;
        let took = sent.elapsed();
        assert_eq!(answer.status(), 503, "after {took:?}");
        assert!(answer.headers().contains_key("retry-after"));
        assert!(took < AT_ONCE, "{took:?}");
        let runs: u32 = deployment.servers.iter().map(|it| it.runs(&id)).sum();
        assert_eq!(runs, 0);
        sleep(Duration::from_millis(100)).await;
    }
    deployment.set_links(0..2, Cut::None);
    deployment.call(SETTLE, "healing", CALLERS).await;
    let (served, sent) = deployment.call(MEASURED, "after", CALLERS).await;
    assert_eq!(served, sent, "after the cut");
}

/// Guards against a request that an older configuration routes, because it is passed to a VM that has not read the newer
/// one yet.
#[tokio::test]
async fn a_vm_with_an_older_configuration_gets_no_requests() {
    let deployment = Deployment::start().await;
    deployment.set_links(0..1, Cut::Reset);
    deployment.call(SETTLE, "settling", CALLERS).await;
    assert_eq!(deployment.entry.send(Method::GET, "/look/x", "same").await.status(), 200);
    deployment.stores[0].put("op/config", &config(8, "/look/"));
    sleep(SETTLE).await;
    let answer = deployment.entry.send(Method::GET, "/look/x", "newer").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    deployment.stores[1].put("op/config", &config(8, "/look/"));
    sleep(SETTLE).await;
    assert_eq!(deployment.entry.send(Method::GET, "/look/x", "equal").await.status(), 200);
}
