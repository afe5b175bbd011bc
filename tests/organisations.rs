//! Organisations on the users' platform: keys, the organisation that backend servers see, and withdrawn keys.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{process::Stdio, time::Duration};

use desk::{RUN_TIME, config};
use entry::{EntryProcess, ListenAddresses, settings};
use futures_util::future::{join, join_all};
use reqwest::{Method, Response};
use rstest::rstest;
use serde_json::{Value, json};
use stand_in::{StandInServer, StandInStore, wait_until};
use tokio::time::{Instant, sleep};

/// Limit on the use of a withdrawn key.
const REVOCATION: Duration = Duration::from_secs(2);

fn config_of(version: u64, keys: &Value) -> Value {
    let mut item = config(version, "/look/");
    let mut public = item["routes"][0].clone();
    public["name"] = json!("open");
    public["prefix"] = json!("/open/");
    public["public"] = json!(true);
    item["routes"].as_array_mut().unwrap().push(public);
    item["tenants"] = json!([
        {"name": "port", "api_keys": keys},
        {"name": "quay", "api_keys": ["k-quay"]}]);
    item
}

fn start(store: &StandInStore, vm: &str) -> EntryProcess {
    let listen = ListenAddresses::free();
    let mut item = settings(vm, "north-a", listen, store.address);
    item["revocation_limit"] = json!(REVOCATION.as_millis() as u64);
    EntryProcess::start(listen, &item, Stdio::null())
}

async fn deployment() -> (StandInStore, StandInServer, EntryProcess) {
    let store = StandInStore::start().await;
    let server = StandInServer::start("i-1", RUN_TIME).await;
    store.put("servers/i-1", &server.entry("ready"));
    store.put("op/config", &config_of(7, &json!(["k-port", "k-old"])));
    let entry = start(&store, "vm-1");
    entry.wait_until_ready().await;
    entry.wait_for_status("/open/first", 200).await;
    (store, server, entry)
}

async fn send(entry: &EntryProcess, path: &str, id: &str, headers: &[(&str, &str)]) -> Response {
    let url = format!("http://{}{path}", entry.listen.callers);
    let mut request = entry.client.request(Method::POST, url).header("host", "desk.example");
    request = request.header("attempt-id", id).header("request-deadline", "4000");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body("body").send().await.unwrap()
}

