//! Answers of the store that trickle or stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rstest::rstest;
use th_entry::Pace;
use th_platform::{CountedPlatform, HttpPlatform, Key, MAX_TRANSFER, Platform};
use th_protocol::Millis;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Pause between the bytes of a server that drips.
const DRIP: Duration = Duration::from_millis(100);

/// Starts a server of one connection.
async fn serve<F: Future<Output = ()> + Send + 'static>(
    answer: impl FnOnce(TcpStream) -> F + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer(stream).await;
    });
    address
}

async fn drip(mut stream: TcpStream) {
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n";
    let mut sent = stream.write_all(head).await;
    while sent.is_ok() {
        sleep(DRIP).await;
        sent = stream.write_all(b" ").await;
    }
}

/// Guards against calls that never end, because a byte of the answer arrives now and then.
#[rstest]
#[case::counted(true)]
#[case::plain(false)]
#[tokio::test]
async fn an_answer_that_trickles_is_given_up(#[case] counted: bool) {
    let address = serve(drip).await;
    let client = HttpPlatform::new(&format!("http://{address}"));
    let call = Pace::default().call;
    let begun = Instant::now();
    let read = if counted {
        CountedPlatform::new(Arc::new(client), call).read(&Key::new("part/large")).await
    } else {
        client.read(&Key::new("part/large")).await
    };
    read.unwrap_err();
    // The longest transfer, and the time until an answer must begin.
    let limit = MAX_TRANSFER.plus(Millis(2_000)).plus(call);
    assert!(begun.elapsed() < Duration::from_millis(limit.0), "{:?}", begun.elapsed());
}

/// Guards against calls that wait for the whole transfer time of an answer that has stopped.
#[tokio::test]
async fn an_answer_that_falls_silent_is_given_up_soon() {
    let address = serve(async |mut stream| {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n[";
        stream.write_all(answer).await.unwrap();
        let _ = stream.read_to_end(&mut Vec::new()).await;
    })
    .await;
    let client = HttpPlatform::new(&format!("http://{address}"));
    let call = Pace::default().call;
    let client = CountedPlatform::new(Arc::new(client), call);
    let begun = Instant::now();
    client.read(&Key::new("part/large")).await.unwrap_err();
    // A time-out that begins when the head arrives, and the one that is under way then.
    let limit = Duration::from_millis(call.plus(call).plus(call).0);
    assert!(begun.elapsed() < limit, "{:?}", begun.elapsed());
}

/// Guards against answers without end, which arrive as fast as they can be read.
#[tokio::test]
async fn an_answer_without_end_is_given_up() {
    let address = serve(async |mut stream| {
        let part = vec![b' '; 1 << 20];
        let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
        while sent.is_ok() {
            sent = stream.write_all(&part).await;
        }
    })
    .await;
    let client = HttpPlatform::new(&format!("http://{address}"));
    let error = client.read(&Key::new("part/large")).await.unwrap_err();
    assert!(error.to_string().contains("the answer is larger than"), "{error}");
}
