//! Stand-ins of the second review: `stand_in_2 CASE FOLDER RECORD`. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod backend;
mod client;
mod copy_of_gone;
mod entry;
mod full_memory;
mod http;
mod json;
mod missing_born;
mod record;

mod store;

use std::{env, path::Path, process::exit};

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// A configuration with one route to one service for each kind of request.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: u64, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"desk.example","prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":600,"priority":1,"service":"{service}","max_attempts":2,"sticky":false,"home_regions":[]}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","connection_limit":390,"protocol":"h1","tls":false,"warmup_s":3.0,"cold_per_s":10.0}}"#
        )
    };
    let routes = [
        route("r-quote", "/look/", "safe", 3_000, "bookings"),
        route("r-book", "/claim/", "unsafe", 3_000, "bookings"),
        route("r-photo", "/photo/", "upload", 6_000, "surveys"),
    ];
    let services = [service("bookings"), service("surveys")].join(",");
    let routes = routes.join(",");
    format!(
        r#"{{"version":"{version:08x}","routes":[{routes}],"services":[{services}],"limits":{{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, path] = arguments.as_slice() else {
        eprintln!("usage: stand_in_2 CASE FOLDER RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let (record, folder) = (Record::new(), Path::new(folder));
    record.note(format!("case {case}, disruption: {trouble}"));
    let verdict = match case.as_str() {
        "copy-of-gone" => copy_of_gone::play(trouble, folder, &record),
        "missing-born" => missing_born::play(trouble, folder, &record),
        "full-memory" => full_memory::play(trouble, folder, &record),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("THE RULE WAS BROKEN".to_owned(), 1),
        Verdict::NotRun(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.note(&text);
    record.write(path);
    println!("{case}: {text}");
    exit(code);
}
