//! Parts of bundles that entry VMs fetch from each other over a narrow link.

mod common;
#[path = "../platform/tests/stand_in/link.rs"]
mod link;

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use common::{PEER_KEY, one_zone, settings, zone};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use link::NarrowLink;
use serde::Serialize;
use th_entry::{Running, start};
use th_protocol::{
    Bundle, BundleAnswer, BundleHead, BundleRequest, Digest, Heartbeat, Incarnation, Mbit,
    MemberState, PeerRecord, SignedBundle, Signer, Slots, Time, Version, check_bundle,
};
use th_testing::{FakePlatform, Faults};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// Link of a small VM.
const NARROW: Mbit = Mbit(10);
/// Time in which an accepted bundle is in force at all VMs.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Number of services: as many as the parts that a VM fetches at once.
const SERVICES: u32 = 4;
/// Number of customers of each service; its part has 0.4 MB.
const CUSTOMERS: u32 = 9_000;

/// A bundle whose parts a narrow link carries in 1.3 s together, longer than a call may be silent.
fn large_bundle(signer: &Signer) -> Bundle {
    let mut addresses = BTreeMap::new();
    for i in 0..SERVICES {
        let address = SocketAddr::from(([127, 0, 1, i as u8], 9));
        addresses.insert(format!("server-{i}").parse().unwrap(), (zone(), address));
    }
    let mut bundle = one_zone(1, SERVICES).bundle(&addresses);
    bundle.operators.insert("ana".parse().unwrap(), signer.public_key_hex());
    let mut service = bundle.services.values().next().unwrap().clone();
    for i in 0..CUSTOMERS {
        service
            .customers
            .insert(format!("customer-with-a-long-name-of-its-own-{i}").parse().unwrap(), 1);
    }
    bundle.services.clear();
    for (i, id) in addresses.keys().enumerate() {
        let mut service = service.clone();
        service.backends.retain(|it, _| it == id);
        service.regions.values_mut().for_each(|it| it.cap = Slots(16));
        bundle.services.insert(format!("roster-{i}").parse().unwrap(), service);
    }
    assert_eq!(check_bundle(&bundle), []);
    bundle
}

/// An entry VM that serves a bundle to others.
struct Holder {
    signed: SignedBundle,
    head: BundleHead,
    /// Number of requests for each part.
    served: Mutex<BTreeMap<Digest, u32>>,
    record: PeerRecord,
}

impl Holder {
    /// Starts it behind a narrow link.
    async fn start(signed: SignedBundle) -> Arc<Holder> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        let link = NarrowLink::start(target, NARROW.bytes_per_ms() as f64 * 1e3).await;
        let record = PeerRecord {
            vm: "holder".parse().unwrap(),
            zone: "north-a".parse().unwrap(),
            address: link.address,
            callers: SocketAddr::from(([127, 0, 0, 1], 9)),
            origin: Time(0),
            incarnation: Incarnation(1),
            beat: 0,
            state: MemberState::Live,
        };
        let head = BundleHead { version: Version(1), digest: signed.head.digest() };
        let holder = Arc::new(Holder { signed, head, served: Mutex::default(), record });
        let serving = Arc::clone(&holder);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let holder = Arc::clone(&serving);
                let service = service_fn(move |request| {
                    let holder = Arc::clone(&holder);
                    async move { Ok::<_, Infallible>(holder.serve(request).await) }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        holder
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        assert_eq!(request.headers()[th_protocol::header::PEER_KEY], PEER_KEY);
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await.unwrap().to_bytes();
        match path.as_str() {
            "/peer/heartbeat" => answer(&Heartbeat {
                from: self.record.clone(),
                clock: Time(1_000),
                head: Some(self.head),
                headroom: Vec::new(),
                leaving: Vec::new(),
                records: Vec::new(),
            }),
            "/peer/records" => answer(&[&self.record]),
            "/peer/bundle" => {
                let content = match rmp_serde::from_slice(&body).unwrap() {
                    BundleRequest::Manifest(_) => self.signed.head.to_json(),
                    BundleRequest::Part(digest) => {
                        *self.served.lock().unwrap().entry(digest).or_default() += 1;
                        self.signed.parts[&digest].clone().into_bytes()
                    }
                };
                answer(&BundleAnswer { content: Some(content) })
            }
            _ => Response::builder().status(404).body(Full::default()).unwrap(),
        }
    }
}

fn answer(message: &impl Serialize) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(rmp_serde::to_vec(message).unwrap())))
}

async fn wait_in_force(running: &Running) {
    let end = Instant::now() + IN_FORCE;
    while running.status().version != Some(Version(1)) {
        let status = running.status();
        assert!(Instant::now() < end, "not in force after {IN_FORCE:?}: {status:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against VMs that never have a bundle in force, because the parts that they fetch from another VM at once are given
/// up on their way over a narrow link, or fetched again beside themselves.
#[tokio::test]
async fn parts_are_fetched_once_from_another_vm_over_a_narrow_link() {
    let signer = Signer::new("ana".parse().unwrap(), [7; 32]);
    let holder = Holder::start(signer.sign_bundle(&large_bundle(&signer), None)).await;
    let store = FakePlatform::default();
    store.set_faults(Faults { down: true, ..Faults::default() });
    let mut settings = settings("fetcher");
    settings.peers.push(holder.record.address);
    let running = start(settings, Arc::new(store)).await.unwrap();
    wait_in_force(&running).await;
    let served = holder.served.lock().unwrap().clone();
    assert!(served.values().all(|it| *it == 1), "requests for each part: {served:?}");
}
