//! The types of the settings.

use std::{collections::BTreeMap, net::SocketAddr};

use log::LevelFilter;
use th_protocol::{Bytes, Millis, OperatorId, VmId, ZoneId};

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The id of this VM.
    pub vm: VmId,
    /// The data centre that this VM is in.
    pub zone: ZoneId,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of other entry VMs' peer listeners, which are contacted at the start.
    pub peers: Vec<SocketAddr>,
    /// The URL of the platform's service; `None` only if the caller of this crate passes a store to `start`.
    pub store: Option<String>,
    /// Secrets and public keys.
    pub keys: Keys,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Times of a planned stop.
    pub stop: Stop,
    /// Periods and time-outs of background work.
    pub pace: Pace,
    /// Format and levels of the log.
    pub logs: Logs,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// For callers and operators.
    pub callers: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
}

impl Default for Listen {
    fn default() -> Listen {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Listen { callers: any, peers: any }
    }
}

/// Secrets and public keys.
#[derive(Clone, Default)]
pub struct Keys {
    /// The shared key with which entry VMs authenticate to each other.
    pub peer: String,
    /// Keys of tickets: the first seals new tickets, all open existing ones.
    pub tickets: Vec<[u8; 32]>,
    /// Public keys of the operators who may sign the first bundle; after that, the bundle in force lists the operators.
    pub operators: BTreeMap<OperatorId, String>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys").field("operators", &self.operators).finish_non_exhaustive()
    }
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub head: Bytes,
    /// Largest body of a request.
    pub body: Bytes,
    /// Largest body of an answer that is buffered completely before its first byte is passed on.
    pub answer: Bytes,
    /// Largest number of requests in progress at once.
    pub requests: u32,
    /// Longest time that a caller may take to send its request. It is also the time-out of a stalled answer and of a
    /// wait for a link's cap.
    pub slow: Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: Bytes(16 << 10),
            body: Bytes(1 << 20),
            answer: Bytes(64 << 10),
            requests: 4_096,
            slow: Millis(10_000),
        }
    }
}

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// How long requests are still accepted after the VM was removed from look-up answers.
    pub linger: Millis,
    /// Longest time that the stop may take.
    pub limit: Millis,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop { linger: Millis(3_000), limit: Millis(60_000) }
    }
}

/// Periods and time-outs of background work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time between two ticks of the steering engine.
    pub tick: Millis,
    /// Time between two reads of the platform's list of VMs.
    pub list: Millis,
    /// Longest time that one watch of the store waits for a change.
    pub watch: Millis,
    /// Time without any of an answer after which a call to the platform's service is given up.
    pub call: Millis,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { tick: Millis(100), list: Millis(2_000), watch: Millis(20_000), call: Millis(1_000) }
    }
}

/// Format of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// Plain text.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Format and levels of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logs {
    /// Format of the lines.
    pub form: LogForm,
    /// The level of log targets that `parts` does not list.
    pub level: LevelFilter,
    /// Levels of single log targets.
    pub parts: BTreeMap<String, LevelFilter>,
}

impl Default for Logs {
    fn default() -> Logs {
        Logs { form: LogForm::Human, level: LevelFilter::Info, parts: BTreeMap::new() }
    }
}
