//! Callers whose requests are too large, too slow, too many or malformed.

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

fn set_tight_limits(settings: &mut Settings) {
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
async fn a_bad_request_is_rejected_and_later_ones_are_served(
    #[case] bytes: String,
    #[case] expected: &str,
) {
    let (deployment, address) = start_single_entry(one_zone(0, 1), set_tight_limits).await;
    let got = exchange(address, bytes.as_bytes(), expected).await;
    assert!(got.contains(expected), "{got}");
    if expected.is_empty() {
        assert!(got.is_empty() || got.contains("408"), "{got}");
    }
    CallRequest::check("after").send(address).await.assert_answer_to("after");
    let mut counts = deployment.run_log.counts();
    counts.remove("warm");
    assert_eq!(counts.len(), 1, "another request ran: {counts:?}");
    let running = &deployment.entries.values().next().unwrap();
    wait_until("no request is in flight", || running.in_flight().now() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_limit_are_rejected() {
    let (deployment, address) = start_single_entry(one_zone(0, 1), set_tight_limits).await;
    let backend = &deployment.backends[&backend_id(0)];
    backend.update_behaviour(|it| it.unresponsive = true);
    let mut held = Vec::new();
    for i in 0..3 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(CallRequest::check(&format!("held-{i}")).to_http().as_bytes())
            .await
            .unwrap();
        wait_until("the request runs", || run_count(&deployment, &format!("held-{i}")) == 1).await;
        held.push(stream);
    }
    let answer = CallRequest::check("over").send(address).await;
    answer.assert_notice(V::Refused, R::Overloaded);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(run_count(&deployment, "over"), 0);
    // The request may be a repeat of one that ran: it is rejected before the ticket is checked.
    let running = deployment.entries.values().next().unwrap();
    let answer = CallRequest::for_operation("book", "repeat", running).send(address).await;
    answer.assert_notice(V::Unknown, R::Overloaded);
    assert!(answer.headers.contains_key("retry-after"));
    backend.update_behaviour(|it| it.unresponsive = false);
    drop(held);
    wait_until_serving(address).await;
}

/// A caller that reads its answer slowly, or not at all, must not make requests of others fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_does_not_block_others() {
    let (deployment, address) = start_single_entry(one_zone(0, 1), |_| {}).await;
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.answer_size = 16 << 20);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(CallRequest::check("large").to_http().as_bytes()).await.unwrap();
    timeout(WAIT_LIMIT, stream.read_exact(&mut [0; 1024])).await.unwrap().unwrap();
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.answer_size = 0);
    for i in 0..4 {
        let id = format!("other-{i}");
        CallRequest::check(&id).send(address).await.assert_answer_to(&id);
    }
    drop(stream);
    let running = deployment.entries.values().next().unwrap();
    wait_until("no request is in flight", || running.in_flight().now() == 0).await;
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
async fn an_invalid_header_is_named_in_the_notice(#[case] name: &'static str, #[case] value: &str) {
    let (deployment, address) = start_single_entry(one_zone(0, 1), |_| {}).await;
    let answer = CallRequest::check("r").header(name, value).send(address).await;
    answer.assert_notice(V::NotRun, R::BadRequest);
    let detail = answer.notice().unwrap().detail;
    assert!(detail.contains(name) || detail.contains(value), "{detail}");
    assert_eq!(run_count(&deployment, "r"), 0);
}
