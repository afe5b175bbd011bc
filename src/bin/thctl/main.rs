//! The operators' tool: checks, signs and rolls bundles, and queries entry VMs.

mod args;
mod bundle;
mod entries;
mod fleet;
mod output;
mod roll;

use std::process::ExitCode;

use args::{BundleCommand, Command, ReportCommand};
use output::{Exit, Output};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let (args, json) = args::strip_json_flag(std::env::args().skip(1));
    let output = match args::parse(&args) {
        Ok(command) => run(command).await,
        Err(output) => output,
    };
    output.print(json);
    output.exit.into()
}

async fn run(command: Command) -> Output {
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
    result.unwrap_or_else(|e| Output::failed(Exit::Failed, format!("{e:#}")))
}
