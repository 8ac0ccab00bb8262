//! `frostgauge-system-test`: scripted days on loopback.

use clap::{Parser, Subcommand};
use frostgauge_system_test::{bench, bench_counter, fleet_search, roles, run, scenario, search};
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays scripted days on loopback and checks the five rules from what crossed the sockets.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a scenario. Exit code 0 only if rules and expectations hold; 1 if not; 2 if it could not run.
    Run {
        /// The scenario, a Jsonnet file.
        scenario: PathBuf,
        /// Seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keep settings, ledgers and logs in this folder, which must not exist or be empty.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Say nothing but the last line.
        #[arg(long)]
        quiet: bool,
    },
    /// Search days of faults in virtual time for one that passes a limit on spill, pushes a node over, loses an
    /// answer, or leaves a zone away from home. Exit code 0 only if none does.
    Search {
        /// How many days.
        #[arg(long, default_value_t = 100)]
        days: u64,
        /// Gateways of each.
        #[arg(long, default_value_t = 400)]
        gateways: usize,
        /// Seed of the first; the others follow.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Leave the decisions about zones out.
        #[arg(long)]
        no_zones: bool,
        /// With quotas that bind, a counter to keep them by, and outages of it.
        #[arg(long)]
        counter: bool,
    },
    /// Search schedules of faults in virtual time for one under which the fleet's agreed rules are contradicted for
    /// too long, a sum is passed, or a version is lost. Exit code 0 only if none does; the shortest found is told.
    #[command(after_help = fleet_search::plants())]
    FleetSearch {
        /// How many schedules.
        #[arg(long, default_value_t = 100)]
        schedules: u64,
        /// Gateways of each.
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u16).range(3..=1024))]
        gateways: u16,
        /// Seed of the first; the others follow.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Plant a fault, that must then be found.
        #[arg(long)]
        plant: Option<String>,
    },
    /// Measure, in turns: the gateway against a plain relay and against the servers themselves, or the counter
    /// against a bare loop of append and sync and against itself without a log.
    Bench {
        /// What.
        #[arg(value_parser = ["gateway", "counter"], default_value = "gateway")]
        what: String,
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Rounds, of which the median counts.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    #[command(flatten)]
    Role(roles::Role),
}

fn main() -> ExitCode {
    match Options::parse().command {
        Command::Role(role) => ExitCode::from(roles::play(&role)),
        Command::Search { days, gateways, seed, no_zones, counter } => {
            match search::search(days, gateways, seed, !no_zones, counter) {
                Ok((figures, kept)) => {
                    println!("{figures}");
                    ExitCode::from(u8::from(!kept))
                }
                Err(reason) => {
                    eprintln!("search: {reason}");
                    ExitCode::from(2)
                }
            }
        }
        Command::FleetSearch { schedules, gateways, seed, plant } => {
            match fleet_search::search(schedules, gateways, seed, plant.as_deref()) {
                Ok((figures, kept)) => {
                    println!("{figures}");
                    ExitCode::from(u8::from(!kept))
                }
                Err(reason) => {
                    eprintln!("fleet-search: {reason}");
                    ExitCode::from(2)
                }
            }
        }
        Command::Bench { what, seconds, rounds } => {
            let measure = if what == "counter" { bench_counter::run } else { bench::run };
            let program = std::env::current_exe().map_err(|e| e.to_string());
            match program.and_then(|p| measure(&p, seconds, rounds)) {
                Ok(figures) => {
                    println!("{figures}");
                    ExitCode::SUCCESS
                }
                Err(reason) => {
                    eprintln!("bench: {reason}");
                    ExitCode::from(2)
                }
            }
        }
        Command::Run { scenario, seed, out, quiet } => match play(&scenario, seed, out, quiet) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(1),
            Err(reason) => {
                eprintln!("{}: {reason}", scenario.display());
                ExitCode::from(2)
            }
        },
    }
}

fn play(path: &std::path::Path, seed: u64, out: Option<PathBuf>, quiet: bool) -> Result<bool, String> {
    let scenario = scenario::load(path).map_err(|faults| format!("not usable:\n{faults}"))?;
    let folder = run::Folder::new(out)?;
    let progress = |line: &str| {
        if !quiet {
            eprintln!("{line}");
        }
    };
    let report = run::run(scenario, folder.path(), seed, &progress)?;
    if !quiet {
        print!("{}", report.table());
    }
    println!("{}", report.line());
    Ok(report.passes())
}
