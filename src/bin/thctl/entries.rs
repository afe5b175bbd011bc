//! Commands that query entry VMs: status, report burn, explain and lookup.

use std::collections::BTreeSet;

use eyre::Result;
use serde_json::{Value, json};
use th_operator::{ClientError, EntryClient, Failure, query_all};
use th_protocol::Status;
use th_report::{Report, plot, text};

use crate::{
    args::{Burn, Explain, Lookup, Status as StatusArgs},
    bundle::write_file,
    output::{Exit, Output},
};

const REACH_HELP: &str =
    "check the addresses of --entry, and whether `tanagerhollow` runs and listens there";

/// Fields that are printed first on the line of a decision record.
const LEADING_FIELDS: &[&str] = &["time", "service", "outcome", "reason", "rule", "limit"];

fn entry_addresses(given: &[String]) -> Result<Vec<String>, Output> {
    let split = given.iter().flat_map(|it| it.split(','));
    let addresses: Vec<_> = split.filter(|it| !it.is_empty()).map(str::to_owned).collect();
    if addresses.is_empty() {
        let help = "give the address of at least one entry VM: --entry 10.0.0.1:8080";
        return Err(
            Output::failed(Exit::Usage, "no address of an entry VM was given").with_help(help)
        );
    }
    Ok(addresses)
}

fn failure_output(error: &ClientError) -> Output {
    let output = |exit| Output::failed(exit, error.to_string());
    match &error.failure {
        Failure::Unreachable(_) => output(Exit::Unreachable).with_help(REACH_HELP),
        Failure::Notice(_) | Failure::Status(_) => output(Exit::Failed),
        Failure::Malformed(_) => output(Exit::Failed)
            .with_help("check that the address is the caller listener of an entry VM"),
    }
}

pub(crate) async fn status(args: &StatusArgs) -> Result<Output> {
    let addresses = match entry_addresses(&args.entry) {
        Ok(it) => it,
        Err(output) => return Ok(output),
    };
    let answers = query_all(&addresses, |it| async move { it.status().await }).await;
    let mut text = format!(
        "{:<22} {:<16} {:<12} {:>8} {:>10}  state\n",
        "entry", "vm", "zone", "version", "age"
    );
    let mut rows = Vec::new();
    let mut bundles = BTreeSet::new();
    let mut exit = Exit::Done;
    for (address, answer) in addresses.iter().zip(&answers) {
        match answer {
            Ok(it) => {
                text.push_str(&status_line(address, it));
                rows.push(json!({ "entry": address, "status": it }));
                bundles.insert((it.version, it.digest));
                if !it.ready && exit == Exit::Done {
                    exit = Exit::Failed;
                }
            }
            Err(e) => {
                text.push_str(&format!("{address:<22} {e}\n"));
                rows.push(json!({ "entry": address, "error": e.to_string() }));
                exit = Exit::Unreachable;
            }
        }
    }
    let same = bundles.len() <= 1;
    if !same {
        text.push_str("the bundles in force differ\n");
        exit = if exit == Exit::Done { Exit::Failed } else { exit };
    }
    Ok(Output { exit, text, help: None, json: json!({ "same": same, "entries": rows }) })
}

fn status_line(address: &str, it: &Status) -> String {
    let version = it.version.map_or("-".into(), |it| it.to_string());
    let age = it.age_ms.map_or("-".into(), |it| format!("{}s", it.0 / 1000));
    let state = match (&it.reason, it.stopping, it.ready) {
        (_, true, _) => "stopping".to_owned(),
        (Some(reason), _, true) => format!("ready; {reason}"),
        (None, _, true) => "ready".to_owned(),
        (Some(reason), ..) => format!("not ready: {reason}"),
        (None, ..) => "not ready".to_owned(),
    };
    format!("{address:<22} {:<16} {:<12} {version:>8} {age:>10}  {state}\n", it.vm, it.zone)
}

