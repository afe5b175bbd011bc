//! Forms in which a backend server frames its answers.

use http::Method;

use crate::server::{Ending, Part};

/// Where an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// With the last byte of its text.
    Framed,
    /// With the connection.
    Closed,
    /// It is no answer that may be passed on.
    Never,
}

/// A form of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) method: &'static Method,
    /// The answer; `ID` stands for the request's id.
    text: &'static str,
    /// The body that the caller must get of a whole answer.
    body: &'static str,
    pub(crate) status: u16,
    end: End,
}

const fn shape(text: &'static str, end: End) -> Shape {
    Shape { method: &Method::GET, text, body: "body of ID", status: 200, end }
}

// All ids are as long as `ID_LENGTH` says, and so all bodies are 18 bytes.
pub(crate) const ID_LENGTH: usize = 10;

macro_rules! signed {
    ($($rest:literal),*) => {
        concat!("HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: 3e1b.07\r\n", $($rest),*)
    };
}

pub(crate) const PLAIN: Shape = shape(signed!("Content-Length: 18\r\n\r\nbody of ID"), End::Framed);
pub(crate) const CHUNKED: Shape = shape(
    signed!("Transfer-Encoding: chunked\r\n\r\n8\r\nbody of \r\nA;x=1\r\nID\r\n0\r\n\r\n"),
    End::Framed,
);
pub(crate) const TRAILERS: Shape = shape(
    signed!(
        "Trailer: Note\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nbody of ID\r\n0\r\nNote: 1\r\n\r\n"
    ),
    End::Framed,
);
pub(crate) const UNSIZED: Shape = shape(signed!("Note: 1\r\n\r\nbody of ID"), End::Closed);
pub(crate) const HTTP_1_0: Shape = shape(
    "HTTP/1.0 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: 3e1b.07\r\n\r\nbody of ID",
    End::Closed,
);
pub(crate) const HEAD_HTTP_1_0: Shape = Shape {
    method: &Method::HEAD,
    body: "",
    ..shape("HTTP/1.0 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: 3e1b.07\r\n\r\n", End::Framed)
};
pub(crate) const EMPTY: Shape = Shape {
    body: "",
    status: 204,
    ..shape(
        "HTTP/1.1 204 No Content\r\nAttempt-Id: ID\r\nServer-Signature: 3e1b.07\r\n\r\n",
        End::Framed,
    )
};
/// States the length of the body that the caller has.
pub(crate) const UNCHANGED: Shape = Shape {
    body: "",
    status: 304,
    ..shape(
        "HTTP/1.1 304 Not Modified\r\nAttempt-Id: ID\r\nServer-Signature: 3e1b.07\r\nContent-Length: 18\r\n\r\n",
        End::Framed,
    )
};
pub(crate) const HEAD: Shape = Shape {
    method: &Method::HEAD,
    body: "",
    ..shape(signed!("Content-Length: 18\r\n\r\n"), End::Framed)
};
pub(crate) const HEAD_UNSIZED: Shape =
    Shape { method: &Method::HEAD, body: "", ..shape(signed!("\r\n"), End::Framed) };
pub(crate) const INTERIM: Shape = shape(
    concat!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
        signed!("Content-Length: 18\r\n\r\nbody of ID")
    ),
    End::Framed,
);
pub(crate) const LINE_FEEDS: Shape = shape(
    "HTTP/1.1 200 OK\nAttempt-Id: ID\nServer-Signature: 3e1b.07\nContent-Length: 18\n\nbody of ID",
    End::Framed,
);
pub(crate) const LINE_FEEDS_UNSIZED: Shape = shape(
    "HTTP/1.1 200 OK\nAttempt-Id: ID\nServer-Signature: 3e1b.07\nNote: 1\n\nbody of ID",
    End::Closed,
);
pub(crate) const TWO_LENGTHS: Shape =
    shape(signed!("Content-Length: 18\r\nContent-Length: 18\r\n\r\nbody of ID"), End::Framed);
