//! Invalid bundles in the platform's service: each is rejected with its reason, and the bundle in force stays.

mod common;

use std::{collections::BTreeMap, sync::Mutex};

use common::*;
use th_platform::{Key, Platform, WriteOutcome};
use th_protocol::{
    Bundle, Digest, Manifest, SignedBundle, SignedManifest, Signer, Slots, Version, layout,
};
use th_testing::{Deployment, FakePlatform};

/// Lines that the entry VM logged with the target `bundle`.
static LOGGED: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct RecordingLogger;

impl log::Log for RecordingLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == "bundle" {
            LOGGED.lock().unwrap().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

fn logged() -> String {
    LOGGED.lock().unwrap().join("\n")
}

async fn put(platform: &FakePlatform, key: &str, value: Vec<u8>) {
    let key = Key::new(key);
    let revision = platform.read(&key).await.unwrap().map(|it| it.revision);
    let written = platform.cas(&key, revision, Some(value), None).await;
    assert!(matches!(written, WriteOutcome::Applied(_)), "{written:?}");
}

async fn put_parts(platform: &FakePlatform, signed: &SignedBundle) {
    for (digest, part) in &signed.parts {
        put(platform, &layout::part_key(digest), part.clone().into_bytes()).await;
    }
}

fn with_version(bundle: &Bundle, number: u64) -> Bundle {
    Bundle { version: Version(number), ..bundle.clone() }
}

/// Returns heads that are rejected as soon as they are read, each with the expected reason.
fn bad_heads(ana: &Signer, bundle: &Bundle) -> Vec<(Vec<u8>, &'static str)> {
    let good = |number| ana.sign_bundle(&with_version(bundle, number), None).head;
    let eve = Signer::new("eve".parse().unwrap(), [1; 32]);
    let other = Signer::new("ana".parse().unwrap(), [1; 32]);
    let mut wrong = good(12);
    wrong.signature = good(13).signature;
    let unsigned = SignedManifest { signature: String::new(), ..good(11) };
    let short = SignedManifest { signature: "00".to_owned(), ..good(14) };
    let empty = Manifest { version: Version(18), base: None, parts: BTreeMap::new() };
    let empty = ana.sign(serde_json::to_string(&empty).unwrap());
    let unknown = br#"{"manifest":"{}","operator":"ana","signature":"","more":1}"#;
    vec![
        (b"{ no JSON".to_vec(), "the signed manifest is malformed: key must be a string"),
        (Vec::new(), "the signed manifest is malformed: EOF"),
        (unknown.to_vec(), "unknown field `more`"),
        (ana.sign("no manifest".to_owned()).to_json(), "its manifest is malformed"),
        (unsigned.to_json(), "Version 11 is refused: the manifest is not signed"),
        (wrong.to_json(), "Version 12 is refused: the signature of operator ana is wrong"),
        (short.to_json(), "Version 14 is refused: the signature of operator ana is wrong"),
        (
            eve.sign_bundle(&with_version(bundle, 15), None).head.to_json(),
            "operator eve is not known",
        ),
        (
            other.sign_bundle(&with_version(bundle, 16), None).head.to_json(),
            "Version 16 is refused: the signature",
        ),
        (empty.to_json(), "Version 18 is refused: the manifest is malformed: it names no topology"),
    ]
}

async fn assert_rejected(deployment: &Deployment, reason: &str) {
    wait_until(&format!("the log says: {reason}"), || logged().contains(reason)).await;
    let running = entry(deployment, "north-a-entry-0");
    assert_eq!(running.status().version, Some(Version(2)), "{reason}");
    assert!(running.status().ready);
    CallRequest::check("r").send(running.callers()).await.assert_answer_to("r");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_bundle_is_rejected_with_its_reason() {
    log::set_logger(&RecordingLogger).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let mut deployment = start_deployment(one_zone(1, 1)).await;
    deployment.change_bundle(|_| {}).await.unwrap();
    deployment.wait_in_force(Version(2), th_protocol::Millis(20_000)).await.unwrap();
    let ana = Signer::new("ana".parse().unwrap(), [7; 32]);
    let platform = deployment.platform.clone();
    let bundle = deployment.bundle.clone();

    for (head, reason) in bad_heads(&ana, &bundle) {
        put(&platform, layout::HEAD, head).await;
        assert_rejected(&deployment, reason).await;
    }

    let older = ana.sign_bundle(&with_version(&bundle, 1), None);
    put_parts(&platform, &older).await;
    put(&platform, layout::HEAD, older.head.to_json()).await;
    assert_rejected(&deployment, "version 1 is older than 2").await;

    let mut equal = bundle.clone();
    equal.regions.values_mut().for_each(|it| it.cap = Slots(99));
    let equal = ana.sign_bundle(&equal, None);
    put_parts(&platform, &equal).await;
    put(&platform, layout::HEAD, equal.head.to_json()).await;
    let address = deployment.callers()[0];
    let status = wait_for_text(address, "/v1/status", |it| it.contains("last refused")).await;
    assert!(status.contains("version 2"), "{status}");
    assert_rejected(&deployment, "").await;

    let mut invalid = with_version(&bundle, 20);
    for service in invalid.services.values_mut() {
        service.backends.values_mut().for_each(|it| it.slots = Slots(0));
    }
    let invalid = ana.sign_bundle(&invalid, None);
    put_parts(&platform, &invalid).await;
    put(&platform, layout::HEAD, invalid.head.to_json()).await;
    assert_rejected(
        &deployment,
        "Version 20 is refused: the bundle is faulty: services.roster.backends",
    )
    .await;

    // Parts with wrong bytes are rejected. Once they are corrected, the bundle comes into force.
    let mut next = with_version(&bundle, 21);
    next.regions.values_mut().for_each(|it| it.cap = Slots(77));
    let next = ana.sign_bundle(&next, None);
    let changed: Vec<&Digest> = next.parts.keys().collect();
    for digest in &changed {
        put(&platform, &layout::part_key(digest), b"{}".to_vec()).await;
    }
    put(&platform, layout::HEAD, next.head.to_json()).await;
    assert_rejected(&deployment, "has wrong bytes").await;
    put_parts(&platform, &next).await;
    deployment.wait_in_force(Version(21), th_protocol::Millis(20_000)).await.unwrap();
}