pub(crate) async fn burn(args: &Burn) -> Result<Output> {
    let addresses = match entry_addresses(&args.entry) {
        Ok(it) => it,
        Err(output) => return Ok(output),
    };
    let answers = query_all(&addresses, |it| async move { it.burn().await }).await;
    let mut received = Vec::new();
    let mut unresponsive = Vec::new();
    let mut error = None;
    for (address, answer) in addresses.iter().zip(answers) {
        match answer {
            Ok(it) => received.push(it),
            Err(e) => {
                unresponsive.push(address.clone());
                error = Some(e);
            }
        }
    }
    if let (true, Some(error)) = (received.is_empty(), error) {
        return Ok(failure_output(&error));
    }
    let report = Report::merge(&received, &unresponsive);
    if let Some(path) = &args.plot {
        write_file(path, &plot(&report)?)?;
    }
    let exit = if unresponsive.is_empty() { Exit::Done } else { Exit::Unreachable };
    let json = json!({ "alert": report.highest_alert(), "report": report });
    Ok(Output { exit, text: text(&report), help: None, json })
}

pub(crate) async fn explain(args: &Explain) -> Result<Output> {
    let addresses = match entry_addresses(&args.entry) {
        Ok(it) => it,
        Err(output) => return Ok(output),
    };
    let answers = query_all(&addresses, |it| async move { it.explain(&args.what).await }).await;
    let mut text = String::new();
    let mut rows = Vec::new();
    let mut exit = Exit::Done;
    let mut records = 0;
    for (address, answer) in addresses.iter().zip(&answers) {
        match answer {
            Ok(found) => {
                records += found.len();
                let noun = if found.len() == 1 { "record" } else { "records" };
                text.push_str(&format!("{address}: {} {noun}\n", found.len()));
                for record in found {
                    text.push_str(&format!("  {}\n", record_line(record)));
                }
                rows.push(json!({ "entry": address, "records": found }));
            }
            Err(e) => {
                text.push_str(&format!("{address}: {e}\n"));
                rows.push(json!({ "entry": address, "error": e.to_string() }));
                exit = Exit::Unreachable;
            }
        }
    }
    let help = (records == 0 && exit == Exit::Done).then(|| {
        "entry VMs retain only their latest decisions; query the VM that answered the request"
            .to_owned()
    });
    Ok(Output { exit, text, help, json: json!({ "entries": rows }) })
}

/// Formats a decision record as one line: the outcome and its reason first, then the other fields.
fn record_line(record: &Value) -> String {
    let Value::Object(fields) = record else { return record.to_string() };
    let mut line = Vec::new();
    for name in LEADING_FIELDS {
        if let Some(value) = fields.get(*name) {
            line.push(format!("{name}={}", unquoted(value)));
        }
    }
    for (name, value) in fields {
        match value {
            Value::Null => continue,
            Value::Array(inputs) if name == "inputs" => line.extend(inputs.iter().map(input_text)),
            _ if LEADING_FIELDS.contains(&name.as_str()) => continue,
            _ => line.push(format!("{name}={}", unquoted(value))),
        }
    }
    line.join(" ")
}

/// Formats an input of a decision, with its age if it was not measured at the time of the decision.
fn input_text(input: &Value) -> String {
    let text = format!("{}={}", unquoted(&input["name"]), input["value"]);
    match input["age"].as_u64() {
        None | Some(0) => text,
        Some(age) => format!("{text} ({age}ms old)"),
    }
}

fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

pub(crate) async fn lookup(args: &Lookup) -> Result<Output> {
    let client = EntryClient::new(&args.entry);
    let found = match client.lookup(&args.service, &args.operation, args.block).await {
        Ok(it) => it,
        Err(e) => return Ok(failure_output(&e)),
    };
    let mut text = format!("version {}, good for {}\n", found.version, found.ttl);
    for it in &found.entries {
        text.push_str(&format!("  {} {} ({})\n", it.address, it.vm, it.zone));
    }
    if let Some(ticket) = &found.ticket {
        text.push_str(&format!("ticket {ticket}\n"));
    }
    Ok(Output::done(text, json!({ "answer": found })))
}
