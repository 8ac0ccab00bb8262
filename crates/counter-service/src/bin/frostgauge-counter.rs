//! `frostgauge-counter`: the counter service.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Keeps numbers that all gateways add to, each add counted once. Exit code 0 after SIGTERM, 1 if it stopped
/// by itself, 2 if it could not start.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// The settings, a Jsonnet file.
    #[arg(long)]
    config: PathBuf,
    /// Log as JSON lines.
    #[arg(long)]
    log_json: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    frostgauge_counter_service::init_logging(options.log_json);
    ExitCode::from(frostgauge_counter_service::daemon::run(&options.config, false, std::time::Duration::ZERO))
}
