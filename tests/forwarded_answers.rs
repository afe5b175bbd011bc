//! Answers to requests that an entry VM without links to backend servers passes on to others.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::process::Stdio;

use desk::config;
use entry::{EntryProcess, ListenAddresses, free, settings};
use reqwest::Method;
use rstest::rstest;
use serde_json::json;
use stand_in::{
    Moment, REFUSED, RepeatingServer, Repeats, STATUS_MARK, StandInStore, UNSIGNED_MARK,
};

const ROUNDS: u32 = 5;

/// A VM that callers use and that reaches no server, and two others that do.
struct Deployment {
    _stores: [StandInStore; 2],
    servers: Vec<RepeatingServer>,
    entry: EntryProcess,
    _others: Vec<EntryProcess>,
}

impl Deployment {
    async fn start() -> Deployment {
        let stores = [StandInStore::start().await, StandInStore::start().await];
        let mut servers = Vec::new();
        for id in ["i-1", "i-2"] {
            let repeats = Repeats { moment: Moment::Never, ..Repeats::default() };
            let server = RepeatingServer::start(id, repeats).await;
            let mut unreachable = server.entry();
            unreachable["address"] = json!(free());
            stores[0].put(&format!("servers/{id}"), &unreachable);
            stores[1].put(&format!("servers/{id}"), &server.entry());
            servers.push(server);
        }
        for store in &stores {
            store.put("op/config", &config(7, "/look/"));
        }
        let mut others = Vec::new();
        for vm in ["vm-2", "vm-3"] {
            let listen = ListenAddresses::free();
            let settings = settings(vm, "south-a", listen, stores[1].address);
            let other = EntryProcess::start(listen, &settings, Stdio::null());
            other.wait_until_ready().await;
            other.wait_for_status("/look/first", 200).await;
            let record = json!({"zone": "south-a", "callers": listen.callers, "ready": listen.ready, "peers": listen.peers});
            stores[0].put(&format!("th/vm/{vm}"), &record);
            others.push(other);
        }
        let listen = ListenAddresses::free();
        let settings = settings("vm-1", "north-a", listen, stores[0].address);
        let entry = EntryProcess::start(listen, &settings, Stdio::null());
        entry.wait_until_ready().await;
        entry.wait_for_status("/look/first", 200).await;
        Deployment { _stores: stores, servers, entry, _others: others }
    }

    fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|it| it.runs(id)).sum()
    }
}

/// Guards against a server's failure that is taken for the answer of a VM that has not run the request: it runs again
/// through another VM, or its caller is told that it has not run.
#[rstest]
#[case::not_found(404)]
#[case::timeout(408)]
#[case::rate_limited(429)]
#[case::failed(500)]
#[case::busy(503)]
#[tokio::test]
async fn a_failure_of_a_server_is_no_refusal_of_a_vm(
    #[case] stated: u16,
    #[values("", UNSIGNED_MARK)] mark: &str,
) {
    let deployment = Deployment::start().await;
    let path = format!("/book{mark}{STATUS_MARK}{stated}");
    for round in 0..ROUNDS {
        let id = format!("ran-{round}");
        let status = deployment.entry.send(Method::POST, &path, &id).await.status().as_u16();
        assert_eq!(deployment.runs(&id), 1, "{id}, status {status}");
        assert!(
            !matches!(status, 408 | 421 | 429 | 503),
            "{id} ran, and its caller was told {status}"
        );
    }
}

/// Guards against the loss of true refusals on the way through another VM.
#[tokio::test]
async fn a_refusal_of_all_servers_is_told_through_another_vm() {
    let deployment = Deployment::start().await;
    for round in 0..ROUNDS {
        let id = format!("{REFUSED}-{round}");
        let answer = deployment.entry.send(Method::POST, "/book/x", &id).await;
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
    }
    assert!(deployment.servers.iter().any(|it| 0 < it.refusals()));
    assert_eq!(deployment.entry.send(Method::POST, "/book/x", "served").await.status(), 200);
}
