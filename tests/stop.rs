//! Planned stops of entry VMs under load, and backend servers that are leaving.

mod common;

use common::*;
use reqwest::StatusCode;
use rstest::rstest;
use th_protocol::{Millis, Reason as R, Slots, Verdict as V};
use th_testing::{Behaviour, Caller, CallerSettings, Deployment, DeploymentSpec, Records};
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::watch};

/// Spawns callers that send one request after another until `end` holds true.
fn spawn_callers(
    deployment: &Deployment,
    records: &Records,
    end: &watch::Receiver<bool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut tasks = Vec::new();
    for i in 0..8 {
        let mut caller = Caller::new(CallerSettings {
            name: format!("caller-{i}"),
            seeds: deployment.callers(),
            timeout: Millis(20_000),
            records: records.clone(),
            ..CallerSettings::default()
        });
        let end = end.clone();
        tasks.push(tokio::spawn(async move {
            while !*end.borrow() {
                caller.call("check", true).await;
                caller.call("book", false).await;
            }
        }));
    }
    tasks
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_cuts_no_request() {
    const ROUND: usize = 100;
    let spec = DeploymentSpec { ttl: Millis(300), linger: Millis(700), ..one_zone(3, 2) };
    let mut deployment = start_deployment(spec).await;
    let records = Records::default();
    let (stop, end) = watch::channel(false);
    let tasks = spawn_callers(&deployment, &records, &end);
    for vm in ["north-a-entry-0", "north-a-entry-1"] {
        let before = records.all().len();
        wait_until("callers send requests", || before + ROUND < records.all().len()).await;
        let stopped = deployment.stop_entry(&vm.parse().unwrap()).await.unwrap();
        assert_eq!(stopped.cut, 0, "{vm}");
    }
    let before = records.all().len();
    wait_until("callers go on sending requests", || before + ROUND < records.all().len()).await;
    stop.send(true).unwrap();
    for task in tasks {
        task.await.unwrap();
    }
    let audit = records.audit(&deployment.run_log);
    let wrong = (audit.lost, audit.doubled, audit.wrong, audit.false_not_run, audit.broken);
    assert_eq!(wrong, (0, 0, 0, 0, 0), "{audit:?}");
    assert!(audit.requests < 2 * audit.answered, "{audit:?}");
}

/// Occupies a slot with a request that is not answered, until the returned connection is dropped.
async fn hold_slot(deployment: &Deployment, address: std::net::SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(CallRequest::check(id).to_http().as_bytes()).await.unwrap();
    wait_until("the request runs", || run_count(deployment, id) == 1).await;
    stream
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_during_a_stop_are_rejected() {
    let spec = DeploymentSpec { slots: Slots(1), deadline: Millis(600_000), ..one_zone(0, 1) };
    let (mut deployment, address) =
        start_single_entry(spec, |it| it.stop.limit = Millis(60_000)).await;
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.unresponsive = true);
    let held = hold_slot(&deployment, address, "held").await;
    let running = deployment.entries.pop_first().unwrap().1;
    let book = CallRequest::for_operation("book", "new-book", &running);
    let queued = CallRequest::check("queued").spawn(address);
    wait_for_text(address, "/metrics", |it| it.contains("th_state{name=\"waiting\"} 1")).await;
    let stop = tokio::spawn(running.stop());
    let answer = queued.await.unwrap();
    let not_executed = answer.notice().is_some_and(|it| it.verdict != V::Unknown);
    assert!(not_executed && run_count(&deployment, "queued") == 0, "{answer:?}");
    wait_for_text(address, "/v1/status", |it| it.contains("\"stopping\":true")).await;
    for request in [CallRequest::check("new-check"), book] {
        let answer = request.send(address).await;
        answer.assert_notice(V::NotRun, R::Stopping);
        assert_eq!(answer.headers["connection"], "close");
        assert_eq!(run_count(&deployment, &request.id), 0);
    }
    let url = format!("http://{address}/ready");
    let ready = client().get(url).send().await.unwrap();
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ready.text().await.unwrap(), "it is stopping");
    drop(held);
    assert_eq!(stop.await.unwrap().cut, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_at_its_time_limit_counts_cut_requests() {
    let spec = DeploymentSpec { deadline: Millis(600_000), ..one_zone(0, 1) };
    let (mut deployment, address) =
        start_single_entry(spec, |it| it.stop.limit = Millis(500)).await;
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.unresponsive = true);
    let held = hold_slot(&deployment, address, "held").await;
    let running = deployment.entries.pop_first().unwrap().1;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let book = CallRequest::for_operation("book", "cut", &running).to_http();
    stream.write_all(book.as_bytes()).await.unwrap();
    wait_until("the request runs", || run_count(&deployment, "cut") == 1).await;
    assert_eq!(running.stop().await.cut, 2);
    for mut stream in [held, stream] {
        let mut got = Vec::new();
        let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut got);
        let ended = tokio::time::timeout(WAIT_LIMIT, read)
            .await
            .expect("the connection was not closed in time");
        assert!(ended.is_err() || got.is_empty(), "{}", String::from_utf8_lossy(&got));
    }
    assert_eq!(run_count(&deployment, "cut"), 1);
}

