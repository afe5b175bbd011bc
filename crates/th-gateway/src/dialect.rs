//! What the data path needs to know of messages, whatever their headers are called.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Uri, request, response};
use th_protocol::{BackendId, Millis, Slots, ZoneId};

/// What a caller's request says beside its method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id of this attempt of the caller.
    pub id: String,
    /// How long the caller waits for the answer.
    pub time_left: Option<Millis>,
    /// The object that the request concerns.
    pub object: Option<String>,
}

/// What a backend server's answer says beside its status and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerInfo {
    /// The attempt that it answers, as far as it says.
    pub id: Option<String>,
    /// The server did not run the request.
    pub not_executed: bool,
    /// Another server has the address.
    pub moved: bool,
    /// The answer is the server's own, not that of something in between.
    pub signed: bool,
    /// Requests that the server runs or holds.
    pub busy: Option<Slots>,
    /// How long the server keeps an idle connection.
    pub idle_timeout: Option<Millis>,
}

/// A caller's question which entry VMs to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupQuery {
    /// The host that the caller will ask for.
    pub host: String,
    /// The caller's data centre.
    pub zone: ZoneId,
}

/// Reads and writes the messages of a platform.
pub trait Dialect {
    /// What a caller's request says.
    fn read_request(&self, head: &request::Parts) -> RequestInfo;
    /// Sets the headers that a backend server needs; `left` is the time until the answer has to be there.
    fn set_request_headers(&self, headers: &mut HeaderMap, backend: &BackendId, time_left: Millis);
    /// What a backend server's answer says.
    fn read_answer(&self, head: &response::Parts) -> AnswerInfo;
    /// Whether a request on the look-up listener asks which entry VMs to use; `None` if it asks for something else.
    fn parse_lookup(&self, uri: &Uri) -> Option<LookupQuery>;
    /// The answer to a look-up: content type and body.
    fn lookup_answer(&self, addresses: &[SocketAddr], ttl: Millis) -> (&'static str, Bytes);
    /// Whether the path asks if this VM is ready.
    fn is_readiness_path(&self, path: &str) -> bool;
}
