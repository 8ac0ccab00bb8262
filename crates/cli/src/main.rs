//! The `frostgauge` command: check settings, look at gateways, see the whole thing run.

mod counter;
mod demo;
mod error;
mod output;
mod status;

use clap::{Parser, Subcommand};
use error::CommandError;
use frostgauge_system_test::roles;
use output::Output;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Manages gateways that hold tenants to their quotas.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file: exit code 0 if a gateway would accept it, 2 with every error if not.
    Check {
        /// The settings, a Jsonnet file.
        file: PathBuf,
    },
    /// Show a gateway's status, from its admin address.
    Status {
        /// The gateway's admin address.
        #[arg(long)]
        admin: SocketAddr,
        /// The zones alone.
        #[arg(long)]
        zones: bool,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Drain a zone at a gateway, or restore it through the recovery ramp.
    Zones {
        /// The gateway's admin address.
        #[arg(long)]
        admin: SocketAddr,
        /// What to do.
        #[arg(value_parser = ["drain", "restore"])]
        word: String,
        /// The zone.
        zone: String,
    },
    /// Inspect the counter service and its files.
    #[command(subcommand)]
    Counter(counter::Counter),
    /// Play a frost night on this machine: gateways, introspection server, servers and clients.
    Demo {
        /// Seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keep settings, ledgers and logs in this folder, which must not exist or be empty.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    #[command(flatten)]
    Role(roles::Role),
}

fn main() -> ExitCode {
    let done = match Options::parse().command {
        Command::Role(role) => return ExitCode::from(roles::play(&role)),
        Command::Demo { seed, out } => return demo::play(seed, out),
        Command::Check { file } => check(&file),
        Command::Status { admin, zones, json } => status::show(admin, zones, json),
        Command::Zones { admin, word, zone } => status::change_zone(admin, &zone, &word),
        Command::Counter(command) => counter::run(command),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprint!("{error}");
            error.exit_code()
        }
    }
}

fn check(file: &Path) -> Result<(), CommandError> {
    let loaded = frostgauge_settings::load(file)
        .map_err(|faults| CommandError::Settings { file: file.to_owned(), faults })?;
    let (nodes, insurers) = (loaded.nodes.len(), loaded.tenants.len());
    let mut out = Output::stdout();
    writeln!(out, "{}: good; {nodes} nodes, {insurers} insurers", file.display())?;
    Ok(out.flush()?)
}
