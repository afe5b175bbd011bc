//! Runs scenario files in virtual time and prints one JSON line for each run.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use argh::FromArgs;
use eyre::{Result, WrapErr, bail};
use th_testing::scenario::{parse, run};

/// Runs a scenario, or all in a folder, and prints the violated invariants.
#[derive(FromArgs)]
struct Args {
    /// a file, or a folder with files that end in .scn
    #[argh(positional)]
    path: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds to run
    #[argh(option, default = "1")]
    seeds: u64,
    /// print only the JSON lines, without a line for people for each violated invariant
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    match run_all(&argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs each scenario with each seed. Returns whether no invariant was violated.
fn run_all(args: &Args) -> Result<bool> {
    let mut files = Vec::new();
    find_scenarios(&args.path, &mut files)?;
    if files.is_empty() {
        bail!("{} contains no scenario file", args.path.display());
    }
    files.sort();
    let mut passed = true;
    for file in files {
        let name = file.display().to_string();
        let text = fs::read_to_string(&file).wrap_err_with(|| format!("reading {name}"))?;
        let scenario = parse(&name, &text)?;
        for seed in args.seed..args.seed + args.seeds {
            let summary = run(&scenario, seed)?;
            println!("{}", serde_json::to_string(&summary)?);
            passed &= summary.broken.is_empty();
            for violation in summary.broken.iter().filter(|_| !args.json) {
                eprintln!("{name}: seed {seed}: BROKEN: {violation}");
            }
        }
    }
    Ok(passed)
}

fn find_scenarios(path: &Path, files: &mut Vec<PathBuf>) -> Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path).wrap_err_with(|| format!("reading {}", path.display()))? {
        let path = entry?.path();
        if path.is_dir() || path.extension().is_some_and(|it| it == "scn") {
            find_scenarios(&path, files)?;
        }
    }
    Ok(())
}
