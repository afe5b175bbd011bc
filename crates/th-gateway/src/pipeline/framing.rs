//! Where the requests of a connection begin and end.

/// Maximum number of header fields of a request; the HTTP library has the same limit.
pub(crate) const MAX_HEADERS: usize = 100;
/// Maximum number of hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: u32 = 16;

/// Body of a request, from the current position on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// The body has ended.
    Ended,
    /// This many bytes are left.
    Sized(u64),
    /// Chunked transfer coding.
    Chunked(Chunk),
    /// The end of the request cannot be told; all further bytes count as part of it.
    Unclear,
}

/// Position in a body with chunked transfer coding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    /// In the size of a chunk: value and number of digits so far.
    Size(u64, u32),
    /// Behind the size, before the end of the line.
    Extension(u64),
    /// In the data: number of bytes left.
    Data(u64),
    /// In the line break behind the data.
    DataEnd,
    /// In the trailer section: whether the current line is empty so far.
    Trailer(bool),
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Length in bytes, including the empty line at its end.
    pub length: usize,
    /// Whether requests behind it are not served, because it asks for the connection to be closed.
    pub is_last: bool,
    body: BodyState,
}

impl RequestHead {
    /// Whether no body follows.
    pub fn is_bodyless(&self) -> bool {
        self.body == BodyState::Ended
    }
}

/// Result of parsing the head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadStatus {
    /// More bytes are needed.
    Partial,
    /// Where the request ends cannot be told; the HTTP library decides what to do with it.
    Unclear,
    /// The head is complete.
    Complete(RequestHead),
}

fn has_token(value: &[u8], token: &str) -> bool {
    let mut parts = value.split(|it| *it == b',');
    parts.any(|it| it.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value.trim_ascii()).ok()?;
    let is_number = !text.is_empty() && text.bytes().all(|it| it.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Parses the head of a request at the front of `bytes`.
pub fn parse_head(bytes: &[u8]) -> HeadStatus {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return HeadStatus::Partial,
        Err(_) => return HeadStatus::Unclear,
    };
    if request.version != Some(1) || request.method == Some("CONNECT") {
        return HeadStatus::Unclear;
    }
    let (mut size, mut chunked, mut is_last) = (None, false, false);
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let stated = parse_length(header.value);
            if stated.is_none() || (size.is_some() && size != stated) {
                return HeadStatus::Unclear;
            }
            size = stated;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return HeadStatus::Unclear;
            }
            chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            is_last |= has_token(header.value, "close");
        } else if header.name.eq_ignore_ascii_case("upgrade") {
            return HeadStatus::Unclear;
        }
    }
    let body = match (size, chunked) {
        (Some(_), true) => return HeadStatus::Unclear,
        (None, true) => BodyState::Chunked(Chunk::Size(0, 0)),
        (None | Some(0), false) => BodyState::Ended,
        (Some(size), false) => BodyState::Sized(size),
    };
    HeadStatus::Complete(RequestHead { length, is_last, body })
}

impl Chunk {
    /// The position behind one more byte; `None` at the end of the body, an error if the byte is not allowed.
    fn after(self, byte: u8) -> Result<Option<Chunk>, ()> {
        let next = match (self, byte) {
            (Chunk::Size(size, digits), _) if byte.is_ascii_hexdigit() => {
                if digits == MAX_SIZE_DIGITS {
                    return Err(());
                }
                let digit = char::from(byte).to_digit(16).unwrap_or_default();
                Chunk::Size(size << 4 | u64::from(digit), digits + 1)
            }
            (Chunk::Size(_, 0), _) => return Err(()),
            (Chunk::Size(0, _) | Chunk::Extension(0), b'\n') => Chunk::Trailer(true),
            (Chunk::Size(size, _) | Chunk::Extension(size), b'\n') => Chunk::Data(size),
            (Chunk::Size(size, _) | Chunk::Extension(size), _) => Chunk::Extension(size),
            (Chunk::Data(1), _) => Chunk::DataEnd,
            (Chunk::Data(left), _) => Chunk::Data(left - 1),
            (Chunk::DataEnd, b'\r') => Chunk::DataEnd,
            (Chunk::DataEnd, b'\n') => Chunk::Size(0, 0),
            (Chunk::DataEnd, _) => return Err(()),
            (Chunk::Trailer(true), b'\n') => return Ok(None),
            (Chunk::Trailer(empty), b'\r') => Chunk::Trailer(empty),
            (Chunk::Trailer(_), it) => Chunk::Trailer(it == b'\n'),
        };
        Ok(Some(next))
    }
}

/// Position in the bytes of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Framing {
    /// Bytes left of the current request's head.
    head: usize,
    body: BodyState,
}

impl Default for Framing {
    fn default() -> Framing {
        Framing { head: 0, body: BodyState::Ended }
    }
}

impl Framing {
    /// Whether the last request has ended.
    pub fn is_at_end(&self) -> bool {
        self.head == 0 && self.body == BodyState::Ended
    }

    /// Starts with the next request.
    pub fn begin(&mut self, head: &RequestHead) {
        *self = Framing { head: head.length, body: head.body };
    }

    /// Counts all further bytes as part of the current request.
    pub fn set_unclear(&mut self) {
        *self = Framing { head: 0, body: BodyState::Unclear };
    }

    /// Moves past the bytes at the front of `bytes` that belong to the current request. Returns their number.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let head = self.head.min(bytes.len());
        self.head -= head;
        head + self.advance_body(&bytes[head..])
    }

    fn advance_body(&mut self, bytes: &[u8]) -> usize {
        match self.body {
            BodyState::Ended => 0,
            BodyState::Unclear => bytes.len(),
            BodyState::Sized(left) => {
                let part = (bytes.len() as u64).min(left);
                self.body = match left - part {
                    0 => BodyState::Ended,
                    left => BodyState::Sized(left),
                };
                part as usize
            }
            BodyState::Chunked(chunk) => self.advance_chunks(chunk, bytes),
        }
    }

    fn advance_chunks(&mut self, mut chunk: Chunk, bytes: &[u8]) -> usize {
        let mut index = 0;
        while index < bytes.len() {
            if let Chunk::Data(left) = chunk
                && 1 < left
            {
                let part = (left - 1).min((bytes.len() - index) as u64);
                chunk = Chunk::Data(left - part);
                index += part as usize;
                continue;
            }
            match chunk.after(bytes[index]) {
                Ok(Some(next)) => chunk = next,
                Ok(None) => {
                    self.body = BodyState::Ended;
                    return index + 1;
                }
                Err(()) => {
                    self.body = BodyState::Unclear;
                    return bytes.len();
                }
            }
            index += 1;
        }
        self.body = BodyState::Chunked(chunk);
        bytes.len()
    }
}
