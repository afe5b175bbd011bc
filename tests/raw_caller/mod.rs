//! A caller's connection on which requests are written as they are.

#![allow(dead_code, reason = "no test file uses all items")]

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Bound on every wait of these tests.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A caller's connection on which requests are written as they are.
pub(crate) struct RawCaller {
    pub(crate) stream: TcpStream,
    received: Vec<u8>,
}

/// Status and attempt id of an answer, its verdict and reason if it has them, and whether it closes the connection.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) id: String,
    pub(crate) verdict: String,
    pub(crate) reason: String,
    pub(crate) closes: bool,
}

pub(crate) fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 600000\r\n\r\n"
    )
}

pub(crate) fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 600000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

impl RawCaller {
    pub(crate) async fn connect(address: SocketAddr) -> RawCaller {
        RawCaller { stream: TcpStream::connect(address).await.unwrap(), received: Vec::new() }
    }

    pub(crate) async fn send(&mut self, requests: &[String]) {
        self.stream.write_all(requests.concat().as_bytes()).await.unwrap();
    }

    /// Reads the next answer; `None` if the connection has ended.
    pub(crate) async fn answer(&mut self) -> Option<Answer> {
        loop {
            let text = String::from_utf8_lossy(&self.received).to_ascii_lowercase();
            if let Some(end) = text.find("\r\n\r\n") {
                let field = |name: &str| {
                    let start = text[..end].split(&format!("\r\n{name}: ")).nth(1);
                    start.map(|it| it.lines().next().unwrap().to_owned())
                };
                let length: usize = field("content-length").unwrap().parse().unwrap();
                if end + 4 + length <= text.len() {
                    self.received.drain(..end + 4 + length);
                    return Some(Answer {
                        status: text[9..12].parse().unwrap(),
                        id: field("attempt-id").unwrap_or_default(),
                        verdict: field("th-verdict").unwrap_or_default(),
                        reason: field("th-reason").unwrap_or_default(),
                        closes: field("connection").as_deref() == Some("close"),
                    });
                }
            }
            let read = timeout(PATIENCE, self.stream.read_buf(&mut self.received)).await;
            // A connection that is reset has ended too.
            if read.expect("an answer or the end").unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    pub(crate) async fn ids(&mut self, count: usize) -> Vec<String> {
        let mut ids = Vec::new();
        for _ in 0..count {
            let answer = self.answer().await.unwrap();
            assert_eq!(answer.status, 200);
            ids.push(answer.id);
        }
        ids
    }
}
