//! The operators' tool as a user runs it: its output and its exit codes.

mod tool;

use std::{fs, net::SocketAddr, path::PathBuf, process::Command};

use rstest::rstest;
use serde_json::{Value, json};
use th_platform::Platform;
use th_protocol::{Millis, Permille, Revision, ServiceId, Time};
use th_report::{BurnRing, Measure, Sample};
use th_testing::{FakePlatform, Faults, PlatformServer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::spawn_blocking,
};
use tool::{TestFolder, keygen, sign, thctl, thctl_json};

#[rstest]
#[case(&["--help"], 0, "bundle roll")]
#[case(&["help"], 0, "4 conflict")]
#[case(&["bundle", "roll", "help"], 0, "--store")]
#[case(&[], 2, "help")]
#[case(&["fly"], 2, "thctl help")]
#[case(&["bundle", "roll"], 2, "--store")]
#[case(&["lookup", "Roster", "book", "--entry", "x"], 2, "a-z")]
#[case(&["status"], 2, "--entry")]
#[case(&["bundle", "check", "no-such-file"], 1, "no-such-file")]
#[case(&["bundle", "show", "--store", "http://127.0.0.1:1"], 5, "--store")]
#[case(&["status", "--entry", "127.0.0.1:1"], 5, "127.0.0.1:1")]
#[case(&["explain", "roster", "--entry", "127.0.0.1:1"], 5, "127.0.0.1:1")]
#[case(&["report", "burn", "--entry", "127.0.0.1:1"], 5, "127.0.0.1:1")]
#[case(&["lookup", "roster", "book", "--entry", "127.0.0.1:1"], 5, "tanagerhollow")]
fn help_and_errors_say_what_to_do(#[case] args: &[&str], #[case] code: i32, #[case] part: &str) {
    let output = thctl(args);
    assert_eq!(output.0, code, "{}", output.1);
    assert!(output.1.contains(part), "{}", output.1);
}

#[test]
fn every_fault_is_listed() {
    let folder = TestFolder::new("faults");
    let path = folder.file("bad.json");
    fs::write(
        &path,
        r#"{ "version": 0, "regions": {}, "zones": {}, "services": {}, "operators": {} }"#,
    )
    .unwrap();
    let (code, output) = thctl_json(&["bundle", "check", &path]);
    assert_eq!(code, 1);
    let faults = output["faults"].as_array().unwrap();
    let paths: Vec<_> = faults.iter().map(|it| it["path"].as_str().unwrap()).collect();
    assert_eq!(paths, ["operators", "regions", "services", "version", "zones"]);
}

#[test]
fn a_key_is_never_overwritten() {
    let folder = TestFolder::new("key");
    keygen(&folder, "ana");
    let before = fs::read(folder.file("ana")).unwrap();
    let (code, text) = thctl(&["bundle", "keygen", "--out", &folder.file("ana")]);
    assert_eq!(code, 1, "{text}");
    assert_eq!(fs::read(folder.file("ana")).unwrap(), before);
}

/// Returns the arguments of each `thctl` command on a page.
fn commands(page: &str) -> Vec<Vec<String>> {
    let lines = page.lines().filter_map(|it| it.trim_start().strip_prefix("thctl "));
    lines.map(|it| it.split_whitespace().map(str::to_owned).collect()).collect()
}

/// Addresses that the pages use.
const ADDRESSES: [&str; 6] = [
    "10.0.0.1:7000",
    "10.0.0.2:8080",
    "10.0.0.3:8080",
    "127.0.0.1:7000",
    "127.0.0.1:8081",
    "127.0.0.1:8082",
];

/// No command on a page is a usage error (exit code 2); its addresses are replaced by one where nothing listens.
#[rstest]
fn commands_on_the_pages_are_well_formed(
    #[files("README.md")]
    #[files("docs/operate/*.md")]
    page: PathBuf,
) {
    let text = fs::read_to_string(&page).unwrap();
    let name = page.strip_prefix(env!("CARGO_MANIFEST_DIR")).unwrap().display().to_string();
    let folder = TestFolder::new(&format!("page-{}", name.replace('/', "-")));
    let digest = "0".repeat(64);
    for command in commands(&text) {
        let mut args = Vec::new();
        for arg in &command {
            let mut arg = arg.replace("DIGEST", &digest);
            for address in ADDRESSES {
                arg = arg.replace(address, "127.0.0.1:1");
            }
            args.push(arg);
        }
        let output = Command::new(env!("CARGO_BIN_EXE_thctl"))
            .args(&args)
            .current_dir(&folder.0)
            .output()
            .unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_ne!(output.status.code(), Some(2), "{args:?}: {error}");
    }
}

