//! Client of the platform's service over HTTP.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use async_trait::async_trait;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use th_protocol::{Bytes, Millis, Revision, VmRecord};

use crate::{
    AnswerLimits, CallKind, CasAnswer, CasRequest, Entry, KeepAliveAnswer, Key, LeaseId,
    LeaseRequest, MAX_TRANSFER, Platform, PlatformError, Result, WriteOutcome, receive,
    upload_time,
};

/// Time-outs of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpSettings {
    /// Time-out of a connection attempt.
    pub connect_timeout: Millis,
    /// Time without any of an answer after which a call is given up; for a watch, in addition to its wait.
    pub call_timeout: Millis,
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings { connect_timeout: Millis(500), call_timeout: Millis(2_000) }
    }
}

/// A client of the platform's service.
pub struct HttpPlatform {
    url: String,
    client: Client,
    settings: HttpSettings,
    received: AtomicU64,
}

impl HttpPlatform {
    /// Creates a client of the service at `url`, such as `http://10.0.0.1:7000`.
    pub fn new(url: &str) -> HttpPlatform {
        HttpPlatform::with_settings(url, HttpSettings::default())
    }

    /// Creates a client with the given time-outs.
    pub fn with_settings(url: &str, settings: HttpSettings) -> HttpPlatform {
        let client = Client::builder()
            .connect_timeout(Duration::from_millis(settings.connect_timeout.0))
            .no_proxy()
            .build()
            .expect("building an HTTP client without TLS does not fail");
        let url = url.trim_end_matches('/').to_owned();
        HttpPlatform { url, client, settings, received: AtomicU64::default() }
    }

    fn error(&self, kind: CallKind, cause: impl ToString) -> PlatformError {
        PlatformError { kind, peer: self.url.clone(), cause: cause.to_string() }
    }

    async fn send<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        request: RequestBuilder,
        wait: Millis,
    ) -> Result<T> {
        let start = self.settings.call_timeout.plus(wait);
        let limits = AnswerLimits {
            start,
            stall: self.settings.call_timeout,
            total: Some(start.plus(MAX_TRANSFER)),
        };
        let count = |it: crate::Progress| {
            self.received.fetch_add(it.part.0, Ordering::Relaxed);
        };
        let answer = receive(request, limits, count).await.map_err(|it| self.error(kind, it))?;
        if !answer.status.is_success() {
            return Err(self.error(kind, format!("status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body).map_err(|it| self.error(kind, it))
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn read(&self, key: &Key) -> Result<Option<Entry>> {
        let request = self.client.get(format!("{}/v1/read/{key}", self.url));
        self.send(CallKind::Read, request, Millis::ZERO).await
    }

    async fn cas(
        &self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> WriteOutcome<Revision> {
        let upload = upload_time(value.as_deref());
        let body = CasRequest { key: key.clone(), expected, value, lease };
        let request = self.client.post(format!("{}/v1/cas", self.url)).json(&body);
        match self.send(CallKind::Cas, request, upload).await {
            Ok(CasAnswer::Applied(revision)) => WriteOutcome::Applied(revision),
            Ok(CasAnswer::Refused(entry)) => WriteOutcome::Refused(entry),
            Err(error) => WriteOutcome::Unknown(error),
        }
    }

    async fn lease(&self, ttl: Millis) -> WriteOutcome<LeaseId> {
        let request =
            self.client.post(format!("{}/v1/lease", self.url)).json(&LeaseRequest { ttl });
        match self.send(CallKind::Lease, request, Millis::ZERO).await {
            Ok(lease) => WriteOutcome::Applied(lease),
            Err(error) => WriteOutcome::Unknown(error),
        }
    }

    async fn keep_alive(&self, lease: LeaseId) -> WriteOutcome<()> {
        let request = self.client.post(format!("{}/v1/keep-alive/{}", self.url, lease.0));
        match self.send(CallKind::KeepAlive, request, Millis::ZERO).await {
            Ok(KeepAliveAnswer::Kept) => WriteOutcome::Applied(()),
            Ok(KeepAliveAnswer::Lapsed) => WriteOutcome::Refused(None),
            Err(error) => WriteOutcome::Unknown(error),
        }
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.0.to_string()),
            ("wait", wait.0.to_string()),
        ];
        let request = self.client.get(format!("{}/v1/watch", self.url)).query(&query);
        self.send(CallKind::Watch, request, wait).await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>> {
        let request = self.client.get(format!("{}/v1/vms", self.url));
        self.send(CallKind::VmList, request, Millis::ZERO).await
    }
    fn received(&self) -> Bytes {
        Bytes(self.received.load(Ordering::Relaxed))
    }
}
