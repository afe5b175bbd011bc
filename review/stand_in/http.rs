//! HTTP/1.1 over blocking sockets: requests of a server's connections, and single calls.

use std::{
    collections::BTreeMap,
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// The head and body of a message; names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Method, path and version, or version, status and reason.
    pub start: Vec<String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn method(&self) -> &str {
        self.start.first().map_or("", |it| it)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.get(1).map_or("", |it| it)
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |it| it)
    }

    /// A value of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').find_map(|it| it.split_once('=').filter(|it| it.0 == name))?;
        let (mut out, bytes, mut at) = (Vec::new(), pair.1.as_bytes(), 0);
        while at < bytes.len() {
            let code = bytes.get(at + 1..at + 3).and_then(|it| std::str::from_utf8(it).ok());
            match (bytes[at], code.and_then(|it| u8::from_str_radix(it, 16).ok())) {
                (b'%', Some(byte)) => {
                    out.push(byte);
                    at += 3;
                }
                (b'+', _) => {
                    out.push(b' ');
                    at += 1;
                }
                (byte, _) => {
                    out.push(byte);
                    at += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }
}

/// A connection with the bytes that were read too far.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: Vec::new() }
    }

    /// Opens a connection whose reads wait for `limit` at most.
    pub fn open(address: SocketAddr, limit: Duration) -> Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self) -> Result<()> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "the connection was closed"));
        }
        self.buffer.extend_from_slice(&part[..count]);
        Ok(())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a message with a stated length or in chunks.
    pub fn read(&mut self) -> Result<Message> {
        let mut message = Message::default();
        message.start = self.line()?.split(' ').map(str::to_owned).collect();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).unwrap_or(0);
                let part = self.bytes(size)?;
                message.body.extend(part);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.bytes(length)?;
        Ok(message)
    }

    pub fn write(&mut self, text: &[u8]) -> Result<()> {
        self.stream.write_all(text)
    }

    /// Writes an answer with a body of stated length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> Result<()> {
        let mut text = format!("HTTP/1.1 {status} Answer\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.stream.set_nonblocking(true).ok();
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Runs a thread for each connection of a listener.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}
