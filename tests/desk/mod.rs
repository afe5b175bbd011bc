//! A deployment on the users' platform: a stand-in store, backend servers of one service, and one entry process.

#![allow(dead_code, reason = "no test file uses all items")]

use std::{net::SocketAddr, process::Stdio, time::Duration};

use reqwest::{Method, Response};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    entry::{EntryProcess, ListenAddresses, settings},
    stand_in::{StandInServer, StandInStore},
};

/// Time for which a backend server runs a request.
pub(crate) const RUN_TIME: Duration = Duration::from_millis(20);

pub(crate) fn start(store: &StandInStore) -> EntryProcess {
    let listen = ListenAddresses::free();
    EntryProcess::start(listen, &settings("vm-1", "north-a", listen, store.address), Stdio::null())
}

impl EntryProcess {
    pub(crate) async fn send(&self, method: Method, path: &str, id: &str) -> Response {
        let url = format!("http://{}{path}", self.listen.callers);
        let request = self.client.request(method, url).header("host", "desk.example");
        let request = request.header("attempt-id", id).header("request-deadline", "4000");
        request.header("cookie", "Affinity-Key=17").body("body").send().await.unwrap()
    }

    /// Returns the sum of the metrics whose lines begin with that text; the settings must name their listener.
    pub(crate) async fn metric(&self, metrics: SocketAddr, prefix: &str) -> u64 {
        let url = format!("http://{metrics}/metrics");
        let text = self.client.get(url).send().await.unwrap().text().await.unwrap();
        let lines = text.lines().filter(|it| it.starts_with(prefix));
        lines.map(|it| it.rsplit(' ').next().unwrap().parse::<u64>().unwrap()).sum()
    }

    /// Sends requests, each as a new attempt, until the answer has that status.
    pub(crate) async fn wait_for_status(&self, path: &str, status: u16) {
        for attempt in 0..3_000 {
            if self.send(Method::GET, path, &format!("until-{attempt}")).await.status() == status {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("{path} does not reach status {status}");
    }

    pub(crate) async fn is_returned(&self, address: SocketAddr) -> bool {
        let url =
            format!("http://{}/-/resolve?name=desk.example&zone=north-a", self.listen.lookups);
        let answer: Value = self.client.get(url).send().await.unwrap().json().await.unwrap();
        answer["addresses"].as_array().unwrap().contains(&json!(address.to_string()))
    }

    pub(crate) async fn wait_until_returned(&self, address: SocketAddr, returned: bool) {
        for _ in 0..3_000 {
            if self.is_returned(address).await == returned {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("{address} is not {} by look-ups", if returned { "returned" } else { "omitted" });
    }
}

pub(crate) fn config(version: u64, prefix: &str) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": 1500,
            "target_latency_ms": 600, "priority": 1, "service": "desk", "max_attempts": 2, "sticky": true})
    };
    json!({"version": format!("{version:08x}"), "routes": [route("look", prefix, "safe"), route("book", "/book/", "unsafe")],
        "services": [{"name": "desk", "cold_per_s": 4.1}], "limits": {}})
}

pub(crate) async fn deployment(servers: usize) -> (StandInStore, Vec<StandInServer>, EntryProcess) {
    let store = StandInStore::start().await;
    let mut started = Vec::new();
    for index in 1..=servers {
        let server = StandInServer::start(&format!("i-{index}"), RUN_TIME).await;
        store.put(&format!("servers/{}", server.id), &server.entry("ready"));
        started.push(server);
    }
    // An invalid entry, and more items than fit on a page.
    store.put_bytes("servers/i-bad", b"\xffnot json");
    store.put("op/config", &config(7, "/look/"));
    let entry = start(&store);
    entry.wait_until_ready().await;
    entry.wait_for_status("/look/first", 200).await;
    (store, started, entry)
}

/// A deployment whose requests are sent to one server each and do not time out.
pub(crate) async fn patient_deployment(
    count: usize,
) -> (StandInStore, Vec<StandInServer>, EntryProcess) {
    let (store, servers, entry) = deployment(count).await;
    let mut config = config(8, "/look/");
    for route in config["routes"].as_array_mut().unwrap() {
        (route["timeout_ms"], route["max_attempts"]) = (json!(600_000), json!(1));
    }
    let mut marker = config["routes"][0].clone();
    (marker["name"], marker["prefix"]) = (json!("marker"), json!("/marker/"));
    config["routes"].as_array_mut().unwrap().push(marker);
    store.put("op/config", &config);
    entry.wait_for_status("/marker/x", 200).await;
    (store, servers, entry)
}
