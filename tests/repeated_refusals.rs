//! Backend servers that write an answer once more on a kept connection, where the answer to the next request is due.

mod desk;
mod entry;
#[path = "../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{process::Stdio, time::Duration};

use desk::config;
use entry::{EntryProcess, ListenAddresses, settings};
use reqwest::{Method, Response};
use rstest::rstest;
use serde_json::json;
use stand_in::{
    BUSY, CopyId, Framing, Moment, REFUSAL_TEXT, REFUSED, RepeatingServer, Repeats, STATUS_MARK,
    StandInStore,
};
use tokio::time::sleep;

/// Requests of each case.
const ROUNDS: u32 = 10;
/// Statuses that tell a caller that its request has not run and never will.
const PROMISES: &[u16] = &[408, 421, 429, 503];
const RESTING: &str = "503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 2";
const RATE_LIMITED: &str = "429 Too Many Requests\r\nNot-Executed: 1";
const MALFORMED: &str = "400 Bad Request\r\nNot-Executed: 1";
const MISDIRECTED: &str = "421 Misdirected Request";
const NOT_FOUND: &str = "404 Not Found\r\nServer-Signature: 3e1b.07";
const FAILED: &str = "500 Internal Server Error\r\nServer-Signature: 3e1b.07";

struct Deployment {
    _store: StandInStore,
    servers: Vec<RepeatingServer>,
    entry: EntryProcess,
}

/// What became of the requests that followed a refusal.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    served: u32,
    /// Told that they had not run.
    refused: u32,
    unknown: u32,
    /// Told that they had not run, and had.
    false_promises: u32,
    /// Ran more than once.
    twice: u32,
    /// Got another request's answer.
    mixed: u32,
    /// Received on a connection after a copy.
    late: u32,
}

impl Deployment {
    async fn start(count: usize, repeats: Repeats) -> Deployment {
        let (store, mut servers) = (StandInStore::start().await, Vec::new());
        for index in 1..=count {
            let server = RepeatingServer::start(&format!("i-{index}"), repeats).await;
            store.put(&format!("servers/{}", server.id), &server.entry());
            servers.push(server);
        }
        let mut item = config(7, "/look/");
        let mut open = item["routes"][0].clone();
        (open["name"], open["prefix"], open["public"]) =
            (json!("open"), json!("/open/"), json!(true));
        item["routes"].as_array_mut().unwrap().push(open);
        item["tenants"] = json!([{"name": "port", "api_keys": ["k-port"]}]);
        store.put("op/config", &item);
        let listen = ListenAddresses::free();
        let settings = settings("vm-1", "north-a", listen, store.address);
        let entry = EntryProcess::start(listen, &settings, Stdio::null());
        entry.wait_until_ready().await;
        entry.wait_for_status("/open/first", 200).await;
        Deployment { _store: store, servers, entry }
    }

    async fn send(&self, method: Method, path: &str, id: &str) -> Response {
        let url = format!("http://{}{path}", self.entry.listen.callers);
        let request = self.entry.client.request(method, url).header("host", "desk.example");
        let request = request.header("attempt-id", id).header("request-deadline", "1000");
        request.header("credential", "k-port").body("body").send().await.unwrap()
    }

    fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|it| it.runs(id)).sum()
    }

    fn sum(&self, count: impl Fn(&RepeatingServer) -> u32) -> u32 {
        self.servers.iter().map(count).sum()
    }

    /// Sends requests until a server has turned that many away. Returns what the callers of these were told.
    async fn refuse(&self, count: u32) -> Vec<u16> {
        let (mut statuses, mut refusals) = (Vec::new(), 0);
        for number in 0..1_000 {
            if refusals == count {
                return statuses;
            }
            let answer = self.send(Method::POST, "/book/x", &format!("{REFUSED}-{number}")).await;
            let seen = self.sum(RepeatingServer::refusals);
            if seen == refusals {
                // The VM itself turned it away.
                assert_eq!(answer.status(), 503);
                continue;
            }
            assert_eq!(seen, refusals + 1);
            refusals = seen;
            statuses.push(answer.status().as_u16());
        }
        panic!("{refusals} of {count} requests were turned away by a server");
    }

    /// Sends a request that is turned away and then another one, several times.
    async fn tally(&self, method: &Method, path: &str) -> Tally {
        let mut tally = Tally::default();
        for round in 0..ROUNDS {
            self.send(method.clone(), path, &format!("{REFUSED}-{round}")).await;
            let id = format!("next-{round}");
            let answer = self.send(method.clone(), path, &id).await;
            let status = answer.status().as_u16();
            let echoed = answer.headers().get("attempt-id").cloned();
            let body = answer.text().await.unwrap();
            let (runs, is_own) = (self.runs(&id), body.ends_with(&format!("ran {id} {path}")));
            let once = *method != Method::GET;
            tally.served += u32::from(status == 200);
            tally.refused += u32::from(PROMISES.contains(&status));
            tally.unknown += u32::from(matches!(status, 502 | 504));
            tally.false_promises += u32::from(once && 0 < runs && PROMISES.contains(&status));
            tally.twice += u32::from(once && 1 < runs);
            let is_other = echoed.is_some_and(|it| it != id.as_str());
            let is_mixed = is_other || body.contains(REFUSAL_TEXT) || is_own != (status == 200);
            tally.mixed += u32::from(is_mixed);
        }
        tally.late = self.sum(RepeatingServer::late);
        println!("{} copies at work: {tally:?}", self.sum(RepeatingServer::copies));
        tally
    }
}

/// Guards against a refusal that a server writes once more and that is taken for the answer to the next request: its
/// caller is told that it has not run, or it runs at a second server.
#[rstest]
#[case::earlier(Repeats::default())]
#[case::absent(Repeats { id: CopyId::Absent, ..Repeats::default() })]
#[case::removed(Repeats { id: CopyId::Removed, ..Repeats::default() })]
#[case::repeated(Repeats { id: CopyId::Repeated, ..Repeats::default() })]
#[case::both(Repeats { id: CopyId::Both, ..Repeats::default() })]
#[case::unreadable(Repeats { id: CopyId::Unreadable, ..Repeats::default() })]
#[case::at_work(Repeats { moment: Moment::AtWork, ..Repeats::default() })]
#[case::at_work_removed(Repeats { moment: Moment::AtWork, id: CopyId::Removed, ..Repeats::default() })]
#[case::with_refusal(Repeats { moment: Moment::WithRefusal, ..Repeats::default() })]
#[case::with_refusal_absent(Repeats { moment: Moment::WithRefusal, id: CopyId::Absent, ..Repeats::default() })]
#[case::after_refusal(Repeats { moment: Moment::AfterRefusal, ..Repeats::default() })]
#[case::after_refusal_absent(Repeats { moment: Moment::AfterRefusal, id: CopyId::Absent, ..Repeats::default() })]
#[case::after_refusal_removed(Repeats { moment: Moment::AfterRefusal, id: CopyId::Removed, ..Repeats::default() })]
#[case::no_answer(Repeats { answers: false, ..Repeats::default() })]
#[case::no_answer_removed(Repeats { answers: false, id: CopyId::Removed, ..Repeats::default() })]
#[case::chunked(Repeats { framing: Framing::Chunked, ..Repeats::default() })]
#[case::chunked_removed(Repeats { framing: Framing::Chunked, id: CopyId::Removed, ..Repeats::default() })]
#[case::closing(Repeats { framing: Framing::Close, ..Repeats::default() })]
#[case::closing_removed(Repeats { framing: Framing::Close, id: CopyId::Removed, ..Repeats::default() })]
#[case::rate_limited(Repeats { head: RATE_LIMITED, ..Repeats::default() })]
#[case::rate_limited_removed(Repeats { head: RATE_LIMITED, id: CopyId::Removed, ..Repeats::default() })]
#[case::malformed_removed(Repeats { head: MALFORMED, id: CopyId::Removed, ..Repeats::default() })]
#[case::misdirected(Repeats { head: MISDIRECTED, ..Repeats::default() })]
#[case::misdirected_removed(Repeats { head: MISDIRECTED, id: CopyId::Removed, ..Repeats::default() })]
#[case::misdirected_absent(Repeats { head: MISDIRECTED, id: CopyId::Absent, ..Repeats::default() })]
#[tokio::test]
async fn a_repeated_refusal_is_not_the_next_answer(#[case] repeats: Repeats) {
    let deployment = Deployment::start(2, repeats).await;
    for (method, path) in [(Method::POST, "/book/x"), (Method::GET, "/look/x")] {
        let tally = deployment.tally(&method, path).await;
        let Tally { false_promises, twice, mixed, late, .. } = tally;
        assert_eq!((false_promises, twice, mixed, late), (0, 0, 0, 0), "{method}: {tally:?}");
    }
    let is_awaited = matches!(repeats.moment, Moment::OnArrival | Moment::AtWork);
    let copies = deployment.sum(RepeatingServer::copies);
    assert!(!is_awaited || repeats.id == CopyId::Absent || 0 < copies, "no copy was written");
}

