//! HTTP client for the query endpoints of entry VMs.

use std::{fmt, time::Duration};

use futures_util::{StreamExt, stream};
use reqwest::{Client, Url};
use serde::de::DeserializeOwned;
use serde_json::Value;
use th_protocol::{Block, LookupAnswer, Millis, Notice, OperationId, ServiceId, Status};
use th_report::BurnAnswer;
use thiserror::Error;

/// The result of a call to an entry VM.
pub(crate) type Result<T, E = ClientError> = std::result::Result<T, E>;

/// Time-out of a call to an entry VM.
const CALL_TIMEOUT: Millis = Millis(5_000);
/// Calls that [`query_all`] has in flight at once.
const MAX_CONCURRENT_CALLS: usize = 32;

/// A call to an entry VM that returned no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{path} at {peer}: {failure}")]
pub struct ClientError {
    /// The requested path, without a leading slash.
    pub path: String,
    /// The entry VM's address.
    pub peer: String,
    /// The cause of the failure.
    pub failure: Failure,
}

/// The cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The entry VM could not be reached or did not answer in time.
    Unreachable(String),
    /// The entry VM answered with a notice instead of a result.
    Notice(Notice),
    /// The answer has this HTTP status, and its body is not a notice.
    Status(u16),
    /// The answer's body does not parse.
    Malformed(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unreachable(cause) => write!(f, "no answer: {cause}"),
            Failure::Notice(it) => write!(f, "{} ({}): {}", it.verdict, it.reason, it.detail),
            Failure::Status(it) => write!(f, "HTTP status {it}"),
            Failure::Malformed(cause) => write!(f, "the answer cannot be read: {cause}"),
        }
    }
}

/// A client of one entry VM.
#[derive(Debug, Clone)]
pub struct EntryClient {
    address: String,
    client: Client,
}

impl EntryClient {
    /// Creates a client of the entry VM at `address`, such as `10.0.0.1:8080`. A leading
    /// `http://` is accepted, too.
    pub fn new(address: &str) -> EntryClient {
        let client = Client::builder()
            .timeout(Duration::from_millis(CALL_TIMEOUT.0))
            .no_proxy()
            .build()
            .expect("building a client without TLS cannot fail");
        let address = address.strip_prefix("http://").unwrap_or(address);
        EntryClient { address: address.trim_end_matches('/').to_owned(), client }
    }

    /// The entry VM's address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the entry VM's status: bundle in force, readiness and whether it is stopping.
    pub async fn status(&self) -> Result<Status> {
        self.get(&["v1", "status"], None).await
    }

    /// Returns the entry VM's counts for the burn report.
    pub async fn burn(&self) -> Result<BurnAnswer> {
        self.get(&["v1", "burn"], None).await
    }

    /// Returns the records of the entry VM's latest decisions on a service, or on one request.
    pub async fn explain(&self, what: &str) -> Result<Vec<Value>> {
        self.get(&["v1", "explain", what], None).await
    }

    /// Looks up the entry VMs that a caller should use.
    pub async fn lookup(
        &self,
        service: &ServiceId,
        operation: &OperationId,
        block: Option<Block>,
    ) -> Result<LookupAnswer> {
        let path = ["v1", "lookup", service.as_str(), operation.as_str()];
        self.get(&path, block).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &[&str], block: Option<Block>) -> Result<T> {
        let error =
            |failure| ClientError { path: path.join("/"), peer: self.address.clone(), failure };
        let unreachable = |e: reqwest::Error| error(Failure::Unreachable(describe(&e)));
        let mut url = Url::parse(&format!("http://{}", self.address))
            .map_err(|e| error(Failure::Unreachable(e.to_string())))?;
        // Callers choose the ids of requests, so each path segment is escaped.
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.clear().extend(path);
        }
        if let Some(block) = block {
            url.query_pairs_mut().append_pair("block", &block.to_string());
        }
        let answer = self.client.get(url).send().await.map_err(unreachable)?;
        let status = answer.status();
        let body = answer.bytes().await.map_err(unreachable)?;
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|e| error(Failure::Malformed(e.to_string())));
        }
        Err(error(match serde_json::from_slice(&body) {
            Ok(notice) => Failure::Notice(notice),
            Err(_) => Failure::Status(status.as_u16()),
        }))
    }
}

/// Formats an error with its sources, since the outermost error seldom shows the cause.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(it) = source {
        text.push_str(": ");
        text.push_str(&it.to_string());
        source = it.source();
    }
    text
}

/// Runs `query` against each entry VM, up to 32 at a time. The results are in the order of
/// `addresses`.
pub async fn query_all<T, F>(
    addresses: &[String],
    query: impl Fn(EntryClient) -> F,
) -> Vec<Result<T>>
where
    F: Future<Output = Result<T>>,
{
    let calls = addresses.iter().map(|it| query(EntryClient::new(it)));
    stream::iter(calls).buffered(MAX_CONCURRENT_CALLS).collect().await
}
