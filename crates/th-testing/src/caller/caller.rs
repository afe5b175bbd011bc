//! A caller that keeps the answers to look-ups, as real ones do.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use reqwest::{Client, Response, StatusCode};
use th_platform::{BootClock, Clock};
use th_protocol::{LookupAnswer, Millis, Notice, Time, header};

use super::{CallOutcome, Record, Records};
use crate::REQUEST_HEADER;

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Starts the names of its requests.
    pub name: String,
    /// The block that it calls from.
    pub block: String,
    /// Entry VMs that it asks when it knows no other.
    pub seeds: Vec<SocketAddr>,
    /// How long it waits for an answer.
    pub timeout: Millis,
    /// Entry VMs that it sends one request to at most.
    pub max_attempts: usize,
    /// Where it writes down what it was told.
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

/// One caller, with its cache of look-ups.
pub struct Caller {
    settings: CallerSettings,
    client: Client,
    cache: BTreeMap<&'static str, (LookupAnswer, Time)>,
    sent: u64,
}

impl Caller {
    /// A caller with an empty cache.
    pub fn new(settings: CallerSettings) -> Caller {
        let client = Client::builder()
            .timeout(Duration::from_millis(settings.timeout.0))
            .connect_timeout(Duration::from_millis(500))
            .no_proxy()
            .build()
            .expect("a client without TLS needs nothing that could be missing");
        Caller { settings, client, cache: BTreeMap::new(), sent: 0 }
    }

    /// Sends one request of an operation and writes down how it ended.
    pub async fn call(&mut self, operation: &'static str, idempotent: bool) -> Record {
        self.sent += 1;
        let request = format!("{}-{}", self.settings.name, self.sent);
        self.call_as(operation, idempotent, request).await
    }

    /// The same under a name that the caller chooses.
    pub async fn call_as(
        &mut self,
        operation: &'static str,
        idempotent: bool,
        request: String,
    ) -> Record {
        let sent = BootClock.now();
        let (outcome, entry_vms) = self.attempt(operation, &request).await;
        let latency = BootClock.now().since(sent);
        let record = Record { request, idempotent, outcome, sent, latency, entry_vms };
        self.settings.records.add(record.clone());
        record
    }

    /// Tries the entry VMs of the look-up in turn, all under one ticket and one key.
    async fn attempt(
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
                        // Nothing was sent under the ticket: the next entry VM gives one of its own.
                        ticket = None;
                    }
                    // Otherwise the next one may know what became of the request.
                    continue;
                }
            };
            outcome = judge(response, request).await;
            if outcome != CallOutcome::Answered {
                self.cache.remove(operation);
            }
            break;
        }
        (outcome, entry_vms)
    }

    /// Sends the request; where it has no ticket and needs one, once more with the one in the answer.
    async fn send(
        &self,
        address: SocketAddr,
        operation: &str,
        request: &str,
        ticket: &mut Option<String>,
    ) -> reqwest::Result<Response> {
        let response = self.send_once(address, operation, request, ticket.as_deref()).await?;
        let fresh = response.headers().get(header::TICKET).and_then(|it| it.to_str().ok());
        let Some(fresh) = fresh.map(str::to_owned).filter(|_| ticket.is_none()) else {
            return Ok(response);
        };
        *ticket = Some(fresh);
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

    /// The answer to a look-up, from the cache as long as that is allowed.
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
            let Some(answer) = self.ask(address, operation).await else {
                continue;
            };
            let until = now.after(answer.ttl);
            self.cache.insert(operation, (answer.clone(), until));
            return Some(answer);
        }
        None
    }

    async fn ask(&self, address: SocketAddr, operation: &str) -> Option<LookupAnswer> {
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

/// Tells the whole answer to `request` from everything else.
async fn judge(response: Response, request: &str) -> CallOutcome {
    let told = response.headers().contains_key(header::VERDICT);
    let named = response.headers().get(REQUEST_HEADER).and_then(|it| it.to_str().ok());
    let named = named.map(str::to_owned);
    let Ok(body) = response.bytes().await else {
        return CallOutcome::NoAnswer;
    };
    if told {
        return match serde_json::from_slice::<Notice>(&body) {
            Ok(notice) => CallOutcome::Notice(notice.verdict, notice.reason),
            Err(_) => CallOutcome::Wrong,
        };
    }
    let whole = body.starts_with(format!("{request} ran at ").as_bytes());
    let whole = whole && body.contains(&b'\n');
    if whole && named.as_deref() == Some(request) {
        CallOutcome::Answered
    } else {
        CallOutcome::Wrong
    }
}