async fn by_bundle(deployment: &mut Deployment) {
    let mark_leaving = |bundle: &mut th_protocol::Bundle| {
        let service = bundle.services.values_mut().next().unwrap();
        service.backends.get_mut(&backend_id(0)).unwrap().leaving = true;
    };
    deployment.change_bundle(mark_leaving).await.unwrap();
}

async fn by_server_report(deployment: &mut Deployment) {
    deployment.backends[&backend_id(0)].update_behaviour(|it| it.leaving = true);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_requests_and_its_drain_is_shown(
    #[values("bundle", "server report")] how: &str,
) {
    let mut deployment = start_deployment(one_zone(2, 2)).await;
    for backend in deployment.backends.values() {
        backend.update_behaviour(|it| it.service_time = Millis(1_000));
    }
    let first = deployment.callers()[0];
    let in_flight: Vec<_> =
        (0..4).map(|i| (i, CallRequest::check(&format!("flying-{i}")).spawn(first))).collect();
    wait_until("the requests run", || {
        (0..4).all(|i| 0 < run_count(&deployment, &format!("flying-{i}")))
    })
    .await;
    for backend in deployment.backends.values() {
        backend.update_behaviour(|it| *it = Behaviour::default());
    }
    match how {
        "bundle" => by_bundle(&mut deployment).await,
        _ => by_server_report(&mut deployment).await,
    }
    for (i, answer) in in_flight {
        answer.await.unwrap().assert_answer_to(&format!("flying-{i}"));
    }
    let drained = |text: &str| {
        let burn: serde_json::Value = serde_json::from_str(text).unwrap();
        let drains = burn["drains"].as_array().unwrap();
        drains.iter().any(|it| it["backend"] == "north-a-backend-0" && it["took"].is_u64())
    };
    for address in deployment.callers() {
        wait_for_text(address, "/v1/burn", drained).await;
    }
    let before = deployment.run_log.runs().len();
    for (vm, running) in &deployment.entries {
        for i in 0..10 {
            for operation in ["check", "book"] {
                let id = format!("{operation}-{vm}-{i}");
                let request = CallRequest::for_operation(operation, &id, running);
                request.send(running.callers()).await.assert_answer_to(&id);
            }
        }
    }
    for run in &deployment.run_log.runs()[before..] {
        assert_eq!(run.server, "north-a-backend-1", "{run:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_header_in_an_answer_stops_requests_to_the_server() {
    const ANSWER: &str =
        "HTTP/1.1 200 OK\r\nth-leaving: 1\r\ncontent-length: 11\r\n\r\nr ran at x\n";
    let mut deployment = start_deployment(one_zone(1, 1)).await;
    let backend = RawBackend::start(ANSWER, false).await;
    backend.replace_backend(&mut deployment).await;
    let address = deployment.callers()[0];
    let answer = CallRequest::check("r").send(address).await;
    answer.assert_answer_to("r");
    assert!(!answer.headers.contains_key("th-leaving"), "{answer:?}");
    CallRequest::check("r").send(address).await.assert_notice(V::Refused, R::NoBackend);
    assert_eq!(backend.heads().len(), 1);
}
