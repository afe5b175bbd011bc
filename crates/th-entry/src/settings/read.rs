//! Reads and validates settings.

use std::net::SocketAddr;

use log::LevelFilter;
use serde_json::Value;
use th_protocol::{Bytes, Millis};

use super::{
    Keys, Limits, Listen, LogForm, Logs, Pace, Settings, SettingsFault, Stop, fields::Fields,
};

/// The result of reading settings.
pub(crate) type Result<T, E = Vec<SettingsFault>> = std::result::Result<T, E>;

/// Shortest key that entry VMs may use to authenticate to each other, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;
/// Upper bound of all settings that are durations.
const MAX_DURATION: Millis = Millis(3_600_000);
/// Lower bound of the setting for the largest head of a request.
const MIN_HEAD: Bytes = Bytes(8 << 10);
/// Upper bound of all settings that are sizes.
const MAX_SIZE: Bytes = Bytes(1 << 30);

impl Settings {
    /// Reads settings from JSON text. The error lists all faults, each with its field's path.
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
    let placeholder = "unnamed".parse().expect("the placeholder is a valid id");
    let settings = Settings {
        vm: fields.require("vm", placeholder),
        zone: fields.require("zone", "unnamed".parse().expect("the placeholder is a valid id")),
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
        fields
            .add_fault("store", format!("expected a URL that starts with http://, found {url:?}"));
    }
    fields.finish();
    settings
}

fn listen(mut fields: Fields<'_>) -> Listen {
    let defaults = Listen::default();
    let listen = Listen {
        callers: fields.require("callers", defaults.callers),
        peers: fields.require("peers", defaults.peers),
    };
    for (name, address) in [("callers", listen.callers), ("peers", listen.peers)] {
        check_address(&mut fields, name, address);
    }
    if listen.callers == listen.peers && listen.callers.port() != 0 {
        fields.add_fault(
            "peers",
            "the listeners for callers and peers must have different addresses",
        );
    }
    fields.finish();
    listen
}

fn check_address(fields: &mut Fields<'_>, name: &str, address: SocketAddr) {
    if address.ip().is_unspecified() {
        fields.add_fault(
            name,
            "callers and peers connect to this address: it must not be the unspecified address",
        );
    }
}

fn keys(mut fields: Fields<'_>) -> Keys {
    let stated = fields.has("peer");
    let peer: String = fields.require_secret("peer", String::new());
    if stated && peer.len() < MIN_PEER_KEY_BYTES {
        fields.add_fault(
            "peer",
            format!("must have at least {MIN_PEER_KEY_BYTES} bytes, has {}", peer.len()),
        );
    }
    let stated = fields.has("tickets");
    let texts: Vec<String> = fields.require_secret("tickets", Vec::new());
    let mut tickets = Vec::new();
    for (i, text) in texts.iter().enumerate() {
        let mut key = [0; 32];
        match hex::decode_to_slice(text, &mut key) {
            Ok(()) => tickets.push(key),
            // The text is a secret, so the message does not show it.
            Err(_) => fields.add_fault(&format!("tickets.{i}"), "expected 64 hex digits"),
        }
    }
    if stated && texts.is_empty() {
        fields.add_fault("tickets", "must list at least one key");
    }
    let operators = fields.read("operators", Default::default());
    let keys = Keys { peer, tickets, operators };
    for (operator, key) in &keys.operators {
        if let Err(error) = th_protocol::public_key(key) {
            fields.add_fault(&format!("operators.{operator}"), error.to_string());
        }
    }
    fields.finish();
    keys
}

fn limits(mut fields: Fields<'_>) -> Limits {
    let defaults = Limits::default();
    let limits = Limits {
        head: size(&mut fields, "head", defaults.head),
        body: size(&mut fields, "body", defaults.body),
        answer: size(&mut fields, "answer", defaults.answer),
        requests: fields.read("requests", defaults.requests),
        slow: duration(&mut fields, "slow", defaults.slow),
    };
    if limits.head < MIN_HEAD {
        fields.add_fault("head", format!("must be at least {MIN_HEAD}, got {}", limits.head));
    }
    if limits.requests == 0 {
        fields.add_fault("requests", "must be at least 1");
    }
    fields.finish();
    limits
}

fn stop(mut fields: Fields<'_>) -> Stop {
    let defaults = Stop::default();
    let stop = Stop {
        linger: duration(&mut fields, "linger", defaults.linger),
        limit: duration(&mut fields, "limit", defaults.limit),
    };
    if stop.limit < stop.linger {
        fields.add_fault("limit", "must not be shorter than the linger time");
    }
    fields.finish();
    stop
}

fn pace(mut fields: Fields<'_>) -> Pace {
    let defaults = Pace::default();
    let pace = Pace {
        tick: duration(&mut fields, "tick", defaults.tick),
        list: duration(&mut fields, "list", defaults.list),
        watch: duration(&mut fields, "watch", defaults.watch),
        call: duration(&mut fields, "call", defaults.call),
    };
    fields.finish();
    pace
}

fn logs(mut fields: Fields<'_>) -> Logs {
    let defaults = Logs::default();
    let logs = Logs {
        form: fields.read("form", LogForm::default()),
        level: fields.read::<Level>("level", Level(defaults.level)).0,
        parts: {
            let parts: std::collections::BTreeMap<String, Level> =
                fields.read("parts", Default::default());
            parts.into_iter().map(|(part, level)| (part, level.0)).collect()
        },
    };
    for part in logs.parts.keys() {
        if !crate::logs::PARTS.contains(&part.as_str()) {
            let known = crate::logs::PARTS.join(", ");
            fields.add_fault(
                &format!("parts.{part}"),
                format!("unknown log target; the known ones are {known}"),
            );
        }
    }
    fields.finish();
    logs
}

/// A log level as settings state it.
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

fn duration(fields: &mut Fields<'_>, name: &str, default: Millis) -> Millis {
    let duration = fields.read(name, default);
    if duration == Millis::ZERO || MAX_DURATION < duration {
        fields.add_fault(name, format!("must be between 1ms and {MAX_DURATION}, got {duration}"));
    }
    duration
}

fn size(fields: &mut Fields<'_>, name: &str, default: Bytes) -> Bytes {
    let size = fields.read(name, default);
    if size == Bytes::ZERO || MAX_SIZE < size {
        fields.add_fault(name, format!("must be between 1B and {MAX_SIZE}, got {size}"));
    }
    size
}
