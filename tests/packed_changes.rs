//! Large changes that a VM passes on, packed for VMs that take them so.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{io::Read, process::Stdio, time::Duration};

use entry::{EntryProcess, ListenAddresses, settings};
use flate2::read::ZlibDecoder;
use serde_bytes::ByteBuf;
use serde_json::json;
use stand_in::{StandInStore, wait_until};
use tokio::time::{Instant, sleep};

/// An answer to a request for changes: changes, revision, age.
type Answer = (Vec<(String, Option<ByteBuf>, u64)>, u64, u64);
/// Longer than a VM takes to know a change.
const LIMIT: Duration = Duration::from_secs(5);
/// Age that knowledge has only while the store is silent.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Size of a large item.
const SIZE: usize = 200_000;

struct Received {
    is_packed: bool,
    age: Option<String>,
    body: Vec<u8>,
}

impl Received {
    fn read(&self) -> Answer {
        let mut message = Vec::new();
        if self.is_packed {
            ZlibDecoder::new(self.body.as_slice()).read_to_end(&mut message).unwrap();
        } else {
            message.clone_from(&self.body);
        }
        rmp_serde::from_slice(&message).unwrap()
    }
}

/// Asks for changes until there are some.
async fn ask(entry: &EntryProcess, after: u64, takes_packed: bool) -> Received {
    let asked = rmp_serde::to_vec(&(after, 0_u64)).unwrap();
    let url = format!("http://{}/v1/changes", entry.listen.peers);
    let end = Instant::now() + LIMIT;
    loop {
        let mut request = entry.client.post(&url).body(asked.clone());
        if takes_packed {
            request = request.header("accept-encoding", "deflate");
        }
        let answer = request.send().await.unwrap();
        let header = |name| answer.headers().get(name).map(|it| it.to_str().unwrap().to_owned());
        let (encoding, age) = (header("content-encoding"), header("th-age-ms"));
        let body = answer.bytes().await.unwrap().to_vec();
        let received = Received { is_packed: encoding.as_deref() == Some("deflate"), age, body };
        if !received.read().0.is_empty() {
            return received;
        }
        assert!(Instant::now() < end, "the VM passes on no change");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against large changes that fill the links of small VMs when they pass them on, and against packed ones that a VM of
/// an earlier build cannot read.
#[tokio::test]
async fn large_changes_are_packed_for_vms_that_take_them_so() {
    let store = StandInStore::start().await;
    store.put("op/config", &desk::config(7, "/look/"));
    let listen = ListenAddresses::free();
    let settings = settings("vm-1", "north-a", listen, store.address);
    let entry = EntryProcess::start(listen, &settings, Stdio::null());
    entry.wait_until_ready().await;
    wait_until("the VM is registered", || store.keys("th/vm/").len() == 1).await;
    let after = store.copy().revision;
    store.put("other/large", &json!({"text": "route ".repeat(SIZE / 6)}));
    let plain = ask(&entry, after, false).await;
    let first = ask(&entry, after, true).await;
    let second = ask(&entry, after, true).await;
    assert!(!plain.is_packed && plain.age.is_none() && SIZE < plain.body.len());
    for packed in [&first, &second] {
        assert!(packed.is_packed && packed.body.len() < SIZE / 10, "{}", packed.body.len());
        assert!(packed.age.as_ref().is_some_and(|it| it.parse::<u64>().is_ok()));
        assert_eq!((packed.read().0, packed.read().1), (plain.read().0, plain.read().1));
    }
    // The age goes on while the body is kept.
    store.set_silent(true);
    let kept_age = u64::from(SILENCE.as_millis() as u32);
    let end = Instant::now() + LIMIT;
    while ask(&entry, after, true).await.age.unwrap().parse::<u64>().unwrap() < kept_age {
        assert!(Instant::now() < end, "a kept answer does not state the age of what the VM knows");
        sleep(Duration::from_millis(50)).await;
    }
    store.set_silent(false);
    store.put("other/small", &json!({}));
    let after = store.copy().revision - 1;
    assert!(!ask(&entry, after, true).await.is_packed);
}
