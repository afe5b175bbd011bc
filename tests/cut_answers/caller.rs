//! A caller that takes its answers strictly as they are framed.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Bound on the wait for an answer; far longer than any takes.
const PATIENCE: Duration = Duration::from_secs(60);

/// An answer as a caller gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) id: Option<String>,
    pub(crate) is_signed: bool,
    pub(crate) body: String,
}

/// A caller with one connection.
pub(crate) struct Caller {
    address: SocketAddr,
    stream: TcpStream,
    received: Vec<u8>,
}

pub(crate) fn request(method: &Method, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 60000\r\n\r\n"
    )
}

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).await.unwrap();
        Caller { address, stream, received: Vec::new() }
    }

    pub(crate) async fn send(&mut self, requests: &str) {
        self.stream.write_all(requests.as_bytes()).await.unwrap();
    }

    /// Reads until the buffer holds that many bytes.
    async fn fill(&mut self, length: usize) {
        while self.received.len() < length {
            let read = timeout(PATIENCE, self.stream.read_buf(&mut self.received)).await;
            let read = read.expect("an answer in time").unwrap();
            let text = String::from_utf8_lossy(&self.received);
            assert!(0 < read, "the connection ended behind {text:?}");
        }
    }

    /// Reads the next answer, to a request with that method.
    pub(crate) async fn answer(&mut self, method: &Method) -> Answer {
        let end = loop {
            if let Some(end) = self.received.windows(4).position(|it| it == b"\r\n\r\n") {
                break end;
            }
            self.fill(self.received.len() + 1).await;
        };
        let head = String::from_utf8(self.received[..end].to_vec()).unwrap();
        self.received.drain(..end + 4);
        let lines: Vec<(String, &str)> = head
            .lines()
            .skip(1)
            .map(|it| it.split_once(": ").unwrap())
            .map(|(name, value)| (name.to_ascii_lowercase(), value))
            .collect();
        let fields = |name: &str| -> Vec<&str> {
            lines.iter().filter(|it| it.0 == name).map(|it| it.1).collect()
        };
        let status: u16 =
            head.strip_prefix("HTTP/1.1 ").unwrap_or_else(|| panic!("not HTTP/1.1: {head}"))[..3]
                .parse()
                .unwrap();
        assert!(fields("transfer-encoding").is_empty(), "{head}");
        let is_bodyless = *method == Method::HEAD || matches!(status, 204 | 304);
        let length = match fields("content-length")[..] {
            [] if is_bodyless => 0,
            [length] => length.parse().unwrap_or_else(|error| panic!("{error}: {head}")),
            _ => panic!("the length is not clear: {head}"),
        };
        let length = if is_bodyless { 0 } else { length };
        self.fill(length).await;
        let body = String::from_utf8(self.received.drain(..length).collect()).unwrap();
        let (id, closes) = (fields("attempt-id"), fields("connection").contains(&"close"));
        let id = id.first().map(|it| (*it).to_owned());
        let is_signed = fields("server-signature") == ["3e1b.07"];
        if closes {
            self.stream = TcpStream::connect(self.address).await.unwrap();
        }
        Answer { status, id, is_signed, body }
    }

    /// Sends a request and reads its answer.
    pub(crate) async fn call(&mut self, method: &Method, path: &str, id: &str) -> Answer {
        self.send(&request(method, path, id)).await;
        let answer = self.answer(method).await;
        assert_eq!(self.received, b"", "bytes that belong to no request");
        answer
    }
}
