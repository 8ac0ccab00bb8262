//! The daemon's program.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// An API gateway that holds tenants to their quotas before shared servers.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// The settings, a Jsonnet file.
    #[arg(long, required_unless_present = "platform")]
    config: Option<PathBuf>,
    /// Serve on the platform: the configuration comes from the variables NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and
    /// NODE_CONFIG.
    #[arg(long, conflicts_with = "config")]
    platform: bool,
    /// Write the fleet's first rules, from this Jsonnet file, into the voter's folder that the settings name, and end:
    /// once in a fleet's lifetime, the same rules at each voter.
    #[arg(long, value_name = "RULES", requires = "config")]
    found: Option<PathBuf>,
    /// Log as JSON lines.
    #[arg(long)]
    log_json: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    frostgauge_gateway::log::init(options.log_json);
    ExitCode::from(match (options.config, options.found) {
        (Some(config), Some(rules)) => frostgauge_gateway::daemon::bootstrap(&config, &rules),
        (Some(config), None) => frostgauge_gateway::daemon::run(&config),
        (None, _) => frostgauge_platform_gateway::daemon::run(|name| std::env::var(name).ok()),
    })
}
