//! A caller that caches look-up answers, as real callers do.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use reqwest::{Client, Response, StatusCode};
use th_platform::{BootClock, Clock};
use th_protocol::{LookupAnswer, Millis, Notice, Time, header};

use super::{CallOutcome, Record, Records};
use crate::REQUEST_HEADER;

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// The prefix of its requests' names.
    pub name: String,
    /// The block of addresses that it calls from.
    pub block: String,
    /// Entry VMs for look-ups when it knows no other.
    pub seeds: Vec<SocketAddr>,
    /// Time-out of an HTTP request.
    pub timeout: Millis,
    /// Limit on the entry VMs that one request is sent to.
    pub max_attempts: usize,
    /// The records to which it adds its requests.
    pub records: Records,
}

impl Default for CallerSettings {
    fn default() -> CallerSettings {
        CallerSettings {
            name: "caller".to_owned(),
            block: "10.0.0.0/24".to_owned(),
            seeds: Vec::new(),
            timeout: Millis(5_000),
            max_attempts: 3,
            records: Records::default(),
        }
    }
}

/// One caller, with its cache of look-up answers.
pub struct Caller {
    settings: CallerSettings,
    client: Client,
    cache: BTreeMap<&'static str, (LookupAnswer, Time)>,
    sent: u64,
}

impl Caller {
    /// Creates a caller with an empty cache.
    pub fn new(settings: CallerSettings) -> Caller {
        let client = Client::builder()
            .timeout(Duration::from_millis(settings.timeout.0))
            .connect_timeout(Duration::from_millis(500))
            .no_proxy()
            .build()
            .expect("a client without TLS can always be built");
        Caller { settings, client, cache: BTreeMap::new(), sent: 0 }
    }

    /// Sends one request of an operation and records its outcome.
    pub async fn call(&mut self, operation: &'static str, idempotent: bool) -> Record {
        self.sent += 1;
        let request = format!("{}-{}", self.settings.name, self.sent);
        self.call_as(operation, idempotent, request).await
    }

    /// Sends one request like [`Caller::call`], with a given name.
    pub async fn call_as(
        &mut self,
        operation: &'static str,
        idempotent: bool,
        request: String,
    ) -> Record {
        let sent = BootClock.now();
        let (outcome, entry_vms) = self.send_to_entries(operation, &request).await;
        let latency = BootClock.now().since(sent);
        let record = Record { request, idempotent, outcome, sent, latency, entry_vms };
        self.settings.records.add(record.clone());
        record
    }

    /// Tries the entry VMs of the look-up answer in order, with the same ticket and idempotency key.
    async fn send_to_entries(
        &mut self,
        operation: &'static str,
        request: &str,
    ) -> (CallOutcome, Vec<SocketAddr>) {
        let mut entry_vms = Vec::new();
        let Some(answer) = self.lookup(operation).await else {
            return (CallOutcome::NoAnswer, entry_vms);
        };
        let mut outcome = CallOutcome::NoAnswer;
        let mut ticket = answer.ticket.clone();
        for entry in answer.entries.iter().take(self.settings.max_attempts) {
            entry_vms.push(entry.address);
            let sent = self.send(entry.address, operation, request, &mut ticket).await;
            let response = match sent {
                Ok(response) => response,
                Err(error) => {
                    self.cache.remove(operation);
                    if error.is_connect() && entry_vms.len() == 1 {
                        // Nothing was sent with this ticket, so the next entry VM can issue its own.
                        ticket = None;
                    }
                    // With the same ticket, the next entry VM may know the outcome of the request.
                    continue;
                }
            };
            outcome = classify(response, request).await;
            if outcome != CallOutcome::Answered {
                self.cache.remove(operation);
            }
            break;
        }
        (outcome, entry_vms)
    }

    /// Sends the request. If it had no ticket and the answer contains one, sends it again with that ticket.
    async fn send(
        &self,
        address: SocketAddr,
        operation: &str,
        request: &str,
        ticket: &mut Option<String>,
    ) -> reqwest::Result<Response> {
        let response = self.send_once(address, operation, request, ticket.as_deref()).await?;
        let new_ticket = response.headers().get(header::TICKET).and_then(|it| it.to_str().ok());
        let Some(new_ticket) = new_ticket.map(str::to_owned).filter(|_| ticket.is_none()) else {
            return Ok(response);
        };
        *ticket = Some(new_ticket);
        self.send_once(address, operation, request, ticket.as_deref()).await
    }

    async fn send_once(
        &self,
        address: SocketAddr,
        operation: &str,
        request: &str,
        ticket: Option<&str>,
    ) -> reqwest::Result<Response> {
        let url = format!("http://{address}/v1/call/roster/{operation}");
        let mut call = self
            .client
            .post(url)
            .header(REQUEST_HEADER, request)
            .header(header::BLOCK, &self.settings.block)
            .body(format!("body of {request}"));
        if let Some(ticket) = ticket {
            call = call.header(header::TICKET, ticket).header(header::IDEMPOTENCY_KEY, request);
        }
        call.send().await
    }

    /// Returns a look-up answer, from the cache until it expires.
    async fn lookup(&mut self, operation: &'static str) -> Option<LookupAnswer> {
        let now = BootClock.now();
        if let Some((answer, until)) = self.cache.get(operation)
            && now < *until
        {
            return Some(answer.clone());
        }
        let known = self.cache.remove(operation).map(|(answer, _)| answer.entries);
        let mut addresses: Vec<SocketAddr> =
            known.into_iter().flatten().map(|it| it.address).collect();
        addresses.extend(&self.settings.seeds);
        for address in addresses {
            let Some(answer) = self.request_lookup(address, operation).await else {
                continue;
            };
            let until = now.after(answer.ttl);
            self.cache.insert(operation, (answer.clone(), until));
            return Some(answer);
        }
        None
    }

    async fn request_lookup(&self, address: SocketAddr, operation: &str) -> Option<LookupAnswer> {
        let url = format!("http://{address}/v1/lookup/roster/{operation}");
        let query = [("block", &self.settings.block)];
        let response = self.client.get(url).query(&query).send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        self.settings.records.add_lookup();
        response.json().await.ok()
    }
}

/// Determines the outcome of `request` from a response.
async fn classify(response: Response, request: &str) -> CallOutcome {
    let is_notice = response.headers().contains_key(header::VERDICT);
    let answered = response.headers().get(REQUEST_HEADER).and_then(|it| it.to_str().ok());
    let answered = answered.map(str::to_owned);
    let Ok(body) = response.bytes().await else {
        return CallOutcome::NoAnswer;
    };
    if is_notice {
        return match serde_json::from_slice::<Notice>(&body) {
            Ok(notice) => CallOutcome::Notice(notice.verdict, notice.reason),
            Err(_) => CallOutcome::Wrong,
        };
    }
    let is_complete = body.starts_with(format!("{request} ran at ").as_bytes());
    let is_complete = is_complete && body.contains(&b'\n');
    if is_complete && answered.as_deref() == Some(request) {
        CallOutcome::Answered
    } else {
        CallOutcome::Wrong
    }
}
