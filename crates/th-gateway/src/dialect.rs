//! The data path's view of messages, independent of header names and paths.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Uri, request, response};
use th_protocol::{BackendId, Millis, OrganisationId, RequestRate, Slots, ZoneId};
use th_steer::organisation::KeyDigest;

/// Properties of a caller's request beside its method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Time for which the caller waits for the answer.
    pub time_left: Option<Millis>,
    /// Object that the request concerns.
    pub object: Option<String>,
    /// Digest of the key by which the caller identifies its organisation.
    pub key: Option<KeyDigest>,
}

/// Properties of a backend server's answer beside its status and body.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerInfo {
    /// Id of the attempt that it answers, if it states one. One that is ambiguous equals that of no request.
    pub id: Option<String>,
    /// Whether the server did not run the request.
    pub not_executed: bool,
    /// Whether a different server listens at the address.
    pub moved: bool,
    /// Whether the answer comes from the server itself, not from an intermediary.
    pub signed: bool,
    /// Number of requests that the server runs or queues.
    pub busy: Option<Slots>,
    /// Requests a second that the server accepts from all VMs together; `None` if it states no limit.
    pub limit: Option<RequestRate>,
    /// Whether the server leaves.
    pub leaving: bool,
    /// Time for which the server wants no more requests.
    pub rest: Option<Millis>,
    /// Time after which the server closes an idle connection.
    pub idle_timeout: Option<Millis>,
}

/// A caller's look-up of the entry VMs to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupQuery {
    /// Host of the requests that the caller will send.
    pub host: String,
    /// Data centre of the caller.
    pub zone: ZoneId,
}

/// Reads and writes the messages of a platform.
pub trait Dialect {
    /// Reads the properties of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestInfo;
    /// Removes the headers by which a caller identifies its organisation, or claims to be of one.
    fn strip_identity(&self, headers: &mut HeaderMap);
    /// States the organisation of a request, for a backend server.
    fn set_organisation(&self, headers: &mut HeaderMap, organisation: &OrganisationId);
    /// Sets the headers that a backend server needs; `time_left` is the time until the answer is due.
    fn set_request_headers(&self, headers: &mut HeaderMap, backend: &BackendId, time_left: Millis);
    /// Sets the time until the answer is due, for another entry VM.
    fn set_time_left(&self, headers: &mut HeaderMap, time_left: Millis);
    /// Reads the properties of a backend server's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerInfo;
    /// Parses a request on the look-up listener; `None` if it is not a look-up.
    fn parse_lookup(&self, uri: &Uri) -> Option<LookupQuery>;
    /// Builds the answer to a look-up: content type and body.
    fn lookup_answer(&self, addresses: &[SocketAddr], ttl: Millis) -> (&'static str, Bytes);
    /// Whether the path is that of readiness probes.
    fn is_readiness_path(&self, path: &str) -> bool;
}
