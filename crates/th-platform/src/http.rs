//! The platform's service over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use th_protocol::{Millis, Revision, VmRecord};

use crate::{
    CasAnswer, CasRequest, Entry, KeepAnswer, Key, LeaseId, LeaseRequest, Platform, PlatformError,
    Result, Step, Write,
};

/// How long calls may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpSettings {
    /// Bound on a connection attempt.
    pub connect: Millis,
    /// Bound on a call; for a watch, in addition to its wait.
    pub call: Millis,
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings { connect: Millis(500), call: Millis(2_000) }
    }
}

/// A client of the platform's service.
pub struct HttpPlatform {
    url: String,
    client: Client,
    settings: HttpSettings,
}

impl HttpPlatform {
    /// A client of the service at `url`, such as `http://10.0.0.1:7000`.
    pub fn new(url: &str) -> HttpPlatform {
        HttpPlatform::with_settings(url, HttpSettings::default())
    }

    /// A client with bounds of its own.
    pub fn with_settings(url: &str, settings: HttpSettings) -> HttpPlatform {
        let client = Client::builder()
            .connect_timeout(Duration::from_millis(settings.connect.0))
            .no_proxy()
            .build()
            .expect("a client without TLS needs nothing that could be missing");
        HttpPlatform { url: url.trim_end_matches('/').to_owned(), client, settings }
    }

    fn error(&self, step: Step, cause: impl ToString) -> PlatformError {
        PlatformError { step, peer: self.url.clone(), cause: cause.to_string() }
    }

    async fn send<T: DeserializeOwned>(
        &self,
        step: Step,
        request: RequestBuilder,
        wait: Millis,
    ) -> Result<T> {
        let bound = Duration::from_millis(self.settings.call.plus(wait).0);
        let answer = request.timeout(bound).send().await;
        let answer = answer.map_err(|it| self.error(step, describe(&it)))?;
        if !answer.status().is_success() {
            return Err(self.error(step, format!("status {}", answer.status())));
        }
        answer.json().await.map_err(|it| self.error(step, describe(&it)))
    }
}

/// An error with its sources, since the outermost seldom tells the cause.
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

#[async_trait]
impl Platform for HttpPlatform {
    async fn read(&self, key: &Key) -> Result<Option<Entry>> {
        let request = self.client.get(format!("{}/v1/read/{key}", self.url));
        self.send(Step::Read, request, Millis::ZERO).await
    }

    async fn cas(
        &self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Write<Revision> {
        let body = CasRequest { key: key.clone(), expected, value, lease };
        let request = self.client.post(format!("{}/v1/cas", self.url)).json(&body);
        match self.send(Step::Cas, request, Millis::ZERO).await {
            Ok(CasAnswer::Applied(revision)) => Write::Applied(revision),
            Ok(CasAnswer::Refused(entry)) => Write::Refused(entry),
            Err(error) => Write::Unknown(error),
        }
    }

    async fn lease(&self, ttl: Millis) -> Write<LeaseId> {
        let request =
            self.client.post(format!("{}/v1/lease", self.url)).json(&LeaseRequest { ttl });
        match self.send(Step::Lease, request, Millis::ZERO).await {
            Ok(lease) => Write::Applied(lease),
            Err(error) => Write::Unknown(error),
        }
    }

    async fn keep_alive(&self, lease: LeaseId) -> Write<()> {
        let request = self.client.post(format!("{}/v1/keep-alive/{}", self.url, lease.0));
        match self.send(Step::KeepAlive, request, Millis::ZERO).await {
            Ok(KeepAnswer::Kept) => Write::Applied(()),
            Ok(KeepAnswer::Lapsed) => Write::Refused(None),
            Err(error) => Write::Unknown(error),
        }
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.0.to_string()),
            ("wait", wait.0.to_string()),
        ];
        let request = self.client.get(format!("{}/v1/watch", self.url)).query(&query);
        self.send(Step::Watch, request, wait).await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>> {
        let request = self.client.get(format!("{}/v1/vms", self.url));
        self.send(Step::VmList, request, Millis::ZERO).await
    }
}