/// Sends requests with a key until the answer has that status.
async fn wait_until_status(entry: &EntryProcess, path: &str, key: &str, status: u16) {
    for number in 0..1_500 {
        let headers = [("credential", key)];
        let answer = send(entry, path, &format!("until-{number}"), &headers).await;
        if answer.status() == status {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{path} does not reach status {status}");
}

#[rstest]
#[case::known("/book/x", &[("credential", "k-port")], 200, Some("port"))]
#[case::claims_another("/book/x", &[("credential", "k-port"), ("tenant", "quay")], 200, Some("port"))]
#[case::unknown("/book/x", &[("credential", "k-none")], 401, None)]
#[case::none("/book/x", &[("tenant", "port")], 401, None)]
#[case::two("/book/x", &[("credential", "k-port"), ("credential", "k-quay")], 401, None)]
#[case::public("/open/x", &[], 200, None)]
#[case::public_with_claim("/open/x", &[("credential", "k-port"), ("tenant", "port")], 200, None)]
#[tokio::test]
async fn servers_see_the_organisation_and_no_key(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] organisation: Option<&str>,
) {
    let (_store, server, entry) = deployment().await;
    assert_eq!(send(&entry, path, "asked", headers).await.status(), status);
    let runs = server.all_runs().remove("asked").unwrap_or_default();
    assert_eq!(runs.len(), usize::from(status == 200));
    for run in runs {
        assert_eq!(run.organisation.as_deref(), organisation);
        assert!(!run.has_key);
    }
}

#[tokio::test]
async fn keys_are_withdrawn_and_added_by_new_versions() {
    let (store, _server, entry) = deployment().await;
    let key = |key| [("credential", key)];
    assert_eq!(send(&entry, "/book/x", "old-1", &key("k-old")).await.status(), 200);
    store.put("op/config", &config_of(8, &json!(["k-port", "k-new"])));
    let mut number = 0;
    while send(&entry, "/book/x", &format!("new-{number}"), &key("k-new")).await.status() != 200 {
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(send(&entry, "/book/x", "old-2", &key("k-old")).await.status(), 401);
    assert_eq!(send(&entry, "/book/x", "kept", &key("k-port")).await.status(), 200);
}

/// Guards against a VM that is cut off from the store and goes on running requests with keys that were withdrawn.
#[tokio::test]
async fn a_vm_without_news_of_the_store_runs_no_requests_with_keys() {
    let (store, server, entry) = deployment().await;
    let key = [("credential", "k-old")];
    store.set_silent(true);
    let cut = Instant::now();
    let (mut number, mut last) = (0, cut);
    loop {
        let sent = Instant::now();
        let answer = send(&entry, "/book/x", &format!("cut-{number}"), &key).await;
        if answer.status() == 503 {
            assert!(answer.headers().contains_key("retry-after"));
            break;
        }
        assert_eq!(answer.status(), 200);
        (number, last) = (number + 1, sent);
        assert!(sent.duration_since(cut) < REVOCATION, "the key is still accepted");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(last.duration_since(cut) < REVOCATION);
    // What needs no key goes on.
    assert_eq!(send(&entry, "/open/x", "open", &[]).await.status(), 200);
    assert_eq!(server.runs(&format!("cut-{number}")), 0);
    store.set_silent(false);
    let mut back = 0;
    while send(&entry, "/book/x", &format!("back-{back}"), &key).await.status() != 200 {
        back += 1;
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against requests that run outside the home regions that their organisation or route got while they waited for a slot.
#[rstest]
#[case::organisation("/tenants/0/home_regions")]
#[case::route("/routes/1/home_regions")]
#[tokio::test]
async fn a_request_that_waited_runs_in_the_homes_of_the_newest_configuration(#[case] place: &str) {
    let (store, server, entry) = deployment().await;
    let key = [("credential", "k-port")];
    let config = |version: u64, homes: &[&str]| {
        let mut config = config_of(version, &json!(["k-port"]));
        config["routes"][1]["timeout_ms"] = json!(4_000);
        for at in ["/tenants/0", "/routes/1"] {
            config.pointer_mut(at).unwrap()["home_regions"] = json!([]);
        }
        *config.pointer_mut(place).unwrap() = json!(homes);
        config
    };
    store.put("op/config", &config(8, &["north"]));
    wait_until_status(&entry, "/book/x", "k-old", 401).await;
    server.set_work(Duration::from_millis(1_200));
    let before = server.total_runs();
    let running = join_all(
        ["a", "b", "c", "d"].map(|id| async { send(&entry, "/book/x", id, &key).await.status() }),
    );
    let waiting = async {
        wait_until("the slots are taken", || server.total_runs() == before + 4).await;
        store.put("op/config", &config(9, &["south"]));
        send(&entry, "/book/x", "waited", &key).await.status()
    };
    let (running, waited) = join(running, waiting).await;
    assert!(running.iter().all(|it| *it == 200), "{running:?}");
    assert_eq!((waited.as_u16(), server.runs("waited")), (503, 0));
}

/// Guards against a withdrawn key that is in use again after a restart of the process.
#[tokio::test]
async fn a_restarted_process_takes_no_withdrawn_key_back() {
    let (store, server, entry) = deployment().await;
    store.put("op/config", &config_of(8, &json!(["k-port"])));
    drop(entry);
    let entry = start(&store, "vm-1");
    entry.wait_until_ready().await;
    for number in 0..50 {
        let id = format!("again-{number}");
        let answer = send(&entry, "/book/x", &id, &[("credential", "k-old")]).await;
        assert_ne!(answer.status(), 200);
        assert_eq!(server.runs(&id), 0);
    }
    wait_until("the VM is registered", || store.keys("th/vm/") == ["th/vm/vm-1"]).await;
    assert_eq!(send(&entry, "/book/x", "kept", &[("credential", "k-port")]).await.status(), 200);
}

/// Guards against an invalid configuration that is put in force in part, or closes the routes to all.
#[tokio::test]
async fn a_configuration_with_a_shared_key_changes_nothing() {
    let (store, server, entry) = deployment().await;
    store.put("op/config", &config_of(8, &json!(["k-port", "k-quay"])));
    // Once the VM uses a server that was written later, it has read the configuration.
    let later = StandInServer::start("i-2", RUN_TIME).await;
    store.put("servers/i-2", &later.entry("ready"));
    store.put("servers/i-1", &server.entry("draining"));
    let mut number = 0;
    while later.total_runs() == 0 {
        send(&entry, "/open/x", &format!("until-{number}"), &[]).await;
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
    for key in ["k-port", "k-old", "k-quay"] {
        let answer = send(&entry, "/book/x", key, &[("credential", key)]).await;
        assert_eq!(answer.status(), 200, "{key}");
    }
}

/// An organisation with a quota that is asked for far more gets what it may, and is told when to come back.
#[tokio::test]
async fn requests_beyond_the_quota_are_refused_and_not_run() {
    let (store, server, entry) = deployment().await;
    let mut item = config_of(8, &json!(["k-port"]));
    item["tenants"][0]["per_s"] = json!(2);
    item["tenants"][0]["burst"] = json!(2);
    store.put("op/config", &item);
    let key = [("credential", "k-port")];
    let (mut admitted, mut refused) = (0, Vec::new());
    for number in 0..400 {
        let id = format!("ask-{number}");
        let answer = send(&entry, "/book/x", &id, &key).await;
        match answer.status().as_u16() {
            200 => admitted += 1,
            429 => {
                let wait = answer.headers()["retry-after"].to_str().unwrap();
                assert!(wait.parse::<f64>().unwrap() < 5.0, "{wait}");
                refused.push(id);
            }
            other => panic!("status {other}"),
        }
        if 20 <= refused.len() {
            break;
        }
    }
    assert!(0 < admitted && 20 <= refused.len(), "{admitted} {}", refused.len());
    for id in refused {
        assert_eq!(server.runs(&id), 0);
    }
    // Another organisation and public routes are not touched.
    assert_eq!(send(&entry, "/book/x", "quay", &[("credential", "k-quay")]).await.status(), 200);
    assert_eq!(send(&entry, "/open/x", "open", &[]).await.status(), 200);
}
