//! HTTP/1.1 over blocking sockets: as much of it as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or an answer; of the first line, the parts between spaces.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn answer(status: u16, body: &str) -> Message {
        let first = vec!["HTTP/1.1".to_owned(), status.to_string(), "Status".to_owned()];
        Message { first, headers: Vec::new(), body: body.as_bytes().to_vec() }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Message {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        let target = self.first.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or_default()
    }

    /// A value of the query, with percent signs and plus signs decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.first.get(1)?.split_once('?')?;
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        let (_, value) = pairs.into_iter().find(|it| it.0 == name)?;
        let (mut text, mut rest) = (Vec::new(), value.as_bytes());
        while let Some((first, others)) = rest.split_first() {
            let code = others.get(..2).and_then(|it| std::str::from_utf8(it).ok());
            match (first, code.and_then(|it| u8::from_str_radix(it, 16).ok())) {
                (b'%', Some(byte)) => {
                    text.push(byte);
                    rest = &others[2..];
                }
                (b'+', _) => {
                    text.push(b' ');
                    rest = others;
                }
                _ => {
                    text.push(*first);
                    rest = others;
                }
            }
        }
        String::from_utf8(text).ok()
    }

    pub fn write(&self, stream: &mut impl Write) -> io::Result<()> {
        let mut text = self.first.join(" ") + "\r\n";
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        stream.write_all(&[text.as_bytes(), &self.body].concat())
    }
}

/// Reads a message with a stated length or in chunks; `None` at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().splitn(3, ' ').map(str::to_owned).collect();
    let mut message = Message { first, ..Message::default() };
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            stream.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut part = vec![0; size + 2];
            stream.read_exact(&mut part)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&part[..size]);
        }
    }
    let length = message.header("content-length").map_or(Ok(0), str::parse);
    message.body = vec![0; length.map_err(io::Error::other)?];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Serves each connection on a thread of its own. No answer closes the connection.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Message) -> Option<Message> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut reader) {
                    let Some(answer) = handle(request) else { break };
                    if answer.write(&mut writer).is_err() {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Sends a request over a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &Message, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    request.write(&mut stream)?;
    read(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// Opens a listener on a free port of the loopback address.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A free address, on which nothing listens yet.
pub fn free() -> SocketAddr {
    listen().local_addr().expect("the address of a listener")
}
