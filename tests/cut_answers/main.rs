//! Answers of backend servers that are broken off at every byte, on all ways to the caller.

mod caller;
#[path = "../desk/mod.rs"]
mod desk;
#[path = "../entry/mod.rs"]
mod entry;
mod server;
mod shapes;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod world;

use caller::request;
use futures_util::future::join_all;
use http::Method;
use rstest::rstest;
use server::{Ending, Part};
use shapes::*;
use world::{LONG, SHORT, Way, World};

/// Number of good answers after which a VM knows how fast its servers are.
const WARM_UP: u32 = 100;
/// Number of requests, of which two in three get their answer a second time.
const ROUNDS: usize = 1_000;

/// Guards against an answer that is passed on as whole although its server broke it off, at any byte of its head or body.
#[rstest]
#[case::plain(PLAIN)]
#[case::chunked(CHUNKED)]
#[case::trailers(TRAILERS)]
#[case::without_length(UNSIZED)]
#[case::http_1_0(HTTP_1_0)]
#[case::head_http_1_0(HEAD_HTTP_1_0)]
#[case::no_content(EMPTY)]
#[case::not_modified(UNCHANGED)]
#[case::head(HEAD)]
#[case::head_without_length(HEAD_UNSIZED)]
#[case::interim(INTERIM)]
#[case::line_feeds(LINE_FEEDS)]
#[case::line_feeds_without_length(LINE_FEEDS_UNSIZED)]
#[case::two_lengths(TWO_LENGTHS)]
#[case::listed_lengths(LISTED_LENGTHS)]
#[case::head_two_lengths(HEAD_TWO_LENGTHS)]
#[case::head_listed_lengths(HEAD_LISTED_LENGTHS)]
#[case::head_different_lengths(HEAD_DIFFERENT_LENGTHS)]
#[case::length_and_chunks(LENGTH_AND_CHUNKS)]
#[case::different_lengths(DIFFERENT_LENGTHS)]
#[case::folded(FOLDED)]
#[case::folded_length(FOLDED_LENGTH)]
#[case::signed_in_interim_answer(INTERIM_SIGNED)]
#[case::signed_in_trailers(TRAILERS_SIGNED)]
#[case::foreign(FOREIGN)]
#[case::switched(SWITCHED)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_broken_off_is_never_taken_for_whole(#[case] shape: Shape) {
    let world = World::start(Way::Direct, [LONG; 2]).await;
    for ending in [Ending::Fin, Ending::Reset] {
        let (new, kept) = world.sweep(shape, ending).await;
        assert!(0 < new && 0 < kept, "{ending:?} on {new} new and {kept} kept connections");
    }
    assert_eq!(world.script.reused(), 0);
}

/// Guards against the same on the way over another VM, and against one that breaks off itself.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_broken_off_behind_another_vm_is_never_taken_for_whole(
    #[values(PLAIN, CHUNKED, UNSIZED, EMPTY, HEAD, INTERIM, INTERIM_SIGNED, FOREIGN, SWITCHED)]
    shape: Shape,
    #[values(Way::Passed, Way::Peer)] way: Way,
    #[values(Ending::Fin, Ending::Reset)] ending: Ending,
) {
    let world = World::start(way, [LONG; 2]).await;
    let (new, kept) = world.sweep(shape, ending).await;
    assert!(0 < new && 0 < kept, "{new} new and {kept} kept connections");
    assert_eq!(world.script.reused(), 0);
}

/// Guards against the same where a server falls silent: the other one that a hedged request is sent to gives the answer, and
/// a request that may run once is not sent again.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_server_falls_silent_is_never_taken_for_whole(
    #[values(PLAIN, CHUNKED, TRAILERS, UNSIZED, EMPTY, HEAD, INTERIM)] shape: Shape,
    #[values(Way::Direct, Way::Passed)] way: Way,
) {
    let world = World::start(way, [LONG, SHORT]).await;
    let ending = Ending::Silent;
    let calls = (0..=shape.length()).flat_map(|length| [("/look/x", length), ("/book/x", length)]);
    let calls = calls.map(|(path, length)| {
        let (world, part) = (&world, Part { shape, length, ending });
        async move {
            let id = format!("{}{length:0>9}", &path[1..2]);
            world.script.plan(&id, &[part]);
            let mut caller = world.caller().await;
            let answer = world.call(&mut caller, shape.method, path, &id).await;
            world.check(&answer, path, &id, part);
        }
    });
    join_all(calls).await;
    assert_eq!(world.script.reused(), 0);
}

/// Guards against a success for a request that both servers broke off, the first or the second by falling silent.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hedged_request_whose_answers_are_broken_off_gets_no_success(
    #[values(PLAIN, UNSIZED)] shape: Shape,
    #[values([Ending::Silent, Ending::Fin], [Ending::Silent, Ending::Reset], [Ending::Fin, Ending::Silent])]
    endings: [Ending; 2],
) {
    let world = World::start(Way::Direct, [SHORT, SHORT]).await;
    // What the servers take is known by then, so that requests are hedged long before they time out.
    let mut caller = world.caller().await;
    for number in 0..WARM_UP {
        let id = format!("w{number:0>9}");
        world.call(&mut caller, &Method::GET, "/look/x", &id).await;
    }
    let head = shape.length() - "body of ".len() - ID_LENGTH;
    let calls = (0..head).map(|length| {
        let (world, id) = (&world, format!("h{length:0>9}"));
        async move {
            let parts = endings.map(|ending| Part { shape, length, ending });
            world.script.plan(&id, &parts);
            let mut caller = world.caller().await;
            let answer = world.call(&mut caller, &Method::GET, "/look/x", &id).await;
            let arrivals = world.script.arrivals(&id);
            let seen = format!("{length}: {answer:?} {arrivals:?}");
            assert!(matches!(answer.status, 502 | 504) && !answer.is_signed, "{seen}");
            assert_eq!(arrivals.len(), 2, "{seen}");
            assert_ne!(arrivals[0].server, arrivals[1].server, "{seen}");
        }
    });
    join_all(calls).await;
    assert_eq!(world.script.reused(), 0);
}

