//! `frostgauge-counter`: the counter service.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Keeps counters that all gateways add to, and counts each add once. Exit code 0 after SIGTERM or SIGINT, 1 if it
/// stopped because of a failure, 2 if it could not start.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// The settings file, in Jsonnet.
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
