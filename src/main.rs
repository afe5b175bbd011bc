//! The entry process, which runs on each entry VM.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use argh::FromArgs;
use eyre::{Result, WrapErr};
use th_entry::{Settings, SettingsFault, start, start_logs};
use th_platform::HttpPlatform;
use tokio::signal::unix::{SignalKind, signal};

const NAME: &str = "tanagerhollow";
/// Environment variable with the path of the settings file, used if the command line has none.
const SETTINGS_VARIABLE: &str = "TANAGERHOLLOW_SETTINGS";

/// Exit code if the command line is wrong or the settings are invalid.
const EXIT_USAGE: u8 = 2;
/// Exit code if the stop cut off requests in flight, or if the process failed.
const EXIT_FAILED: u8 = 1;

/// Steers requests of callers to backend servers. Runs until SIGTERM, then finishes the requests in flight; a second
/// SIGTERM ends it at once.
#[derive(FromArgs)]
struct Arguments {
    /// the settings, a JSON file (docs/SETTINGS.md lists its fields); may be left out if the environment variable
    /// TANAGERHOLLOW_SETTINGS has its path
    #[argh(positional)]
    settings: Option<PathBuf>,

    /// run on the users' platform: routes and backend servers come from its store
    #[argh(switch)]
    platform: bool,

    /// check the settings, print every fault and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let Some(path) =
        arguments.settings.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
    else {
        eprintln!(
            "no settings: name a file, or set {SETTINGS_VARIABLE}; `{NAME} --help` lists the options"
        );
        return ExitCode::from(EXIT_USAGE);
    };
    if arguments.platform {
        return run_on_platform(&path, arguments.check);
    }
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if arguments.check {
        println!("{}: no faults", path.display());
        return ExitCode::SUCCESS;
    }
    exit_code(run(settings))
}

/// Runs on the users' platform, or only checks the settings for it.
fn run_on_platform(path: &Path, check: bool) -> ExitCode {
    if !check {
        return exit_code(platform::run(path));
    }
    match platform::read_settings(path) {
        Ok(_) => {
            println!("{}: no faults", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Reports a failed run or cut requests on stderr and returns the exit code.
fn exit_code(result: Result<u32>) -> ExitCode {
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut) => {
            let noun = if cut == 1 { "request" } else { "requests" };
            eprintln!("the stop cut {cut} {noun}");
            ExitCode::from(EXIT_FAILED)
        }
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Parses the command line. On `--help` or a usage error, prints the text and returns the exit code as the error.
fn parse_arguments() -> Result<Arguments, ExitCode> {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Arguments::from_args(&[NAME], &args).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\n`{NAME} --help` lists the options", early.output.trim_end());
            ExitCode::from(EXIT_USAGE)
        }
    })
}

fn read_settings(path: &Path) -> Result<Settings, ExitCode> {
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!("error: reading {}: {error}", path.display());
        ExitCode::from(EXIT_USAGE)
    })?;
    Settings::read(&text).map_err(|faults| {
        print_faults(path, &faults);
        ExitCode::from(EXIT_USAGE)
    })
}

fn print_faults(path: &Path, faults: &[SettingsFault]) {
    for fault in faults {
        eprintln!("{}: {fault}", path.display());
    }
    let noun = if faults.len() == 1 { "fault" } else { "faults" };
    eprintln!("{} {noun}; docs/SETTINGS.md lists every field", faults.len());
}

/// Runs until a signal stops it. Returns the number of requests that the stop cut off.
#[tokio::main]
async fn run(settings: Settings) -> Result<u32> {
    start_logs(&settings.logs).wrap_err("starting the log")?;
    let url = settings.store.clone().unwrap_or_default();
    let mut terminate = signal(SignalKind::terminate()).wrap_err("listening for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("listening for SIGINT")?;
    let running = start(settings, Arc::new(HttpPlatform::new(&url))).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let in_flight = running.in_flight();
    tokio::select! {
        stopped = running.stop() => Ok(stopped.cut),
        _ = terminate.recv() => Ok(in_flight.now()),
        _ = interrupt.recv() => Ok(in_flight.now()),
    }
}
