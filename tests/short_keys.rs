//! Secrets that are too short are rejected.

use rstest::rstest;
use serde_json::json;
use th_entry::Settings;

#[rstest]
#[case("")]
#[case("0123456789abcde")]
fn a_short_peer_key_is_rejected(#[case] key: &str) {
    let settings = json!({
        "vm": "e1", "zone": "n1", "store": "http://10.0.0.1:7000",
        "listen": { "callers": "10.0.0.2:8080", "peers": "10.0.0.2:8180" },
        "keys": { "peer": key, "tickets": ["00".repeat(32)] },
    });
    let faults = Settings::read(&settings.to_string()).err().unwrap_or_default();
    assert!(faults.iter().any(|it| it.path == "keys.peer"), "{faults:?}");
}
