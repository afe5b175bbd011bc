//! Callers that send too much, too slowly or nonsense.

mod common;

use common::*;
use rstest::rstest;
use th_entry::Settings;
use th_protocol::{Bytes, Millis, Reason as R, Verdict as V, header};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

fn tight(settings: &mut Settings) {
    settings.limits.head = Bytes(8 << 10);
    settings.limits.body = Bytes(2_000);
    settings.limits.slow = Millis(300);
    settings.limits.requests = 3;
}

const CALL: &str = "POST /v1/call/roster/check HTTP/1.1\r\nhost: th\r\n";

#[rstest]
#[case::garbage("\u{1}\u{2} no request line\r\n\r\n".to_owned(), "400")]
#[case::no_version("GET /live\r\n\r\n".to_owned(), "400")]
#[case::large_head(format!("{CALL}x-large: {}\r\n\r\n", "x".repeat(20_000)), "431")]
#[case::many_headers(format!("{CALL}{}\r\n\r\n", "x-many: 1\r\n".repeat(400)), "431")]
#[case::bad_header(format!("{CALL}x bad: 1\r\n\r\n"), "400")]
#[case::large_body(format!("{CALL}content-length: 3000\r\n\r\n{}", "x".repeat(3_000)), "bad-request")]
#[case::large_chunks(
    format!("{CALL}transfer-encoding: chunked\r\n\r\nbb8\r\n{}\r\n0\r\n\r\n", "x".repeat(3_000)),
    "bad-request"
)]
#[case::bad_chunk(format!("{CALL}transfer-encoding: chunked\r\n\r\nzz\r\nxx\r\n"), "bad-request")]
#[case::bad_length(format!("{CALL}content-length: -1\r\n\r\n"), "400")]
#[case::two_lengths(format!("{CALL}content-length: 1\r\ncontent-length: 2\r\n\r\nxx"), "400")]
#[case::slow_head(CALL.to_owned(), "")]
#[case::slow_body(format!("{CALL}content-length: 100\r\n\r\nhalf"), "slow-caller")]
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_request_is_refused_and_the_process_serves_on(
    #[case] bytes: String,
    #[case] expected: &str,
) {
    let (deployment, address) = alone(small(0, 1), tight).await;
    let got = exchange(address, bytes.as_bytes(), expected).await;
    assert!(got.contains(expected), "{got}");
    if expected.is_empty() {
        assert!(got.is_empty() || got.contains("408"), "{got}");
    }
    Ask::check("after").send(address).await.is_answer_to("after");
    let mut counts = deployment.run_log.counts();
    counts.remove("warm");
    assert_eq!(counts.len(), 1, "nothing else ran: {counts:?}");
    let running = &deployment.entries.values().next().unwrap();
    until("none is in flight", || running.in_flight().now() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn too_many_at_once_are_refused() {
    let (deployment, address) = alone(small(0, 1), tight).await;
    let backend = &deployment.backends[&backend_id(0)];
    backend.update_behaviour(|it| it.unresponsive = true);
    let mut held = Vec::new();
    for i in 0..3 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(Ask::check(&format!("held-{i}")).raw().as_bytes()).await.unwrap();
        until("it runs", || runs(&deployment, &format!("held-{i}")) == 1).await;
        held.push(stream);
    }
    let told = Ask::check("over").send(address).await;
    told.says(V::Refused, R::Overloaded);
    assert!(told.headers.contains_key("retry-after"));
    assert_eq!(runs(&deployment, "over"), 0);
    // It may repeat an operation that ran, and nobody has looked.
    let running = deployment.entries.values().next().unwrap();
    let told = Ask::of("book", "repeat", running).send(address).await;
    told.says(V::Unknown, R::Overloaded);
    assert!(told.headers.contains_key("retry-after"));
    backend.update_behaviour(|it| it.unresponsive = false);
    drop(held);
    warm(address).await;
}

/// A caller that takes its answer slowly, or not at all, is no reason to fail others.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_holds_up_nobody() {
    let (deployment, address) = alone(small(0, 1), |_| {}).await;
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.answer_size = 16 << 20);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(Ask::check("large").raw().as_bytes()).await.unwrap();
    timeout(BOUND, stream.read_exact(&mut [0; 1024])).await.unwrap().unwrap();
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.answer_size = 0);
    for i in 0..4 {
        let request = format!("other-{i}");
        Ask::check(&request).send(address).await.is_answer_to(&request);
    }
    drop(stream);
    let running = deployment.entries.values().next().unwrap();
    until("none is in flight", || running.in_flight().now() == 0).await;
}

#[rstest]
#[case(header::DEADLINE, "soon")]
#[case(header::DEADLINE, "-5")]
#[case(header::DEADLINE, "99999999999999999999")]
#[case(header::CUSTOMER, "no such id!")]
#[case(header::BLOCK, "10.0.0.0/99")]
#[case(header::BLOCK, "everywhere")]
#[case(header::ATTEMPT_NUMBER, "first")]
#[tokio::test(flavor = "multi_thread")]
async fn a_header_that_cannot_be_read_is_named(#[case] name: &'static str, #[case] value: &str) {
    let (deployment, address) = alone(small(0, 1), |_| {}).await;
    let told = Ask::check("r").header(name, value).send(address).await;
    told.says(V::NotRun, R::BadRequest);
    let detail = told.notice().unwrap().detail;
    assert!(detail.contains(name) || detail.contains(value), "{detail}");
    assert_eq!(runs(&deployment, "r"), 0);
}
