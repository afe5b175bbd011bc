//! The operators' tool: checks, signs and rolls bundles, and asks entry VMs.

mod answer;
mod args;
mod bundle;
mod entries;
mod fleet;
mod roll;

use std::process::ExitCode;

use answer::{Answer, Exit};
use args::{BundleCommand, Command, ReportCommand};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let (args, json) = args::without_json(std::env::args().skip(1));
    let answer = match args::parse(&args) {
        Ok(command) => run(command).await,
        Err(answer) => answer,
    };
    answer.print(json);
    answer.exit.into()
}

async fn run(command: Command) -> Answer {
    let result = match command {
        Command::Bundle(it) => match it.command {
            BundleCommand::Check(it) => bundle::check_file(&it),
            BundleCommand::Keygen(it) => bundle::keygen(&it),
            BundleCommand::Sign(it) => bundle::sign(&it),
            BundleCommand::Roll(it) => roll::roll_file(&it).await,
            BundleCommand::Show(it) => roll::show(&it).await,
        },
        Command::Status(it) => entries::status(&it).await,
        Command::Report(it) => match it.command {
            ReportCommand::Burn(it) => entries::burn(&it).await,
        },
        Command::Explain(it) => entries::explain(&it).await,
        Command::Lookup(it) => entries::lookup(&it).await,
        Command::Fleet(it) => fleet::show(&it).await,
    };
    result.unwrap_or_else(|e| Answer::failed(Exit::Refused, format!("{e:#}")))
}
