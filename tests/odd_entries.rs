//! Odd entries of another writer in the store, at the level of the watcher and of the process.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod watchers;

use std::{process::Stdio, rc::Rc, time::Duration};

use desk::{RUN_TIME, config};
use entry::{EntryProcess, ListenAddresses};
use futures_util::future::join_all;
use reqwest::Method;
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::{StandInServer, StandInStore, wait_until};
use th_gateway::Core;
use th_protocol::BackendId;
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};
use watchers::{in_force, limited, register, start_vm, write_config};

/// Limit of the settings on configurations and drains.
const LIMIT: Duration = Duration::from_millis(2_500);
/// Time from one write of a server's entry to the next.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Levels of nesting under which a parser that calls itself overflows its stack.
const DEPTH: usize = 200_000;
/// Size of an entry that is far too long.
const LARGE: usize = 1 << 20;
/// Key of the entry that is odd.
const SERVER: &str = "servers/i-odd";
/// Longest line that a process may write about an entry, in bytes; escapes of JSON included.
const MAX_LINE: usize = 16_384;

/// What another writer may leave in the store.
#[derive(Clone)]
enum Odd {
    Value(Vec<u8>),
    /// A value that the store passes on as it is, where an encoded one is due.
    Undecodable(String),
}

fn usual() -> Value {
    json!({"service": "desk", "address": "127.0.0.1:9", "zone": "north-a", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": 1_700_000_000_000_u64})
}

/// The text of an entry of a server in which a field has another value.
fn with(field: &str, value: &str) -> Odd {
    let mut entry = usual();
    entry[field] = json!("@");
    Odd::Value(entry.to_string().replace("\"@\"", value).into_bytes())
}

/// Odd entries of a kind; large ones are a kind of their own.
fn odd_entries(kind: &str) -> Vec<(&'static str, Odd)> {
    let bytes = |text: &str| Odd::Value(text.as_bytes().to_vec());
    let nested = |open: &str, close: &str| open.repeat(DEPTH) + "7" + &close.repeat(DEPTH);
    match kind {
        "numbers" => vec![
            ("slots", with("slots", "4294967295")),
            ("slots-beyond", with("slots", "1e999")),
            ("slots-none", with("slots", "0")),
            ("cold", with("cold_remaining_ms", "1e308")),
            ("sequence", with("sequence", "18446744073709551616")),
            ("born", with("born", "-1")),
        ],
        "addresses" => vec![
            ("port-zero", with("address", "\"127.0.0.1:0\"")),
            ("port-beyond", with("address", "\"127.0.0.1:65536\"")),
            ("port", with("address", "\"127.0.0.1:99999999\"")),
            ("host", with("address", "\"0.0.0.0:80\"")),
        ],
        "bytes" => vec![
            ("empty", bytes("")),
            ("list", bytes("[]")),
            ("binary", Odd::Value(vec![0xff, 0xfe, 0, 1])),
        ],
        "undecodable" => vec![
            ("undecodable", Odd::Undecodable("not base64!".to_owned())),
            ("unpadded", Odd::Undecodable("e30".to_owned())),
        ],
        "nested" => vec![("nested", bytes(&nested("[", "]")))],
        "nested-field" => vec![("nested-field", with("slots", &nested("[", "]")))],
        "nested-more" => vec![("nested-more", with("more", &nested("{\"a\":", "}")))],
        "large" => vec![("large", with("state", &format!("\"{}\"", "x".repeat(LARGE))))],
        _ => panic!("no odd entries of kind {kind}"),
    }
}

fn put(store: &StandInStore, key: &str, odd: &Odd) {
    match odd {
        Odd::Value(value) => store.put_bytes(key, value),
        Odd::Undecodable(text) => store.put_encoded(key, text),
    }
}

fn id(text: &str) -> BackendId {
    text.parse().unwrap()
}

fn knows(core: &Rc<Core>, server: &str) -> bool {
    core.dispatcher.borrow().backend(&id(server)).is_some()
}

/// Waits until a server is known to all VMs or to none, or until twice the limit has passed. Returns the time that it took.
async fn until_known(cores: &[Rc<Core>], server: &str, known: bool) -> Duration {
    let started = Instant::now();
    while cores.iter().any(|it| knows(it, server) != known) && started.elapsed() < 2 * LIMIT {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// When an odd entry is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    /// Before the VMs start, so that they read it with everything.
    Before,
    /// While they follow.
    Later,
    /// In place of a good entry.
    Instead,
}

/// Writes an odd entry, and checks that its key names no server while all others and a configuration hold in time.
async fn play(vms: usize, key: String, odd: Odd, moment: Moment) -> Vec<String> {
    let (store, mut faults) = (StandInStore::start().await, Vec::new());
    store.put("servers/i-1", &usual());
    write_config(&store, 1);
    if moment == Moment::Before {
        put(&store, &key, &odd);
    } else if moment == Moment::Instead {
        store.put(&key, &usual());
    }
    // Behind it, in the order of keys.
    store.put("servers/i-z", &usual());
    let started: Vec<_> = (1..=vms).map(|it| start_vm(it, store.address, LIMIT)).collect();
    for (_, record) in &started {
        register(&store, record);
    }
    let cores: Vec<_> = started.iter().map(|it| Rc::clone(it.0.core())).collect();
    let mut check = |what: &str, took: Duration| {
        if LIMIT < took {
            faults.push(format!("{what}: not after {took:?}"));
        }
    };
    check("the first configuration", in_force(&cores, 1, LIMIT).await);
    check("a server behind it", until_known(&cores, "i-z", true).await);
    // The VMs know each other, and one follows the other.
    sleep(LIMIT).await;
    if moment != Moment::Before {
        put(&store, &key, &odd);
        check("the odd entry", until_known(&cores, "i-odd", false).await);
    }
    // In one answer with it.
    store.put("servers/i-2", &usual());
    store.remove("servers/i-z");
    write_config(&store, 2);
    check("a configuration", in_force(&cores, 2, LIMIT).await);
    check("a new server", until_known(&cores, "i-2", true).await);
    check("a removal", until_known(&cores, "i-z", false).await);
    // Its entry is repeated, while others change.
    for version in 3..6 {
        put(&store, &key, &odd);
        write_config(&store, version);
        check("a later configuration", in_force(&cores, version, LIMIT).await);
    }
    check("the odd entry", until_known(&cores, "i-odd", false).await);
    if key == SERVER {
        store.put(&key, &usual());
        check("a good entry in its place", until_known(&cores, "i-odd", true).await);
    }
    check("the first server", until_known(&cores, "i-1", true).await);
    faults
}

async fn play_all(vms: usize, prefix: &str, kind: &str, moment: Moment) {
    let odd = odd_entries(kind);
    let plays = odd.iter().map(|(_, it)| play(vms, format!("{prefix}i-odd"), it.clone(), moment));
    let faults = LocalSet::new().run_until(join_all(plays)).await;
    let mut seen = Vec::new();
    for ((name, _), faults) in odd.iter().zip(faults) {
        if !faults.is_empty() {
            seen.push(format!("{name}: {faults:?}"));
        }
    }
    assert!(seen.is_empty(), "{seen:#?}");
}

/// Guards against VMs that stop following the store, at one entry that they cannot read: the odd entry of the users' letter.
#[rstest]
#[tokio::test]
async fn an_odd_entry_names_no_server_and_all_others_hold(
    #[values((1, Moment::Before), (3, Moment::Later), (3, Moment::Instead))] when: (usize, Moment),
    #[values(
        "numbers",
        "addresses",
        "bytes",
        "undecodable",
        "nested",
        "nested-field",
        "nested-more",
        "large"
    )]
    kind: &str,
) {
    play_all(when.0, "servers/", kind, when.1).await;
}

/// The same for the other lists, and for keys that no reader knows.
#[rstest]
#[tokio::test]
async fn odd_items_elsewhere_disturb_nothing(
    #[values("th/vm/", "th/crash/", "op/evacuate/", "elsewhere/")] prefix: &str,
    #[values("bytes", "undecodable", "nested", "large")] kind: &str,
) {
    play_all(2, prefix, kind, Moment::Later).await;
}

/// Keys that name no server, VM, crash or data centre.
#[tokio::test]
async fn odd_keys_disturb_nothing() {
    let long = "n".repeat(190);
    let mut plays = Vec::new();
    for key in [
        "",
        "/",
        "a/b",
        "A",
        "\u{1F600}",
        "\u{7}",
        "\"",
        "%2F",
        "i@x",
        "0/i-1@99999999999999999999999",
        &long,
    ] {
        for prefix in ["servers/", "th/vm/", "th/crash/", "op/evacuate/"] {
            plays.push(play(
                2,
                format!("{prefix}{key}"),
                Odd::Value(b"{}".to_vec()),
                Moment::Later,
            ));
        }
    }
    let faults = LocalSet::new().run_until(join_all(plays)).await;
    assert!(faults.iter().all(Vec::is_empty), "{faults:#?}");
}

/// All kinds of odd entries.
const KINDS: [&str; 8] = [
    "numbers",
    "addresses",
    "bytes",
    "undecodable",
    "nested",
    "nested-field",
    "nested-more",
    "large",
];

/// Waits until a server runs requests of a process.
async fn wait_until_used(entry: &EntryProcess, server: &StandInServer) {
    let (before, started) = (server.total_runs(), Instant::now());
    while server.total_runs() == before {
        assert!(started.elapsed() < 2 * LIMIT, "{} gets no requests", server.id);
        let id = format!("{}-{:?}", server.id, started.elapsed());
        entry.send(Method::POST, "/book/x", &id).await;
    }
}

/// The lines of a log that name a key.
fn lines_about(log: &str, key: &str) -> Vec<String> {
    let named = format!("key={key} ");
    log.lines().filter(|it| it.contains(&named)).map(str::to_owned).collect()
}

/// Guards against processes that end, or stop following, at an odd entry. It is at its place before the second process starts,
/// and comes and goes while the first one serves.
#[tokio::test]
async fn processes_serve_and_follow_beside_odd_entries() {
    let store = StandInStore::start().await;
    let first = StandInServer::start("i-1", RUN_TIME).await;
    store.put("servers/i-1", &first.entry("ready"));
    store.put("op/config", &config(1, "/v1/"));
    let mut entries = Vec::new();
    let mut logs = Vec::new();
    for number in 1..=2 {
        let listen = ListenAddresses::free();
        let settings = limited(number, listen, store.address, LIMIT);
        let log = tempfile::NamedTempFile::new().unwrap();
        let output = Stdio::from(log.reopen().unwrap());
        let entry = EntryProcess::start(listen, &settings, output);
        entry.wait_until_ready().await;
        entry.wait_for_status("/v1/first", 200).await;
        entries.push(entry);
        logs.push(log);
        if number == 1 {
            for kind in KINDS {
                for (name, odd) in odd_entries(kind) {
                    put(&store, &format!("servers/i-{name}"), &odd);
                }
            }
        }
    }
    wait_until("both are registered", || store.keys("th/vm/").len() == 2).await;
    // Odd entries in place of a good one, of a VM's and of a crash.
    let second = StandInServer::start("i-2", RUN_TIME).await;
    for (version, kind) in (2..).zip(KINDS) {
        store.put("servers/i-2", &second.entry("ready"));
        store.remove("servers/i-1");
        for entry in &entries {
            wait_until_used(entry, &second).await;
        }
        // It goes on writing, as servers do that were removed and live.
        store.put("servers/i-1", &first.entry("ready"));
        sleep(HEARTBEAT).await;
        store.put("servers/i-1", &first.entry("ready"));
        let (_, odd) = odd_entries(kind).remove(0);
        for key in ["servers/i-2", "th/vm/vm-odd", "th/crash/odd/i-odd"] {
            put(&store, key, &odd);
        }
        let path = format!("/v{version}/");
        store.put("op/config", &config(version, &path));
        let written = Instant::now();
        for entry in &entries {
            entry.wait_for_status(&format!("{path}x"), 200).await;
            let took = written.elapsed();
            assert!(took <= LIMIT, "{kind}: in force after {took:?}");
        }
        // They were written before the configuration.
        let runs = second.total_runs();
        for number in 0..20 {
            for entry in &entries {
                let id = format!("{version}-{number}");
                assert_eq!(entry.send(Method::GET, &format!("{path}x"), &id).await.status(), 200);
            }
        }
        assert_eq!(
            second.total_runs(),
            runs,
            "{kind}: a server without a usable entry got requests"
        );
    }
    for entry in &mut entries {
        assert_eq!(entry.exit_status(), None);
    }
    for log in &logs {
        let text = std::fs::read_to_string(log.path()).unwrap();
        for kind in KINDS {
            for (name, _) in odd_entries(kind) {
                let lines = lines_about(&text, &format!("servers/i-{name}"));
                let reason =
                    lines.iter().any(|it| it.contains("Invalid entry of a backend server"));
                assert!(reason, "{name}: {lines:?}");
            }
        }
        let longest = text.lines().map(str::len).max().unwrap();
        assert!(longest <= MAX_LINE, "a line of {longest} bytes");
    }
}
