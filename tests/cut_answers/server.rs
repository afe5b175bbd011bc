//! A backend server, or another VM, that breaks off its answers where the test says.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::shapes::{HEAD, PLAIN, Shape};

/// How a server ends an answer that it breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    Fin,
    Reset,
    /// It sends nothing more and keeps the connection open.
    Silent,
    /// It closes the connection without having read the request's body, which resets it.
    Unread,
    /// It sends the answer a second time, at once.
    Double,
    /// It sends the answer a second time, once the next request on the connection has arrived.
    Late,
}

/// What a server sends of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Part {
    pub(crate) shape: Shape,
    /// Number of bytes.
    pub(crate) length: usize,
    pub(crate) ending: Ending,
}

/// A request that a server received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Arrival {
    pub(crate) server: u32,
    /// Whether its connection had carried a request before.
    pub(crate) kept: bool,
    /// Whether an answer that was sent a second time came before its own.
    pub(crate) disturbed: bool,
}

/// What the servers of a test answer, and what they received.
#[derive(Default)]
pub(crate) struct Script {
    /// Answers to the next arrivals of a request, by its id; all others are plain and whole.
    parts: Mutex<BTreeMap<String, VecDeque<Part>>>,
    arrivals: Mutex<BTreeMap<String, Vec<Arrival>>>,
    /// Number of connections that were used again behind an answer that was broken off.
    reused: AtomicU32,
}

impl Script {
    pub(crate) fn plan(&self, id: &str, parts: &[Part]) {
        self.parts.lock().unwrap().insert(id.to_owned(), parts.iter().copied().collect());
    }

    pub(crate) fn arrivals(&self, id: &str) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    pub(crate) fn reused(&self) -> u32 {
        self.reused.load(Ordering::Relaxed)
    }

    fn receive(&self, id: &str, arrival: Arrival) -> Option<Part> {
        self.arrivals.lock().unwrap().entry(id.to_owned()).or_default().push(arrival);
        self.parts.lock().unwrap().get_mut(id)?.pop_front()
    }

    /// Starts a server; returns its address.
    pub(crate) async fn serve(self: &Arc<Script>, server: u32) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).unwrap();
                tokio::spawn(serve_connection(Arc::clone(&script), stream, server));
            }
        });
        address
    }
}

/// Head of a request.
struct Head {
    id: String,
    /// Length of the body.
    length: usize,
    /// Form of a whole answer.
    whole: Shape,
}

/// Reads the head of a request; `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<Head> {
    loop {
        let text = String::from_utf8_lossy(received).to_ascii_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            received.drain(..end + 4);
            let field = |name: &str| text[..end].lines().find_map(|it| it.strip_prefix(name));
            let length = field("content-length: ").map_or(0, |it| it.parse().unwrap());
            let whole = if text.starts_with("head ") { HEAD } else { PLAIN };
            return Some(Head { id: field("attempt-id: ")?.to_owned(), length, whole });
        }
        let (1..) = stream.read_buf(received).await.ok()? else {
            return None;
        };
    }
}

/// Reads the body of a request; `None` if the connection ends in it.
async fn read_body(stream: &mut TcpStream, received: &mut Vec<u8>, length: usize) -> Option<()> {
    while received.len() < length {
        let (1..) = stream.read_buf(received).await.ok()? else {
            return None;
        };
    }
    received.drain(..length);
    Some(())
}

async fn serve_connection(script: Arc<Script>, mut stream: TcpStream, server: u32) -> Option<()> {
    let (mut received, mut kept, mut late) = (Vec::new(), false, None::<Vec<u8>>);
    loop {
        let head = read_head(&mut stream, &mut received).await?;
        let part = script.receive(&head.id, Arrival { server, kept, disturbed: late.is_some() });
        if part.is_none_or(|it| it.ending != Ending::Unread) {
            read_body(&mut stream, &mut received, head.length).await?;
        }
        if let Some(copy) = late.take() {
            stream.write_all(&copy).await.ok()?;
        }
        let Some(part) = part else {
            stream.write_all(&head.whole.answer(&head.id)).await.ok()?;
            kept = true;
            continue;
        };
        let answer = part.shape.answer(&head.id);
        stream.write_all(&answer[..part.length]).await.ok()?;
        match part.ending {
            Ending::Double => {
                stream.write_all(&answer).await.ok()?;
                (kept, late) = (true, Some(Vec::new()));
                continue;
            }
            Ending::Late => {
                (kept, late) = (true, Some(answer));
                continue;
            }
            Ending::Silent if part.shape.body(&head.id, part).is_some() => {
                kept = true;
                continue;
            }
            Ending::Silent => {}
            Ending::Fin => stream.shutdown().await.ok()?,
            Ending::Reset => {
                // Dropping a stream with a zero linger time resets it.
                stream.set_zero_linger().unwrap();
                return None;
            }
            Ending::Unread => {
                let unread = stream.peek(&mut [0]).await.ok()?;
                assert_eq!(unread, 1, "the request has no body left");
                return None;
            }
        }
        if stream.read_u8().await.is_ok() {
            script.reused.fetch_add(1, Ordering::Relaxed);
        }
        return None;
    }
}
