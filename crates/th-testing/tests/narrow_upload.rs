//! Values that a client sends over a link that others use as well.

use std::{net::SocketAddr, time::Duration};

use th_platform::{CasAnswer, HttpPlatform, Key, Platform, WriteOutcome};
use th_protocol::{Mbit, Revision, layout::MAX_PART_BYTES};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep_until},
};

/// Half of the link of a small VM.
const HALF: Mbit = Mbit(5);
/// Size of the pieces in which the server reads.
const PIECE: usize = 4 << 10;

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

/// Reads a request at a rate, and answers that the write was applied.
async fn take_write(mut stream: TcpStream) {
    let mut request = Vec::new();
    let mut piece = vec![0; PIECE];
    let begun = Instant::now();
    loop {
        let size = stream.read(&mut piece).await.unwrap();
        request.extend_from_slice(&piece[..size]);
        sleep_until(begun + Duration::from_millis(request.len() as u64 / HALF.bytes_per_ms()))
            .await;
        let Some(end) = request.windows(4).position(|it| it == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&request[..end]).to_lowercase();
        let length = head.lines().find_map(|it| it.strip_prefix("content-length: ")).unwrap();
        if end + 4 + length.parse::<usize>().unwrap() <= request.len() {
            break;
        }
    }
    let body = serde_json::to_string(&CasAnswer::Applied(Revision(7))).unwrap();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(answer.as_bytes()).await.unwrap();
}

/// Guards against bundles that `thctl` cannot roll, because each upload of the largest part is given up on its way.
#[tokio::test]
async fn the_largest_part_of_a_bundle_is_written_over_half_of_a_narrow_link() {
    let address = serve(take_write).await;
    let client = HttpPlatform::new(&format!("http://{address}"));
    let part = vec![120; MAX_PART_BYTES];
    let written = client.cas(&Key::new("part/large"), None, Some(part), None).await;
    assert_eq!(written, WriteOutcome::Applied(Revision(7)));
}
