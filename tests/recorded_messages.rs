//! Messages of earlier builds, recorded as files, are read by this one, and its own by a reader as strict as theirs.
//!
//! To record the messages of a build: `RECORD_PROGRAM=PATH RECORD_DIR=tests/recorded/COMMIT cargo test --test recorded_messages`.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    cmp::Reverse,
    convert::Infallible,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use desk::config;
use entry::{EntryProcess, ListenAddresses, settings};
use http::Response;
use http_body_util::{BodyExt, Full};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use reqwest::Method;
use serde_bytes::ByteBuf;
use serde_json::json;
use stand_in::{StandInStore, wait_until};
use th_steer::route::{hash_name, mix};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// An answer to a request for changes as builds read it that know no other fields: changes, revision, age.
type StrictAnswer = (Vec<(String, Option<ByteBuf>, u64)>, u64, u64);
/// A request for changes as they read it: revision and wait.
type StrictRequest = (u64, u64);

/// Longer than a VM takes to know a change.
const LIMIT: Duration = Duration::from_secs(5);

fn start(program: &Path, name: &str, store: &StandInStore) -> EntryProcess {
    let listen = ListenAddresses::free();
    let settings = settings(name, "north-a", listen, store.address);
    EntryProcess::start_program(program, listen, &settings, Stdio::null())
}

fn this_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_tanagerhollow"))
}

/// Lets a VM read a configuration and then a newer one. Returns its answer to a request for the changes between, and its entry.
async fn messages(program: &Path) -> (Vec<u8>, Vec<u8>) {
    let store = StandInStore::start().await;
    store.put("op/config", &config(7, "/v7/"));
    let entry = start(program, "vm-1", &store);
    entry.wait_until_ready().await;
    wait_until("the VM is registered", || store.keys("th/vm/").len() == 1).await;
    let after = store.copy().revision;
    store.put("op/config", &config(8, "/v8/"));
    let asked = rmp_serde::to_vec::<StrictRequest>(&(after, 0)).unwrap();
    let url = format!("http://{}/v1/changes", entry.listen.peers);
    let end = Instant::now() + LIMIT;
    loop {
        let answer = entry.client.post(&url).body(asked.clone()).send().await.unwrap();
        let body = answer.bytes().await.unwrap().to_vec();
        let read = rmp_serde::from_slice::<StrictAnswer>(&body).expect("an earlier build reads it");
        if !read.0.is_empty() {
            return (body, store.value("th/vm/vm-1").unwrap());
        }
        assert!(Instant::now() < end, "the VM passes on no change");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A VM of another build, which answers each request for changes with a recorded message. Returns its address, and the requests
/// that it got.
async fn start_recorded_vm(answer: Vec<u8>) -> (SocketAddr, Arc<Mutex<Vec<Vec<u8>>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
    let (answer, got) = (Bytes::from(answer), Arc::clone(&requests));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, got) = (answer.clone(), Arc::clone(&got));
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                let (answer, got) = (answer.clone(), Arc::clone(&got));
                async move {
                    let body = request.into_body().collect().await.unwrap().to_bytes();
                    got.lock().unwrap().push(body.to_vec());
                    Ok::<_, Infallible>(Response::new(Full::new(answer)))
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, requests)
}

fn recorded(build: &str, name: &str) -> Vec<u8> {
    fs::read(Path::new("tests/recorded").join(build).join(name)).unwrap()
}

/// Guards against VMs that cannot read the changes that VMs of an earlier build pass on, or ask in a way that those cannot read.
#[tokio::test]
async fn changes_that_an_earlier_build_passes_on_are_applied() {
    let store = StandInStore::start().await;
    store.put("op/config", &config(7, "/v7/"));
    let (peers, requests) = start_recorded_vm(recorded("beadf43", "changes")).await;
    // The VM that comes first in the common order is the one that is asked.
    let mut names = ["vm-1", "vm-2"];
    names.sort_by_key(|it| Reverse(mix(hash_name(it))));
    let mut old: serde_json::Value = serde_json::from_slice(&recorded("beadf43", "entry")).unwrap();
    old["peers"] = json!(peers);
    store.put(&format!("th/vm/{}", names[0]), &old);
    let entry = start(&this_program(), names[1], &store);
    entry.wait_until_ready().await;
    let end = Instant::now() + LIMIT;
    while entry.send(Method::GET, "/v8/x", "recorded").await.status() == 404 {
        assert!(Instant::now() < end, "the recorded configuration is not in force");
        sleep(Duration::from_millis(20)).await;
    }
    for request in requests.lock().unwrap().iter() {
        rmp_serde::from_slice::<StrictRequest>(request).unwrap();
    }
}

/// Guards against messages that earlier builds cannot read. Records them instead, if asked to.
#[tokio::test]
async fn an_earlier_build_can_read_the_messages_of_this_one() {
    if let (Ok(program), Ok(dir)) = (std::env::var("RECORD_PROGRAM"), std::env::var("RECORD_DIR")) {
        let (changes, entry) = messages(Path::new(&program)).await;
        fs::create_dir_all(&dir).unwrap();
        fs::write(Path::new(&dir).join("changes"), changes).unwrap();
        fs::write(Path::new(&dir).join("entry"), entry).unwrap();
        return;
    }
    let (changes, entry) = messages(&this_program()).await;
    let (changes, at, _) = rmp_serde::from_slice::<StrictAnswer>(&changes).unwrap();
    let (old, old_at, _) =
        rmp_serde::from_slice::<StrictAnswer>(&recorded("beadf43", "changes")).unwrap();
    assert_eq!((changes, at), (old, old_at));
    // An earlier build needs these fields of an entry.
    let entry: serde_json::Value = serde_json::from_slice(&entry).unwrap();
    let old: serde_json::Value = serde_json::from_slice(&recorded("beadf43", "entry")).unwrap();
    for (field, value) in old.as_object().unwrap() {
        assert_eq!(entry[field].is_string(), value.is_string(), "{field}");
    }
}
