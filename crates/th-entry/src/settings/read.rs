//! Reads and checks settings.

use std::net::SocketAddr;

use log::LevelFilter;
use serde_json::Value;
use th_protocol::{Bytes, Millis};

use super::{
    Keys, Limits, Listen, LogForm, Logs, Pace, Settings, SettingsFault, Stop, fields::Fields,
};

/// The result of reading settings.
pub(crate) type Result<T, E = Vec<SettingsFault>> = std::result::Result<T, E>;

/// Shortest secret that entry VMs may show each other, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;
/// Longest time that any setting may state.
const MAX_SPAN: Millis = Millis(3_600_000);
/// Smallest bound on the head of a request.
const MIN_HEAD: Bytes = Bytes(8 << 10);
/// Largest size that any setting may state.
const MAX_SIZE: Bytes = Bytes(1 << 30);

impl Settings {
    /// Reads settings from JSON text. Every fault is listed, each with its field's path.
    pub fn read(text: &str) -> Result<Settings> {
        let mut faults = Vec::new();
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(error) => {
                let cause = format!("not JSON: {error}");
                return Err(vec![SettingsFault { path: "settings".to_owned(), cause }]);
            }
        };
        let settings = settings(value, &mut faults);
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }
}

fn settings(value: Value, faults: &mut Vec<SettingsFault>) -> Settings {
    let mut fields = Fields::new("", value, faults);
    let stand_in = "unnamed".parse().expect("it is an id");
    let settings = Settings {
        vm: fields.require("vm", stand_in),
        zone: fields.require("zone", "unnamed".parse().expect("it is an id")),
        listen: listen(fields.inner("listen")),
        peers: fields.read("peers", Vec::new()),
        store: fields.require("store", None),
        keys: keys(fields.inner("keys")),
        limits: limits(fields.inner("limits")),
        stop: stop(fields.inner("stop")),
        pace: pace(fields.inner("pace")),
        logs: logs(fields.inner("logs")),
    };
    if let Some(url) = &settings.store
        && !url.starts_with("http://")
    {
        fields.fault("store", format!("expected a URL that starts with http://, found {url:?}"));
    }
    fields.finish();
    settings
}

fn listen(mut fields: Fields<'_>) -> Listen {
    let any = Listen::default();
    let listen = Listen {
        callers: fields.require("callers", any.callers),
        peers: fields.require("peers", any.peers),
    };
    for (name, address) in [("callers", listen.callers), ("peers", listen.peers)] {
        check_address(&mut fields, name, address);
    }
    if listen.callers == listen.peers && listen.callers.port() != 0 {
        fields.fault("peers", "the two listeners need addresses of their own");
    }
    fields.finish();
    listen
}

fn check_address(fields: &mut Fields<'_>, name: &str, address: SocketAddr) {
    if address.ip().is_unspecified() {
        fields.fault(name, "others are told this address: it must be one that they can reach");
    }
}

fn keys(mut fields: Fields<'_>) -> Keys {
    let stated = fields.has("peer");
    let peer: String = fields.secret("peer", String::new());
    if stated && peer.len() < MIN_PEER_KEY_BYTES {
        fields.fault("peer", format!("at least {MIN_PEER_KEY_BYTES} bytes, not {}", peer.len()));
    }
    let stated = fields.has("tickets");
    let texts: Vec<String> = fields.secret("tickets", Vec::new());
    let mut tickets = Vec::new();
    for (i, text) in texts.iter().enumerate() {
        let mut key = [0; 32];
        match hex::decode_to_slice(text, &mut key) {
            Ok(()) => tickets.push(key),
            // The text is a secret, so the message does not show it.
            Err(_) => fields.fault(&format!("tickets.{i}"), "expected 64 hex digits"),
        }
    }
    if stated && texts.is_empty() {
        fields.fault("tickets", "at least one key is needed");
    }
    let operators = fields.read("operators", Default::default());
    let keys = Keys { peer, tickets, operators };
    for (operator, key) in &keys.operators {
        if let Err(error) = th_protocol::public_key(key) {
            fields.fault(&format!("operators.{operator}"), error.to_string());
        }
    }
    fields.finish();
    keys
}

fn limits(mut fields: Fields<'_>) -> Limits {
    let usual = Limits::default();
    let limits = Limits {
        head: size(&mut fields, "head", usual.head),
        body: size(&mut fields, "body", usual.body),
        answer: size(&mut fields, "answer", usual.answer),
        requests: fields.read("requests", usual.requests),
        slow: span(&mut fields, "slow", usual.slow),
    };
    if limits.head < MIN_HEAD {
        fields.fault("head", format!("at least {MIN_HEAD}, not {}", limits.head));
    }
    if limits.requests == 0 {
        fields.fault("requests", "at least 1");
    }
    fields.finish();
    limits
}

fn stop(mut fields: Fields<'_>) -> Stop {
    let usual = Stop::default();
    let stop = Stop {
        linger: span(&mut fields, "linger", usual.linger),
        limit: span(&mut fields, "limit", usual.limit),
    };
    if stop.limit < stop.linger {
        fields.fault("limit", "it must not be shorter than the linger time");
    }
    fields.finish();
    stop
}

fn pace(mut fields: Fields<'_>) -> Pace {
    let usual = Pace::default();
    let pace = Pace {
        tick: span(&mut fields, "tick", usual.tick),
        list: span(&mut fields, "list", usual.list),
        watch: span(&mut fields, "watch", usual.watch),
        call: span(&mut fields, "call", usual.call),
    };
    fields.finish();
    pace
}

fn logs(mut fields: Fields<'_>) -> Logs {
    let usual = Logs::default();
    let logs = Logs {
        form: fields.read("form", LogForm::default()),
        level: fields.read::<Level>("level", Level(usual.level)).0,
        parts: {
            let parts: std::collections::BTreeMap<String, Level> =
                fields.read("parts", Default::default());
            parts.into_iter().map(|(part, level)| (part, level.0)).collect()
        },
    };
    for part in logs.parts.keys() {
        if !crate::logs::PARTS.contains(&part.as_str()) {
            let known = crate::logs::PARTS.join(", ");
            fields.fault(&format!("parts.{part}"), format!("no such part; there are {known}"));
        }
    }
    fields.finish();
    logs
}

/// A level as settings write it.
#[derive(serde::Deserialize)]
#[serde(try_from = "String")]
struct Level(LevelFilter);

impl TryFrom<String> for Level {
    type Error = String;

    fn try_from(text: String) -> Result<Level, String> {
        let level = text.parse().map(Level);
        level
            .map_err(|_| format!("expected off, error, warn, info, debug or trace, found {text:?}"))
    }
}

fn span(fields: &mut Fields<'_>, name: &str, usual: Millis) -> Millis {
    let span = fields.read(name, usual);
    if span == Millis::ZERO || MAX_SPAN < span {
        fields.fault(name, format!("between 1ms and {MAX_SPAN}, not {span}"));
    }
    span
}

fn size(fields: &mut Fields<'_>, name: &str, usual: Bytes) -> Bytes {
    let size = fields.read(name, usual);
    if size == Bytes::ZERO || MAX_SIZE < size {
        fields.fault(name, format!("between 1B and {MAX_SIZE}, not {size}"));
    }
    size
}
