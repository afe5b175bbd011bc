//! A client's request.

use std::{net::SocketAddr, time::Duration};

use crate::{http::Connection, record::Record};

/// How a request ended.
#[derive(Debug, Clone)]
pub struct Answered {
    pub id: String,
    pub sent: Duration,
    pub ended: Duration,
    /// Whether a connection was made.
    pub connected: bool,
    /// `None` if its connection ended without a complete answer, or no answer came by the deadline.
    pub status: Option<u16>,
}

/// Sends a request on a connection of its own and waits for the answer until the deadline.
pub fn send(
    record: &Record,
    address: SocketAddr,
    (method, host, path): (&str, &str, &str),
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Answered {
    let sent = record.now();
    record.add(format!("client sends request {id}: {method} {path} to {address}"));
    let opened = Connection::open(address, Duration::from_millis(deadline_ms));
    let connected = opened.is_ok();
    let answer = opened.and_then(|it| exchange(it, (method, host, path), id, deadline_ms, body));
    let ended = record.now();
    let (status, text) = match answer {
        Ok((status, retry_after)) => {
            (Some(status), format!("status {status} retry-after {retry_after:?}"))
        }
        Err(error) => (None, format!("no answer: {error}")),
    };
    record.add(format!("client's request {id} ends: {text}"));
    Answered { id: id.to_owned(), sent, ended, connected, status }
}

fn exchange(
    mut connection: Connection,
    (method, host, path): (&str, &str, &str),
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> std::io::Result<(u16, String)> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nCookie: Affinity-Key=17\r\nRequest-Deadline: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    connection.write(body)?;
    let answer = connection.read()?;
    Ok((answer.status(), answer.header("retry-after").to_owned()))
}