/// The commands of docs/operate/first-bundle.md succeed in the order in which the page has them.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_bundle_page_works() {
    let page = include_str!("../docs/operate/first-bundle.md");
    let server = PlatformServer::start(FakePlatform::default(), loopback()).await.unwrap();
    let (url, vm) = (server.url(), serve_answers(entry_answers(1)).await);
    let run = move || {
        let folder = TestFolder::new("first-bundle");
        let mut key = String::new();
        for command in commands(page) {
            let mut args = Vec::new();
            for arg in command {
                let arg = arg.replace("http://10.0.0.1:7000", &url).replace("10.0.0.2:8080", &vm);
                let is_file = arg.ends_with(".json") || arg.ends_with(".key");
                args.push(if is_file { folder.file(&arg) } else { arg });
            }
            let args: Vec<_> = args.iter().map(String::as_str).collect();
            let (code, text) = thctl(&args);
            assert_eq!(code, 0, "{args:?}: {text}");
            if key.is_empty() {
                key = text.lines().next().unwrap().to_owned();
                let start = page.find("       {\n").unwrap();
                let end = page.find("       }\n").unwrap() + "       }\n".len();
                let bundle = page[start..end].replace("PUBLIC KEY", &key);
                fs::write(folder.file("bundle.json"), bundle).unwrap();
            }
        }
    };
    spawn_blocking(run).await.unwrap();
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Signs and rolls a bundle, then covers a repeated roll, an unknown operator, a rival bundle of the same version, and
/// a store whose answers are lost or that is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_is_signed_and_rolled() {
    let fake = FakePlatform::default();
    let server = PlatformServer::start(fake.clone(), loopback()).await.unwrap();
    let url = server.url();
    let run = move || {
        let folder = TestFolder::new("roll");
        let ana = keygen(&folder, "ana");
        let ben = keygen(&folder, "ben");
        keygen(&folder, "eve");
        let operators = [("ana", ana.as_str()), ("ben", ben.as_str())];
        let roll = |file: &str| thctl_json(&["bundle", "roll", file, "--store", &url]);
        let first = folder.bundle(1, &operators);
        let signed = sign(&folder, &first, "ana");

        let (code, output) = thctl_json(&["bundle", "show", "--store", &url]);
        assert_eq!((code, &output["version"]), (0, &Value::Null));
        let (code, output) = roll(&first);
        assert_eq!(code, 1, "{output}");
        for outcome in ["rolled", "already-rolled"] {
            let (code, output) = roll(&signed);
            assert_eq!((code, output["outcome"].as_str()), (0, Some(outcome)), "{output}");
        }

        let out = folder.file("shown.json");
        let (code, output) = thctl_json(&["bundle", "show", "--store", &url, "--out", &out]);
        assert_eq!((code, output["version"].as_u64()), (0, Some(1)), "{output}");
        assert_eq!(thctl(&["bundle", "check", &out]).0, 0);

        let second = folder.bundle(2, &operators);
        let (code, output) = roll(&sign(&folder, &second, "eve"));
        assert_eq!((code, output["outcome"].as_str()), (1, Some("refused")), "{output}");
        assert_eq!(roll(&sign(&folder, &second, "ben")).0, 0);
        let (code, output) = roll(&sign(&folder, &folder.bundle(2, &operators[..1]), "ana"));
        assert_eq!(code, 4, "{output}");
        assert_eq!(output["won"], json!({ "version": 2, "by": "ben" }));

        let third = sign(&folder, &folder.bundle(3, &operators), "ana");
        fake.set_faults(Faults { lost_answers: 1, ..Faults::default() });
        let (code, output) = roll(&third);
        assert_eq!((code, output["outcome"].as_str()), (0, Some("rolled")), "{output}");
        fake.set_faults(Faults { lost_answers: u32::MAX, ..Faults::default() });
        let fourth = sign(&folder, &folder.bundle(4, &operators), "ana");
        let (code, output) = roll(&fourth);
        assert_eq!((code, output["outcome"].as_str()), (0, Some("rolled")), "{output}");
        fake.set_faults(Faults { down: true, ..Faults::default() });
        assert_eq!(roll(&third).0, 5);
        fake.set_faults(Faults::default());
        assert_eq!(roll(&third).1["outcome"], "already-rolled");
    };
    spawn_blocking(run).await.unwrap();
}

