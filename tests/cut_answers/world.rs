//! Servers that follow a script, and the VMs between them and the caller.

use std::{net::SocketAddr, process::Stdio, sync::Arc, time::Duration};

use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    caller::{Answer, Caller},
    desk::config,
    entry::{EntryProcess, ListenAddresses, free, settings},
    server::{Ending, Part, Script},
    shapes::Shape,
    stand_in::StandInStore,
};

/// Servers, of which each request may be sent to two.
const SERVERS: u32 = 3;
/// Other VMs that break off answers: one that did is not asked again for a second.
const PEERS: u32 = 400;

/// Time-outs of routes in milliseconds: one that no test reaches, and one that ends the wait for a silent server.
pub(crate) const LONG: u64 = 60_000;
pub(crate) const SHORT: u64 = 3_000;
/// The way of an answer to the VM that the caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// From the server.
    Direct,
    /// From the server to another VM, and from there.
    Passed,
    /// From another VM, which breaks it off itself.
    Peer,
}

/// Servers that follow a script, and the VM that callers use.
pub(crate) struct World {
    pub(crate) script: Arc<Script>,
    entry: EntryProcess,
    /// The VM that requests are passed to, if any, and the stores.
    _others: (Option<EntryProcess>, Vec<StandInStore>),
}

fn start_vm(store: &StandInStore, vm: &str, zone: &str, timeouts: [u64; 2]) -> EntryProcess {
    let mut config = config(7, "/look/");
    for (route, timeout) in config["routes"].as_array_mut().unwrap().iter_mut().zip(timeouts) {
        route["timeout_ms"] = json!(timeout);
    }
    store.put("op/config", &config);
    let listen = ListenAddresses::free();
    let mut settings = settings(vm, zone, listen, store.address);
    // Enough for every request to be repeated.
    settings["retry_slack"] = json!(1_000_000);
    EntryProcess::start(listen, &settings, Stdio::null())
}

fn put_server(store: &StandInStore, number: u32, address: SocketAddr) {
    let item = json!({"service": "desk", "address": address, "zone": "north-a", "version": "v1", "slots": 1_000,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": 1_700_000_000_000_u64});
    store.put(&format!("servers/i-{number}"), &item);
}

impl World {
    /// `timeouts` are those of requests that may be repeated and of the others, in milliseconds.
    pub(crate) async fn start(way: Way, timeouts: [u64; 2]) -> World {
        let script = Arc::<Script>::default();
        let (near, far) = (StandInStore::start().await, StandInStore::start().await);
        let mut other = None;
        if way == Way::Peer {
            for number in 0..PEERS {
                let address = script.serve(number).await;
                let record = json!({"zone": "south-a", "callers": address, "ready": address, "peers": address});
                near.put(&format!("th/vm/vm-{}", 2 + number), &record);
            }
        }
        for number in 0..SERVERS {
            // Nothing listens at the addresses that a VM has without links to servers.
            let address = if way == Way::Peer { free() } else { script.serve(number).await };
            let near_address = if way == Way::Direct { address } else { free() };
            put_server(&near, number, near_address);
            put_server(&far, number, address);
        }
        if way == Way::Passed {
            let vm = start_vm(&far, "vm-2", "south-a", timeouts);
            vm.wait_until_ready().await;
            let listen = vm.listen;
            let record = json!({"zone": "south-a", "callers": listen.callers, "ready": listen.ready, "peers": listen.peers});
            near.put("th/vm/vm-2", &record);
            other = Some(vm);
        }
        let entry = start_vm(&near, "vm-1", "north-a", timeouts);
        entry.wait_until_ready().await;
        let world = World { script, entry, _others: (other, vec![near, far]) };
        let mut caller = world.caller().await;
        // Until the servers are known, or known to be out of reach.
        for number in 0.. {
            let id = format!("s{number:0>9}");
            if caller.call(&Method::GET, "/look/x", &id).await.status == 200 {
                break;
            }
        }
        world
    }

    pub(crate) async fn caller(&self) -> Caller {
        Caller::connect(self.entry.listen.callers).await
    }

    /// Sends a request until a server received it. Before that it may get no success: it was not run, or was lost on a connection
    /// that its server had just ended.
    pub(crate) async fn call(
        &self,
        caller: &mut Caller,
        method: &Method,
        path: &str,
        id: &str,
    ) -> Answer {
        loop {
            let answer = caller.call(method, path, id).await;
            if !self.script.arrivals(id).is_empty() {
                return answer;
            }
            assert!(matches!(answer.status, 502 | 503) && !answer.is_signed, "{id}: {answer:?}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Panics unless the answer to a request, whose first answer was broken off behind that part, is right.
    pub(crate) fn check(&self, answer: &Answer, path: &str, id: &str, part: Part) {
        let arrivals = self.script.arrivals(id);
        let seen = format!("{path} {id} {part:?}: {answer:?} {arrivals:?}");
        let success = |status: u16, body: String| Answer {
            status,
            id: Some(id.to_owned()),
            is_signed: true,
            body,
        };
        if let Some(body) = part.shape.body(id, part) {
            let whole = success(part.shape.status, body);
            // A reset may be noticed before the whole answer in front of it.
            if *answer == whole && arrivals.len() == 1 {
                return;
            }
            assert!(matches!(part.ending, Ending::Reset | Ending::Unread), "{seen}");
        }
        if path.starts_with("/book/") {
            assert!(matches!(answer.status, 502 | 504) && !answer.is_signed, "{seen}");
            assert_eq!(arrivals.len(), 1, "{seen}");
            return;
        }
        let body = if *part.shape.method == Method::HEAD {
            String::new()
        } else {
            format!("body of {id}")
        };
        assert_eq!(*answer, success(200, body), "{seen}");
        assert_eq!(arrivals.len(), 2, "{seen}");
        assert_ne!(arrivals[0].server, arrivals[1].server, "{seen}");
    }

    /// Breaks off answers at every byte, one request after the other. Returns on how many new and kept connections.
    pub(crate) async fn sweep(&self, shape: Shape, ending: Ending) -> (usize, usize) {
        let (mut caller, mut counts) = (self.caller().await, (0, 0));
        for length in 0..=shape.length() {
            for path in ["/look/x", "/book/x"] {
                let part = Part { shape, length, ending };
                let name = format!("{}{ending:?}", &path[1..2]).to_ascii_lowercase();
                let id = format!("{}{length:0>8}", &name[..2]);
                self.script.plan(&id, &[part]);
                let answer = self.call(&mut caller, shape.method, path, &id).await;
                self.check(&answer, path, &id, part);
                let kept = self.script.arrivals(&id)[0].kept;
                counts = (counts.0 + usize::from(!kept), counts.1 + usize::from(kept));
            }
            // Leaves a connection that the next request may use.
            let id = format!("g{ending:?}").to_ascii_lowercase();
            let id = format!("{}{length:0>8}", &id[..2]);
            let answer = self.call(&mut caller, &Method::GET, "/look/x", &id).await;
            assert_eq!((answer.status, answer.body), (200, format!("body of {id}")));
        }
        counts
    }
}
