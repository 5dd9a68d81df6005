//! Runs fault scenarios on a fleet of real node processes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use woodgap_testkit::fleet::scenario::Scenario;
use woodgap_testkit::fleet::RigError;

/// Runs a fleet of real processes with injected faults on this machine.
#[derive(Parser)]
struct CommandLine {
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Runs a scenario and ends all processes that it started.
    Play {
        /// The scenario file, in TOML; examples are in `crates/testkit/scenarios`.
        file: PathBuf,
        /// The program of the nodes; by default the `woodgap` in the directory of this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Replaces the seed of the scenario.
        #[arg(long)]
        seed: Option<u64>,
        /// Writes the timeline of the nodes (running, out by permit, signals) to this SVG file.
        #[arg(long)]
        svg: Option<PathBuf>,
        /// Writes the log lines of all nodes, in time order, to this file.
        #[arg(long)]
        log: Option<PathBuf>,
    },
}

async fn play(
    file: PathBuf,
    program: Option<PathBuf>,
    seed: Option<u64>,
    svg: Option<PathBuf>,
    log: Option<PathBuf>,
) -> Result<(), RigError> {
    let text = std::fs::read_to_string(&file).map_err(|error| format!("{}: {error}", file.display()))?;
    let mut scenario = Scenario::parse(&text).map_err(|error| format!("{}: {error}", file.display()))?;
    scenario.fleet.seed = seed.unwrap_or(scenario.fleet.seed);
    let program = match program {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("woodgap"),
    };
    let (rig, report) = scenario.play(&program).await?;
    if let Some(path) = svg {
        std::fs::write(path, rig.timeline.to_svg()?)?;
    }
    if let Some(path) = log {
        std::fs::write(path, rig.log())?;
    }
    println!(
        "{} (seed {}): all {} steps passed; {} permits granted, at most {} nodes out, \
        over budget in {} of {} checks",
        scenario.name,
        scenario.fleet.seed,
        scenario.steps.len(),
        report.granted,
        report.max_out,
        report.over_budget,
        report.checks
    );
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let FleetCommand::Play { file, program, seed, svg, log } = CommandLine::parse().command;
    let result = tokio::select! {
        result = play(file, program, seed, svg, log) => result,
        _ = tokio::signal::ctrl_c() => Err("interrupted; all processes were ended".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet: {error}");
            ExitCode::FAILURE
        }
    }
}
