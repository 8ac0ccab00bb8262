//! The daemon's program.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Holds insurers to their quotas before shared claims nodes.
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
    frostgauge_gateway::log::init(options.log_json);
    ExitCode::from(frostgauge_gateway::daemon::run(&options.config))
}
