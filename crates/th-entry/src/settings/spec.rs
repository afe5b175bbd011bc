//! What an entry process is told at its start.

use std::{collections::BTreeMap, net::SocketAddr};

use log::LevelFilter;
use th_protocol::{Bytes, Millis, OperatorId, VmId, ZoneId};

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This VM.
    pub vm: VmId,
    /// The data centre that this VM is in.
    pub zone: ZoneId,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Peer listeners of other entry VMs, to start from.
    pub peers: Vec<SocketAddr>,
    /// The URL of the platform's service; `None` only where the caller of the library hands one over.
    pub store: Option<String>,
    /// Secrets and public keys.
    pub keys: Keys,
    /// Bounds on what callers may use.
    pub limits: Limits,
    /// How a planned stop goes.
    pub stop: Stop,
    /// How often things are done.
    pub pace: Pace,
    /// What is logged, and how.
    pub logs: Logs,
}

/// Addresses to listen at.
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
    /// What entry VMs show each other.
    pub peer: String,
    /// Keys of tickets; the first one seals.
    pub tickets: Vec<[u8; 32]>,
    /// Public keys of the operators who may sign a bundle, as long as no bundle is in force.
    pub operators: BTreeMap<OperatorId, String>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys").field("operators", &self.operators).finish_non_exhaustive()
    }
}

/// Bounds on what callers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub head: Bytes,
    /// Largest body of a request.
    pub body: Bytes,
    /// Largest answer that is held whole before its first byte goes on.
    pub answer: Bytes,
    /// Requests in progress at once.
    pub requests: u32,
    /// Longest time that a caller may take to send its request.
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

/// How a planned stop goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// How long requests are still taken after the VM has left look-up answers.
    pub linger: Millis,
    /// Longest time that the stop may take.
    pub limit: Millis,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop { linger: Millis(3_000), limit: Millis(60_000) }
    }
}

/// How often things are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time between ticks of the decision systems.
    pub tick: Millis,
    /// Time between readings of the platform's list of VMs.
    pub list: Millis,
    /// Longest wait of one watch.
    pub watch: Millis,
    /// Longest time that the platform's service may take for a call.
    pub call: Millis,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            tick: Millis(100),
            list: Millis(2_000),
            watch: Millis(20_000),
            call: Millis(1_000),
        }
    }
}

/// Form of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logs {
    /// Form of the lines.
    pub form: LogForm,
    /// The level of parts that have none of their own.
    pub level: LevelFilter,
    /// Levels of single parts.
    pub parts: BTreeMap<String, LevelFilter>,
}

impl Default for Logs {
    fn default() -> Logs {
        Logs { form: LogForm::Human, level: LevelFilter::Info, parts: BTreeMap::new() }
    }
}