/// Guards against an earlier answer that a server writes once more and that reaches the caller of the next request.
#[rstest]
#[case::not_found(NOT_FOUND)]
#[case::failed(FAILED)]
#[tokio::test]
async fn a_repeated_answer_reaches_no_other_caller(
    #[case] head: &'static str,
    #[values(CopyId::Earlier, CopyId::Removed, CopyId::Absent)] id: CopyId,
) {
    let deployment = Deployment::start(2, Repeats { head, id, ..Repeats::default() }).await;
    for (method, path) in [(Method::POST, "/book/x"), (Method::GET, "/look/x")] {
        let tally = deployment.tally(&method, path).await;
        let Tally { false_promises, twice, mixed, late, .. } = tally;
        assert_eq!((false_promises, twice, mixed, late), (0, 0, 0, 0), "{method}: {tally:?}");
    }
}

/// Guards against the loss of true refusals: one that states the attempt's id means that the request has not run, on a
/// kept connection too, which is kept further.
#[rstest]
#[case::busy(BUSY)]
#[case::rate_limited(RATE_LIMITED)]
#[case::malformed(MALFORMED)]
#[tokio::test]
async fn a_refusal_of_the_attempt_is_told_at_once(#[case] head: &'static str) {
    let repeats = Repeats { head, moment: Moment::Never, ..Repeats::default() };
    let deployment = Deployment::start(1, repeats).await;
    let opened = deployment.sum(RepeatingServer::connections);
    assert_eq!(deployment.refuse(ROUNDS).await, [503; ROUNDS as usize]);
    assert_eq!(deployment.sum(RepeatingServer::connections), opened);
}

/// Guards against a refusal without an id that is held for that of the attempt: it can be a copy of an earlier one, unless
/// nothing was sent before on its connection.
#[tokio::test]
async fn a_refusal_without_an_id_counts_on_a_new_connection() {
    let repeats = Repeats { id: CopyId::Absent, moment: Moment::Never, ..Repeats::default() };
    let deployment = Deployment::start(1, repeats).await;
    assert_eq!(deployment.refuse(4).await, [502, 503, 503, 503]);
}

/// Guards against a server that is left out since a late copy of a refusal asks for the pause once more.
#[tokio::test]
async fn a_repeated_refusal_starts_no_pause() {
    let deployment = Deployment::start(1, Repeats { head: RESTING, ..Repeats::default() }).await;
    assert_eq!(deployment.refuse(1).await, [503]);
    for number in 0..500 {
        if deployment.sum(RepeatingServer::copies) == 1 {
            break;
        }
        deployment.send(Method::GET, "/look/x", &format!("next-{number}")).await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(deployment.sum(RepeatingServer::copies), 1);
    let answer = deployment.send(Method::GET, "/look/x", "after").await;
    assert_eq!((answer.status().as_u16(), deployment.runs("after")), (200, 1));
}

/// Guards against a server's answer that reaches the caller as the promise that the request has not run, although it does
/// not state that.
#[rstest]
#[case::timeout(408)]
#[case::rate_limited(429)]
#[case::busy(503)]
#[tokio::test]
async fn only_a_refusal_that_says_so_is_a_promise(#[case] stated: u16) {
    let deployment =
        Deployment::start(2, Repeats { moment: Moment::Never, ..Repeats::default() }).await;
    let path = format!("/book{STATUS_MARK}{stated}");
    for round in 0..ROUNDS {
        let id = format!("ran-{round}");
        let status = deployment.send(Method::POST, &path, &id).await.status().as_u16();
        let runs = deployment.runs(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
        let is_told = PROMISES.contains(&status);
        assert!(runs == 0 || !is_told, "round {round}: {id} ran, and its caller was told {status}");
    }
    assert!(0 < deployment.runs("ran-0"));
}