pub(crate) const LISTED_LENGTHS: Shape =
    shape(signed!("Content-Length: 18, 18\r\n\r\nbody of ID"), End::Framed);
pub(crate) const HEAD_TWO_LENGTHS: Shape = Shape {
    method: &Method::HEAD,
    body: "",
    ..shape(signed!("Content-Length: 18\r\nContent-Length: 18\r\n\r\n"), End::Framed)
};
pub(crate) const HEAD_LISTED_LENGTHS: Shape = Shape {
    method: &Method::HEAD,
    body: "",
    ..shape(signed!("Content-Length: 18, 18\r\n\r\n"), End::Framed)
};
pub(crate) const HEAD_DIFFERENT_LENGTHS: Shape = Shape {
    method: &Method::HEAD,
    body: "",
    ..shape(signed!("Content-Length: 18\r\nContent-Length: 5\r\n\r\n"), End::Framed)
};
pub(crate) const LENGTH_AND_CHUNKS: Shape = shape(
    signed!("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nbody of ID\r\n0\r\n\r\n"),
    End::Framed,
);
pub(crate) const DIFFERENT_LENGTHS: Shape =
    shape(signed!("Content-Length: 18\r\nContent-Length: 5\r\n\r\nbody of ID"), End::Never);
pub(crate) const FOLDED: Shape =
    shape(signed!("Note: 1\r\n 2\r\nContent-Length: 18\r\n\r\nbody of ID"), End::Never);
pub(crate) const FOLDED_LENGTH: Shape =
    shape(signed!("Content-Length: 1\r\n 8\r\n\r\nbody of ID"), End::Never);
/// The signature is in the head of an interim answer only.
pub(crate) const INTERIM_SIGNED: Shape = shape(
    "HTTP/1.1 103 Early Hints\r\nAttempt-Id: ID\r\nServer-Signature: 3e1b.07\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nContent-Length: 18\r\n\r\nbody of ID",
    End::Never,
);
/// The signature is in the trailers only.
pub(crate) const TRAILERS_SIGNED: Shape = shape(
    "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nbody of ID\r\n0\r\nServer-Signature: 3e1b.07\r\n\r\n",
    End::Never,
);
/// Belongs to another request.
pub(crate) const FOREIGN: Shape = shape(
    "HTTP/1.1 200 OK\r\nAttempt-Id: not-ID\r\nServer-Signature: 3e1b.07\r\nContent-Length: 18\r\n\r\nbody of ID",
    End::Never,
);
/// Goes on in another protocol, for which no one asked, with bytes that look like an answer.
pub(crate) const SWITCHED: Shape = shape(
    concat!(
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n",
        "Attempt-Id: ID\r\nServer-Signature: 3e1b.07\r\n\r\n",
        signed!("Content-Length: 18\r\n\r\nbody of ID")
    ),
    End::Never,
);

impl Shape {
    /// Returns the bytes of the answer to a request.
    pub(crate) fn answer(&self, id: &str) -> Vec<u8> {
        assert_eq!(id.len(), ID_LENGTH);
        self.text.replace("ID", id).into_bytes()
    }

    pub(crate) fn length(&self) -> usize {
        self.answer(&"x".repeat(ID_LENGTH)).len()
    }

    /// Returns the body that a caller must get if the server sent that part; `None` if the answer has not ended.
    pub(crate) fn body(&self, id: &str, part: Part) -> Option<String> {
        let body = self.body.replace("ID", id);
        let missing = self.length() - part.length;
        match self.end {
            End::Framed if missing == 0 => Some(body),
            // What has arrived is the whole answer if the head is complete.
            End::Closed if part.ending == Ending::Fin && missing <= body.len() => {
                Some(body[..body.len() - missing].to_owned())
            }
            _ => None,
        }
    }
}