/// With a store that answers reads but no writes, the outcome stays unknown: that the old head is still there does not
/// prove that the write failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_without_an_answer_is_unknown() {
    let folder = TestFolder::new("unknown");
    let ana = keygen(&folder, "ana");
    let [first, second] = [1, 2].map(|it| folder.bundle(it, &[("ana", &ana)]));
    let [first, second] = [first, second].map(|it| sign(&folder, &it, "ana"));
    let fake = FakePlatform::default();
    let server = PlatformServer::start(fake.clone(), loopback()).await.unwrap();
    let url = server.url();
    let roll = |file: String, url: String| {
        spawn_blocking(move || thctl_json(&["bundle", "roll", &file, "--store", &url]))
    };
    assert_eq!(roll(first, url).await.unwrap().0, 0);

    let mut answers = Vec::new();
    for entry in fake.watch("", Revision(0), Millis(0)).await.unwrap() {
        let path = format!("/v1/read/{}", entry.key).leak() as &str;
        answers.push((path, serde_json::to_string(&entry).unwrap()));
    }
    let url = format!("http://{}", serve_answers(answers.leak()).await);
    let (code, output) = roll(second, url).await.unwrap();
    assert_eq!((code, output["outcome"].as_str()), (3, Some("unknown")), "{output}");
}

/// Starts a server that answers each GET with the JSON that `answers` has for its path; returns its address.
async fn serve_answers(answers: &'static [(&'static str, String)]) -> String {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let size = stream.read(&mut request).await.unwrap_or(0);
            let request = String::from_utf8_lossy(&request[..size]).into_owned();
            let path = request.split_whitespace().nth(1).unwrap_or("").to_owned();
            let matched = answers.iter().find(|it| it.0 == path);
            let (status, body) = matched.map_or((404, "{}"), |it| (200, it.1.as_str()));
            let head = format!("HTTP/1.1 {status} x\r\nconnection: close\r\n");
            let size = body.len();
            let answer = format!("{head}content-length: {size}\r\n\r\n{body}");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address.to_string()
}

fn burn_answer() -> String {
    let service: ServiceId = "roster".parse().unwrap();
    let mut ring = BurnRing::new(Time(0));
    for minute in 1..=60 {
        let (at, measure) = (Time(minute * 60_000), Measure::Latency);
        let (good, total) = (minute * 80, minute * 100);
        ring.record(&Sample { at, service: service.clone(), measure, good, total });
    }
    let objectives = [(service, Permille(990))].into();
    let answer = ring.answer(&"e1".parse().unwrap(), Time(3_600_000), &objectives);
    serde_json::to_string(&answer).unwrap()
}

fn status_answer(version: u64) -> String {
    json!({
        "vm": "e1", "zone": "n1", "incarnation": 7, "version": version, "age_ms": 65_000,
        "ready": true, "stopping": false,
    })
    .to_string()
}

fn entry_answers(version: u64) -> &'static [(&'static str, String)] {
    let lookup = json!({
        "service": "roster", "operation": "book", "ttl": 5000, "ticket": "t-1", "version": 3,
        "entries": [{ "vm": "e1", "zone": "n1", "address": "10.0.0.1:80" }],
    });
    let records = json!([{ "rule": "region-cap", "region": "north", "age": 40 }]);
    vec![
        ("/v1/status", status_answer(version)),
        ("/v1/burn", burn_answer()),
        ("/v1/explain/roster", records.to_string()),
        ("/v1/explain/booking%2F7%3Fa%20b", records.to_string()),
        ("/v1/lookup/roster/book?block=10.1.2.0%2F24", lookup.to_string()),
    ]
    .leak()
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_vms_are_queried() {
    let (old, new) = (serve_answers(entry_answers(3)).await, serve_answers(entry_answers(4)).await);
    let run = move || {
        let folder = TestFolder::new("entries");
        let (code, output) = thctl_json(&["status", "--entry", &old]);
        assert_eq!((code, &output["same"]), (0, &json!(true)), "{output}");
        assert_eq!(output["entries"][0]["status"]["age_ms"], 65_000);
        let (code, text) = thctl(&["status", "--entry", &format!("{old},{new}")]);
        assert_eq!(code, 1, "{text}");
        assert!(text.contains("differ") && text.contains("65s"), "{text}");

        let plot = folder.file("burn.svg");
        let (code, output) = thctl_json(&["report", "burn", "--entry", &old, "--plot", &plot]);
        assert_eq!((code, output["alert"].as_str()), (0, Some("fast")), "{output}");
        assert!(fs::read_to_string(&plot).unwrap().contains("roster latency"));
        let (code, text) = thctl(&["report", "burn", "--entry", &old, "--entry", "127.0.0.1:1"]);
        assert_eq!(code, 5, "{text}");
        assert!(text.contains("FAST BURN") && text.contains("silent: 127.0.0.1:1"), "{text}");

        for what in ["roster", "booking/7?a b"] {
            let (code, text) = thctl(&["explain", what, "--entry", &old]);
            assert_eq!(code, 0, "{text}");
            assert!(text.contains("rule=region-cap"), "{text}");
        }
        let args = ["lookup", "roster", "book", "--entry", &old, "--block", "10.1.2.0/24"];
        let (code, text) = thctl(&args);
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("10.0.0.1:80 e1 (n1)") && text.contains("ticket t-1"), "{text}");
    };
    spawn_blocking(run).await.unwrap();
}
