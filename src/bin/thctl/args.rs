//! The command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use serde_json::json;
use th_protocol::{Block, Digest, OperationId, OperatorId, ServiceId};

use crate::output::{Exit, Output};

const NAME: &str = "thctl";

/// Checks, signs and rolls bundles, and queries entry VMs for their state. Any command takes
/// --json for output that programs can read.
#[derive(FromArgs, Debug)]
#[argh(
    note = "First steps: write a bundle (docs/BUNDLE.md), then `bundle keygen`, `bundle check`, `bundle sign`, `bundle roll`, `status`.",
    example = "{command_name} bundle check bundle.json",
    example = "{command_name} bundle roll signed.json --store http://10.0.0.1:7000",
    example = "{command_name} fleet --store 10.200.1.7:8169",
    example = "{command_name} status --entry 10.0.0.1:8080 --entry 10.0.0.2:8080 --json",
    error_code(0, "done"),
    error_code(1, "rejected, or faults were found in a bundle"),
    error_code(2, "the command line is wrong"),
    error_code(3, "unknown: it may or may not have taken effect; repeat the command"),
    error_code(4, "conflict: another operator rolled a bundle first"),
    error_code(5, "the platform's service or an entry VM could not be reached")
)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Bundle(Bundle),
    Status(Status),
    Report(Report),
    Explain(Explain),
    Lookup(Lookup),
    Fleet(Fleet),
}

/// check, sign and roll a bundle
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bundle")]
pub(crate) struct Bundle {
    #[argh(subcommand)]
    pub(crate) command: BundleCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum BundleCommand {
    Check(Check),
    Keygen(Keygen),
    Sign(Sign),
    Roll(Roll),
    Show(Show),
}

/// list every fault of a bundle with its field
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the bundle, a JSON file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// generate an operator's key pair, and print the public key for the bundle's `operators`
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keygen")]
pub(crate) struct Keygen {
    /// where to write the secret key; an existing file is not overwritten
    #[argh(option)]
    pub(crate) out: PathBuf,
}

/// check a bundle and sign it
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "sign")]
pub(crate) struct Sign {
    /// the bundle, a JSON file
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// the file with your secret key
    #[argh(option)]
    pub(crate) key: PathBuf,
    /// your name among the bundle's `operators`
    #[argh(option)]
    pub(crate) operator: OperatorId,
    /// where to write the signed bundle
    #[argh(option)]
    pub(crate) out: PathBuf,
    /// digest of the bundle that this one was made from, as `bundle show` prints it; if another
    /// bundle is in force at the roll, the roll is a conflict
    #[argh(option)]
    pub(crate) base: Option<Digest>,
}

/// put a signed bundle in force; safe to repeat
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "roll")]
pub(crate) struct Roll {
    /// the signed bundle
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// URL of the platform's service
    #[argh(option)]
    pub(crate) store: String,
}

/// show the bundle that was last rolled
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// URL of the platform's service
    #[argh(option)]
    pub(crate) store: String,
    /// also write the bundle to this file, to be changed and signed
    #[argh(option)]
    pub(crate) out: Option<PathBuf>,
}

/// query entry VMs for the version in force and whether they are ready
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// address of an entry VM, such as 10.0.0.1:8080; repeat for each entry VM
    #[argh(option)]
    pub(crate) entry: Vec<String>,
}

/// report on service levels
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    #[argh(subcommand)]
    pub(crate) command: ReportCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum ReportCommand {
    Burn(Burn),
}

/// burn rates of the error budgets, headroom and drain times
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
pub(crate) struct Burn {
    /// address of an entry VM, such as 10.0.0.1:8080; repeat for each entry VM
    #[argh(option)]
    pub(crate) entry: Vec<String>,
    /// also write a plot of the last six hours to this SVG file
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// explain where the traffic of a service is sent and why, or the outcome of a request
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// a service, or the id of a request
    #[argh(positional)]
    pub(crate) what: String,
    /// address of an entry VM, such as 10.0.0.1:8080; repeat for each entry VM
    #[argh(option)]
    pub(crate) entry: Vec<String>,
}

/// look up the entry VMs that a caller should use
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "lookup")]
pub(crate) struct Lookup {
    /// the service
    #[argh(positional)]
    pub(crate) service: ServiceId,
    /// the operation
    #[argh(positional)]
    pub(crate) operation: OperationId,
    /// address of the entry VM to query
    #[argh(option)]
    pub(crate) entry: String,
    /// the caller's block of addresses, such as 10.1.2.0/24
    #[argh(option)]
    pub(crate) block: Option<Block>,
}

/// on the users' platform: show the configuration, backend servers and entry VMs in the store
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fleet")]
pub(crate) struct Fleet {
    /// address of the platform's store, such as 10.200.1.7:8169
    #[argh(option)]
    pub(crate) store: SocketAddr,
}

/// Removes `--json` from the arguments, at any position, and returns whether it was present.
pub(crate) fn strip_json_flag(args: impl Iterator<Item = String>) -> (Vec<String>, bool) {
    let all: Vec<_> = args.collect();
    let rest: Vec<_> = all.iter().filter(|it| *it != "--json").cloned().collect();
    let json = rest.len() < all.len();
    (rest, json)
}

/// Parses the command; returns the help text or the usage error as the error.
pub(crate) fn parse(args: &[String]) -> Result<Command, Output> {
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    let early = match Args::from_args(&[NAME], &args) {
        Ok(it) => return Ok(it.command),
        Err(early) => early,
    };
    if early.status.is_ok() {
        return Err(Output::done(early.output.clone(), json!({ "help": early.output })));
    }
    let help = "`thctl help` lists the commands, `thctl COMMAND help` their options";
    Err(Output::failed(Exit::Usage, early.output).with_help(help))
}