/// Guards against an answer in the place of another one, when servers break off answers to pipelined requests.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_whose_answers_are_broken_off_are_answered_in_order(
    #[values(PLAIN, CHUNKED, UNSIZED, EMPTY)] shape: Shape,
    #[values(Ending::Fin, Ending::Reset)] ending: Ending,
) {
    let world = World::start(Way::Direct, [LONG; 2]).await;
    let mut caller = world.caller().await;
    // Not behind the whole answer, where a connection may be used again before its end is noticed.
    for length in 0..shape.length() {
        let part = Part { shape, length, ending };
        let whole = Part { shape: PLAIN, length: PLAIN.length(), ending: Ending::Silent };
        // Whether each may be repeated, and whether its answer is broken off.
        let requests = [
            (true, true),
            (true, false),
            (false, true),
            (true, true),
            (false, false),
            (true, false),
        ];
        let mut sent = Vec::new();
        for (number, (repeats, broken)) in requests.into_iter().enumerate() {
            let id = format!("p{number}{length:0>8}");
            let path = if repeats { "/look/x" } else { "/book/x" };
            if broken {
                world.script.plan(&id, &[part]);
            }
            sent.push((path, id, if broken { part } else { whole }));
        }
        let text: String =
            sent.iter().map(|(path, id, _)| request(&Method::GET, path, id)).collect();
        caller.send(&text).await;
        for (path, id, part) in sent {
            let answer = caller.answer(&Method::GET).await;
            world.check(&answer, path, &id, part);
        }
    }
    assert_eq!(world.script.reused(), 0);
}

/// Guards against an answer without a length that is taken for whole although its connection was reset, where the reset is
/// noticed while the request's body is sent.
#[rstest]
#[case::without_length(UNSIZED)]
#[case::with_length(PLAIN)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_reset_while_the_request_is_sent_is_not_whole(#[case] shape: Shape) {
    let world = World::start(Way::Direct, [LONG; 2]).await;
    let body = "x".repeat(1 << 20);
    let mut caller = world.caller().await;
    for round in 0..3 {
        for length in shape.length() - 30..=shape.length() {
            let (id, part) =
                (format!("u{round}{length:0>8}"), Part { shape, length, ending: Ending::Unread });
            world.script.plan(&id, &[part]);
            let head = request(&Method::POST, "/book/x", &id);
            let head =
                head.replace("\r\n\r\n", &format!("\r\nContent-Length: {}\r\n\r\n", body.len()));
            caller.send(&head).await;
            caller.send(&body).await;
            let answer = caller.answer(&Method::POST).await;
            world.check(&answer, "/book/x", &id, part);
        }
    }
}

/// Guards against an answer to an earlier request of its connection, which a server sends a second time: at once, or when
/// the next answer is due.
#[rstest]
#[case::at_once(Ending::Double, Way::Direct)]
#[case::late(Ending::Late, Way::Direct)]
#[case::late_behind_another_vm(Ending::Late, Way::Passed)]
#[case::late_from_another_vm(Ending::Late, Way::Peer)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_copy_of_an_answer_reaches_no_other_request(
    #[case] ending: Ending,
    #[case] way: Way,
    #[values(PLAIN, CHUNKED, EMPTY, HEAD)] shape: Shape,
) {
    let world = World::start(way, [LONG; 2]).await;
    let mut caller = world.caller().await;
    let part = Part { shape, length: shape.length(), ending };
    let mut disturbed = [0, 0];
    for number in 0..ROUNDS {
        let path = if number % 2 == 0 { "/look/x" } else { "/book/x" };
        let id = format!("b{number:0>9}");
        if number % 3 != 2 {
            world.script.plan(&id, &[part]);
        }
        let answer = world.call(&mut caller, shape.method, path, &id).await;
        let arrivals = world.script.arrivals(&id);
        let seen = format!("{path} {id}: {answer:?} {arrivals:?}");
        assert!(path == "/look/x" || arrivals.len() == 1, "{seen}");
        disturbed[number % 2] += usize::from(arrivals[0].disturbed);
        if arrivals.iter().all(|it| it.disturbed) {
            assert!(answer.status == 502 && !answer.is_signed && answer.id.is_none(), "{seen}");
            continue;
        }
        let is_own = answer.body.is_empty() || answer.body == format!("body of {id}");
        let is_success = matches!(answer.status, 200 | 204) && answer.is_signed;
        assert!(is_success && is_own && answer.id == Some(id), "{seen}");
    }
    // Bytes behind an answer that come with it are seen before the connection is used again.
    assert!(ending == Ending::Double || disturbed.iter().all(|it| 0 < *it), "{disturbed:?}");
}
