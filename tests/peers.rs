//! The listener for other entry VMs rejects malformed and unauthenticated messages.

mod common;

use common::*;
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use reqwest::StatusCode;
use rstest::rstest;
use th_protocol::{
    BundleAnswer, BundleHead, BundleRequest, CheckAnswer, Digest, Heartbeat, IndirectCheck,
    MemberState, PeerRecord, Reason, Time, Verdict, Version, header,
};
use th_testing::Deployment;

const ROUTES: &[&str] = &["heartbeat", "check", "bundle", "part", "own", "execute"];

async fn post(
    deployment: &Deployment,
    route: &str,
    key: Option<&str>,
    body: Vec<u8>,
) -> StatusCode {
    let peers = deployment.entries.values().next().unwrap().peers();
    let mut call = client().post(format!("http://{peers}/peer/{route}")).body(body);
    if let Some(key) = key {
        call = call.header(header::PEER_KEY, key);
    }
    call.send().await.unwrap().status()
}

/// Returns a heartbeat of an unknown entry VM.
fn heartbeat() -> Heartbeat {
    let address = "127.0.0.1:9".parse().unwrap();
    let from = PeerRecord {
        vm: "stranger".parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        address,
        callers: address,
        origin: Time(0),
        incarnation: Default::default(),
        beat: 1,
        state: MemberState::Live,
    };
    let head = Some(BundleHead { version: Version(99), digest: Digest::from_bytes([1; 32]) });
    let (headroom, leaving, records) = (Vec::new(), Vec::new(), Vec::new());
    Heartbeat { from, clock: Time(0), head, headroom, leaving, records }
}

async fn member_metric(deployment: &Deployment) -> String {
    let address = deployment.callers()[0];
    let text = fetch_text(address, "/metrics").await;
    text.lines().find(|it| it.contains("name=\"members\"")).unwrap().to_owned()
}

#[rstest]
#[case::none(None)]
#[case::wrong(Some("entry VMs of a tesT"))]
#[case::prefix(Some("entry VMs of"))]
#[case::longer(Some("entry VMs of a test, and more"))]
#[case::empty(Some(""))]
#[tokio::test(flavor = "multi_thread")]
async fn messages_without_the_key_change_nothing(#[case] key: Option<&str>) {
    let deployment = start_deployment(one_zone(1, 1)).await;
    let before = member_metric(&deployment).await;
    for route in ROUTES {
        let body = rmp_serde::to_vec_named(&heartbeat()).unwrap();
        assert_eq!(post(&deployment, route, key, body).await, StatusCode::UNAUTHORIZED, "{route}");
    }
    let lookup = lookup(deployment.callers()[0], "check").await;
    assert!(lookup.entries.iter().all(|it| it.vm.as_str() != "stranger"), "{lookup:?}");
    assert_eq!(member_metric(&deployment).await, before);
    let body = rmp_serde::to_vec_named(&heartbeat()).unwrap();
    assert_eq!(post(&deployment, "heartbeat", Some(PEER_KEY), body).await, StatusCode::OK);
    wait_for_text(deployment.callers()[0], "/metrics", |it| !it.contains(&before)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_are_rejected() {
    const SEED: [u8; 32] = [42; 32];
    const CASES: u32 = 20;
    let deployment = start_deployment(one_zone(1, 1)).await;
    let valid = rmp_serde::to_vec_named(&heartbeat()).unwrap();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    println!("seed {SEED:?}");
    let mut bodies =
        vec![Vec::new(), vec![0xc1], b"{}".to_vec(), vec![0xdf, 0xff, 0xff, 0xff, 0xff]];
    for i in 0..valid.len() {
        if i % 7 == 0 {
            bodies.push(valid[..i].to_vec());
        }
    }
    for _ in 0..CASES {
        use proptest::strategy::{Strategy, ValueTree};
        bodies.push(vec(any::<u8>(), 0..400).new_tree(&mut runner).unwrap().current());
    }
    for route in ROUTES {
        for body in &bodies {
            let status = post(&deployment, route, Some(PEER_KEY), body.clone()).await;
            // A malformed forwarded request gets the answer that a caller would get: 400 with `not-run`.
            assert_eq!(status, StatusCode::BAD_REQUEST, "{route}: {body:?}");
        }
        let huge = vec![0; 3 << 20];
        let status = post(&deployment, route, Some(PEER_KEY), huge).await;
        assert!(status.is_client_error(), "{route}: {status}");
    }
    let address = deployment.callers()[0];
    CallRequest::check("after").send(address).await.assert_answer_to("after");
}

/// Decoding random bytes as any message returns without a panic.
#[test]
fn random_bytes_are_decoded_without_panic() {
    let config = Config { failure_persistence: None, cases: 4_096, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[43; 32]);
    println!("seed {:?}", [43u8; 32]);
    let valid = rmp_serde::to_vec_named(&heartbeat()).unwrap();
    let size = valid.len();
    let mutation = (vec(any::<u8>(), 0..200), vec((0..size, any::<u8>()), 0..6));
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&mutation, |(random, changes)| {
        let mut changed = valid.clone();
        for (at, byte) in changes {
            changed[at] = byte;
        }
        for bytes in [&random, &changed] {
            if let Ok(read) = rmp_serde::from_slice::<Heartbeat>(bytes) {
                let again = rmp_serde::to_vec_named(&read).unwrap();
                proptest::prop_assert_eq!(
                    &rmp_serde::from_slice::<Heartbeat>(&again).unwrap(),
                    &read
                );
            }
            let _ = rmp_serde::from_slice::<IndirectCheck>(bytes);
            let _ = rmp_serde::from_slice::<CheckAnswer>(bytes);
            let _ = rmp_serde::from_slice::<BundleRequest>(bytes);
            let _ = rmp_serde::from_slice::<BundleAnswer>(bytes);
        }
        Ok(())
    });
    result.unwrap();
}

/// An entry VM that gets a request as the owner of its ticket, and is not, does not forward it again: two VMs that each
/// take the other for the owner would forward it for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_request_is_not_forwarded_again() {
    let deployment = start_deployment(one_zone(2, 1)).await;
    let (owner, other) =
        (entry(&deployment, "north-a-entry-0"), entry(&deployment, "north-a-entry-1"));
    let mut message = forwarded_request_json(1, "book");
    message["ticket"] = seal_ticket(owner, |_| {}).into();
    for (running, runs_once) in [(other, 0), (owner, 1)] {
        let call = client().post(format!("http://{}/peer/own", running.peers()));
        let call = call.header(header::PEER_KEY, PEER_KEY);
        let call = call.body(rmp_serde::to_vec_named(&message).unwrap());
        let answer = CallAnswer::read(call.send().await.unwrap()).await;
        if runs_once == 0 {
            answer.assert_notice(Verdict::Unknown, Reason::OwnerGone);
        } else {
            answer.assert_answer_to("wire-1");
        }
        assert_eq!(run_count(&deployment, "wire-1"), runs_once);
    }
}
