//! Log output: each line has its time, level and target.

use std::{fmt, time::SystemTime};

use fern::{Dispatch, FormatCallback};
use log::Record;

use crate::settings::{LogForm, Logs};

/// The log targets of the entry process, whose levels `logs.parts` of the settings can set.
pub const PARTS: &[&str] = &["entry", "caller", "peer", "backend", "store", "bundle", "stop"];

/// Starts logging to standard error. Returns an error if the process already has a logger.
pub fn start_logs(logs: &Logs) -> Result<(), log::SetLoggerError> {
    let mut dispatch = Dispatch::new().level(log::LevelFilter::Warn);
    for part in PARTS {
        let level = logs.parts.get(*part).copied().unwrap_or(logs.level);
        dispatch = dispatch.level_for(*part, level);
    }
    let form = logs.form;
    let lines =
        move |out: FormatCallback<'_>, text: &fmt::Arguments<'_>, record: &Record<'_>| match form {
            LogForm::Human => human(out, text, record),
            LogForm::Json => json(out, text, record),
        };
    dispatch.format(lines).chain(std::io::stderr()).apply()
}

fn now() -> humantime::Rfc3339Timestamp {
    humantime::format_rfc3339_millis(SystemTime::now())
}

fn human(out: FormatCallback<'_>, text: &fmt::Arguments<'_>, record: &Record<'_>) {
    out.finish(format_args!("{} {:5} {}: {text}", now(), record.level(), record.target()));
}

fn json(out: FormatCallback<'_>, text: &fmt::Arguments<'_>, record: &Record<'_>) {
    let line = serde_json::json!({
        "at": now().to_string(),
        "level": record.level().as_str(),
        "part": record.target(),
        "text": text.to_string(),
    });
    out.finish(format_args!("{line}"));
}
