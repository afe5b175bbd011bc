//! Stand-ins and cases of the review: `stand_in CASE FOLDER RECORD`, from the root of the repository. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod call;
mod cut_watches;
mod directory;
mod entry;
mod grace;
mod held_write;
mod homes;
mod http;
mod json;
mod record;
mod stop;
mod store;

use std::{env, path::Path, process::exit, sync::Arc};

use record::Record;

/// The result of a case.
pub enum Outcome {
    Held,
    Broken(String),
    Unable(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, path] = arguments.as_slice() else {
        eprintln!("usage: stand_in CASE FOLDER RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").is_ok_and(|it| it == "0");
    let trouble = !trouble;
    let record = Arc::new(Record::create(path));
    record.add(format!("case {case}, trouble {trouble}"));
    let outcome = match case.as_str() {
        "directory" => directory::run(trouble, Path::new(folder), &record),
        "held-write" => held_write::run(trouble, Path::new(folder), &record),
        "homes" => homes::run(trouble, Path::new(folder), &record),
        "cut-watches" => cut_watches::run(trouble, Path::new(folder), &record),
        "stop" => stop::run(trouble, Path::new(folder), &record),
        "grace" => grace::run(trouble, Path::new(folder), &record),
        _ => Outcome::Unable(format!("no case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "held".to_owned()),
        Outcome::Broken(text) => (1, format!("broken: {text}")),
        Outcome::Unable(text) => (2, format!("not run: {text}")),
    };
    record.add(format!("result {code}, {text}"));
    println!("{text}");
    exit(code);
}
