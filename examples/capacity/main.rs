//! Measures on one machine how resource usage grows with the size of the system, and fits a line through the points of
//! each quantity.
//!
//! `cargo run --release --example capacity -- [--json] [--plot DIR] [--only SECTION]`

mod calls;
mod changes;
mod engines;
mod fleets;
mod leases;
mod measurement;
mod plot;
mod tables;
mod tickets;

#[allow(dead_code, reason = "the figures that are not fitted here")]
#[path = "../../crates/th-protocol/examples/bundle_measure/sizes.rs"]
mod bundles;
#[allow(dead_code, reason = "the figures that are not fitted here")]
#[path = "../../crates/th-steer/examples/route_measure/figures.rs"]
mod figures;
#[path = "../../crates/th-steer/examples/shared/fit.rs"]
mod fit;
#[allow(dead_code, reason = "the figures that are not fitted here")]
#[path = "../../crates/th-steer/examples/member_measure/fleet.rs"]
mod fleet;
#[path = "../../crates/th-steer/examples/member_measure/healing.rs"]
mod healing;
#[path = "../../crates/th-steer/examples/member_measure/sample.rs"]
mod sample;
#[path = "../../crates/th-steer/examples/shared/vm.rs"]
mod vm;
#[path = "../../crates/th-steer/tests/world/mod.rs"]
mod world;

use std::{path::PathBuf, process::ExitCode, time::Instant};

use argh::FromArgs;
use eyre::Result;
use measurement::Measurement;

/// Measures how resource usage grows with the size of the system.
#[derive(FromArgs)]
struct Args {
    /// print the measurements as JSON
    #[argh(switch)]
    json: bool,
    /// write an SVG plot of each measurement into this directory
    #[argh(option)]
    plot: Option<PathBuf>,
    /// measure only this section
    #[argh(option)]
    only: Option<String>,
}

type Section = (&'static str, fn() -> Result<Vec<Measurement>>);

/// Sections that measure processor time. They run first and one at a time, so that other load does not distort the
/// times.
const TIMED: [Section; 4] = [
    ("tables", tables::measure),
    ("engines", engines::measure),
    ("changes", changes::measure),
    ("tickets", tickets::measure),
];
/// Sections that mostly count and wait. They run at the same time.
const COUNTED: [Section; 3] =
    [("calls", calls::measure), ("leases", leases::measure), ("fleets", fleets::measure)];

fn run(section: &Section) -> Result<Vec<Measurement>> {
    let start = Instant::now();
    eprintln!("{}: measuring", section.0);
    let measurements = (section.1)()?;
    eprintln!("{}: done in {:.1} s", section.0, start.elapsed().as_secs_f64());
    Ok(measurements)
}

/// Runs the chosen sections and returns the result of each; a section that fails does not stop the others.
fn measure(only: Option<&str>) -> Vec<Result<Vec<Measurement>>> {
    let chosen = |it: &&Section| only.is_none_or(|name| name == it.0);
    let mut all: Vec<_> = TIMED.iter().filter(chosen).map(run).collect();
    std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for section in COUNTED.iter().filter(chosen) {
            threads.push(scope.spawn(|| run(section)));
        }
        for thread in threads {
            all.push(thread.join().expect("a section panicked"));
        }
    });
    all
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match report(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Measures and prints the results. Returns whether all sections succeeded.
fn report(args: &Args) -> Result<bool> {
    let (mut measurements, mut complete) = (Vec::new(), true);
    for measured in measure(args.only.as_deref()) {
        match measured {
            Ok(it) => measurements.extend(it),
            Err(error) => {
                eprintln!("error: {error:#}");
                complete = false;
            }
        }
    }
    if let Some(dir) = &args.plot {
        std::fs::create_dir_all(dir)?;
        for measurement in &measurements {
            std::fs::write(
                dir.join(format!("{}.svg", measurement.file_name())),
                plot::plot(measurement)?,
            )?;
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&measurements)?);
        return Ok(complete);
    }
    for measurement in &measurements {
        println!("{measurement}");
    }
    Ok(complete)
}
