//! The real program on the users' platform, over loopback against stand-ins: requests, configurations, entries, stops.

#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use reqwest::{Client, Method, Response};
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::{Reply, StandInServer, StandInStore, StoreFault, until};
use tokio::time::sleep;

const WORK: Duration = Duration::from_millis(20);

/// A running entry process, ended with the test.
struct Entry {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    lookups: SocketAddr,
    client: Client,
    settings: tempfile::NamedTempFile,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address that nobody else listens at or sends from: each has a loopback host of its own.
fn free() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, high | 1, low, COUNT.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

impl Entry {
    fn start(store: &StandInStore) -> Entry {
        let (callers, ready, lookups) = (free(), free(), free());
        let settings = json!({"vm": "vm-1", "zone": "north-a", "zones": {"north-a": "north", "south-a": "south"},
            "callers": callers, "ready": ready, "lookups": lookups, "store": store.address, "grace": 6});
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(settings.to_string().as_bytes()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_tanagerhollow"))
            .arg("--platform")
            .env("TANAGERHOLLOW_SETTINGS", file.path())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        Entry { child, callers, ready, lookups, client, settings: file }
    }

    async fn until_ready(&self) {
        let url = format!("http://{}/-/readiness", self.ready);
        for _ in 0..3_000 {
            let answer = self.client.get(&url).send().await;
            if answer.is_ok_and(|it| it.status() == 200) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("not ready");
    }

    async fn send(&self, method: Method, path: &str, id: &str) -> Response {
        let url = format!("http://{}{path}", self.callers);
        let request = self.client.request(method, url).header("host", "desk.example");
        let request = request.header("attempt-id", id).header("request-deadline", "4000");
        request.header("cookie", "Affinity-Key=17").body("body").send().await.unwrap()
    }

    /// Sends until the answer has that status, each time as a new attempt.
    async fn until_status(&self, path: &str, status: u16) {
        for attempt in 0..3_000 {
            if self.send(Method::GET, path, &format!("until-{attempt}")).await.status() == status {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("{path} does not come to {status}");
    }

    async fn names(&self, address: SocketAddr) -> bool {
        let url = format!("http://{}/-/resolve?name=desk.example&zone=north-a", self.lookups);
        let named: Value = self.client.get(url).send().await.unwrap().json().await.unwrap();
        named["addresses"].as_array().unwrap().contains(&json!(address.to_string()))
    }

    async fn until_named(&self, address: SocketAddr, named: bool) {
        for _ in 0..3_000 {
            if self.names(address).await == named {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("{address} is not {}", if named { "named" } else { "dropped" });
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }
}

fn config(version: u64, prefix: &str) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": 1500,
            "target_latency_ms": 600, "priority": 1, "service": "desk", "max_attempts": 2, "sticky": true})
    };
    json!({"version": format!("{version:08x}"), "routes": [route("look", prefix, "safe"), route("book", "/book/", "unsafe")],
        "services": [{"name": "desk", "cold_per_s": 4.1}], "limits": {}})
}

async fn deployment(servers: usize) -> (StandInStore, Vec<StandInServer>, Entry) {
    let store = StandInStore::start().await;
    let mut started = Vec::new();
    for index in 1..=servers {
        let server = StandInServer::start(&format!("i-{index}"), WORK).await;
        store.put(&format!("servers/{}", server.id), &server.entry("ready"));
        started.push(server);
    }
    // Another writer's entry, and more items than fit on a page.
    store.put_bytes("servers/i-bad", b"\xffnot json");
    store.put("op/config", &config(7, "/look/"));
    let entry = Entry::start(&store);
    entry.until_ready().await;
    entry.until_status("/look/first", 200).await;
    (store, started, entry)
}

#[tokio::test]
async fn a_request_gets_the_whole_answer_of_its_server() {
    let (store, servers, entry) = deployment(1).await;
    let answer = entry.send(Method::POST, "/book/a?b=c", "one").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["attempt-id"], "one");
    assert_eq!(answer.headers()["server-signature"], "3e1b.07");
    assert_eq!(answer.text().await.unwrap(), "i-1 /book/a?b=c 4");
    assert_eq!(servers[0].runs("one"), 1);
    assert_eq!(entry.send(Method::GET, "/none/", "two").await.status(), 404);
    until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    let url = format!("http://{}/-/resolve?name=desk.example&zone=north-a", entry.lookups);
    let named: Value = entry.client.get(url).send().await.unwrap().json().await.unwrap();
    assert_eq!(named["addresses"][0], json!(entry.callers.to_string()));
}

#[rstest]
// Not run: another server may.
#[case::shed(Reply::Shed, 200, 1)]
// Run, and the answer lost or another's: not again.
#[case::crossed(Reply::Crossed, 502, 1)]
#[case::broken(Reply::Broken, 502, 1)]
#[tokio::test]
async fn an_unsafe_request_runs_once(#[case] reply: Reply, #[case] status: u16, #[case] runs: u32) {
    let (_store, servers, entry) = deployment(2).await;
    for server in &servers {
        server.reply_next(reply);
    }
    let answer = entry.send(Method::POST, "/book/x", "once").await;
    let ran: u32 = servers.iter().map(|it| it.runs("once")).sum();
    // Where both servers shed, the request is refused with the time to come back.
    if reply == Reply::Shed {
        assert_eq!((answer.status().as_u16(), ran), (503, 0));
        assert!(answer.headers().contains_key("retry-after"));
        let again = entry.send(Method::POST, "/book/x", "again").await;
        let ran: u32 = servers.iter().map(|it| it.runs("again")).sum();
        assert_eq!((again.status().as_u16(), ran), (status, runs));
        return;
    }
    assert_eq!((answer.status().as_u16(), ran), (status, runs));
}

#[tokio::test]
async fn a_safe_request_goes_to_another_server_after_a_broken_answer() {
    let (_store, servers, entry) = deployment(2).await;
    servers[0].reply_next(Reply::Broken);
    servers[1].reply_next(Reply::Broken);
    let first = entry.send(Method::GET, "/look/x", "first").await.status();
    let second = entry.send(Method::GET, "/look/x", "second").await.status();
    assert!(first == 200 || second == 200, "{first} {second}");
}

#[tokio::test]
async fn a_draining_server_gets_no_more_work() {
    let (store, servers, entry) = deployment(2).await;
    let leaving = &servers[0];
    store.put(&format!("servers/{}", leaving.id), &leaving.entry("draining"));
    // The change of the configuration comes after it, so both are known then.
    store.put("op/config", &config(8, "/seen/"));
    entry.until_status("/seen/x", 200).await;
    let before = leaving.total();
    for index in 0..20 {
        assert_eq!(entry.send(Method::GET, "/seen/x", &format!("n-{index}")).await.status(), 200);
    }
    assert_eq!(leaving.total(), before);
}

#[rstest]
#[case::older(config(3, "/old/").to_string().into_bytes())]
#[case::unreadable(b"{\"version\": 7".to_vec())]
#[tokio::test]
async fn what_is_in_force_stays(#[case] value: Vec<u8>) {
    let (store, servers, entry) = deployment(1).await;
    store.put_bytes("op/config", &value);
    store.put("op/evacuate/south-a", &json!({}));
    // A new server after it shows that the change was read.
    let server = StandInServer::start("i-9", WORK).await;
    store.put("servers/i-9", &server.entry("ready"));
    store.remove("servers/i-1");
    let first = servers[0].total();
    for attempt in 0..3_000 {
        if 0 < server.total() {
            break;
        }
        entry.send(Method::GET, "/look/x", &format!("try-{attempt}")).await;
        sleep(Duration::from_millis(10)).await;
    }
    assert!(0 < server.total(), "the new server got nothing; the first {first}");
    assert_eq!(entry.send(Method::GET, "/look/x", "kept").await.status(), 200);
    assert_eq!(entry.send(Method::GET, "/old/x", "old").await.status(), 404);
}

#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::limited(StoreFault::Limited)]
#[case::lost(StoreFault::Lost)]
#[tokio::test]
async fn requests_are_served_while_the_store_is_away(#[case] fault: StoreFault) {
    let (store, _servers, entry) = deployment(1).await;
    store.set_fault(Some(fault));
    let calls = store.calls("/-/kv-watch");
    until("a watch has failed", || calls + 2 < store.calls("/-/kv-watch")).await;
    store.put("op/config", &config(8, "/later/"));
    for index in 0..10 {
        let answer = entry.send(Method::GET, "/look/x", &format!("away-{index}")).await;
        assert_eq!(answer.status(), 200);
    }
    store.set_fault(None);
    entry.until_status("/later/x", 200).await;
    until("the VM is registered again", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
}

#[tokio::test]
async fn a_forgotten_history_is_read_anew() {
    let (store, _servers, entry) = deployment(1).await;
    store.put("op/config", &config(8, "/later/"));
    store.forget_history();
    entry.until_status("/later/x", 200).await;
    entry.until_status("/look/x", 404).await;
}

#[tokio::test]
async fn a_stop_cuts_nothing_and_takes_the_entry_back() {
    let (store, _servers, mut entry) = deployment(1).await;
    until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    entry.signal("-TERM");
    until("the entry is taken back", || store.keys("th/vm/").is_empty()).await;
    let url = format!("http://{}/-/readiness", entry.ready);
    assert_eq!(entry.client.get(url).send().await.unwrap().status(), 503);
    let answer = entry.send(Method::GET, "/look/x", "late").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    assert_eq!(entry.child.wait().unwrap().code(), Some(0));
}

/// The store may turn a VM away and serve the others; its entry then lapses though it lives.
#[tokio::test]
async fn a_vm_that_lost_its_entry_is_named_while_it_is_ready() {
    let (store, _servers, entry) = deployment(1).await;
    let (_other_store, _other_servers, other) = deployment(1).await;
    let item = json!({"zone": "north-a", "callers": other.callers, "ready": other.ready});
    store.put("th/vm/vm-2", &item);
    entry.until_named(other.callers, true).await;
    store.remove("th/vm/vm-2");
    store.put("op/config", &config(8, "/seen/"));
    entry.until_status("/seen/x", 200).await;
    sleep(Duration::from_millis(1_500)).await;
    assert!(entry.names(other.callers).await, "it answers, so it is still named");
    drop(other);
    let gone: SocketAddr = item["callers"].as_str().unwrap().parse().unwrap();
    entry.until_named(gone, false).await;
}

#[tokio::test]
async fn a_reload_of_faulty_settings_changes_nothing_for_callers() {
    let (_store, _servers, entry) = deployment(1).await;
    std::fs::write(entry.settings.path(), "{not settings").unwrap();
    entry.signal("-HUP");
    for index in 0..10 {
        let answer = entry.send(Method::GET, "/look/x", &format!("hup-{index}")).await;
        assert_eq!(answer.status(), 200);
    }
}
