//! `frostgauge counter`: status of the counter service, and its files.

use crate::error::CommandError;
use crate::output::Output;
use clap::Subcommand;
use frostgauge_counter_service::write_ahead_log::tools;
use futures_lite::future;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A service whose admin address does not answer by then is reported as failed.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// The subcommands.
#[derive(Debug, Subcommand)]
pub(crate) enum Counter {
    /// Check a settings file of the service: exit code 0 if it would be taken, 2 with every fault if not.
    Check {
        /// The settings, a Jsonnet file.
        file: PathBuf,
    },
    /// Show how a running service stands, as JSON.
    Status {
        /// The service's admin address.
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Read every file of a data folder, also of a running service; exit code 1 if anything is wrong.
    Verify {
        /// The data folder.
        folder: PathBuf,
    },
    /// Print every record of the log, one JSON object a line.
    Dump {
        /// The data folder.
        folder: PathBuf,
    },
    /// Print every number that the files come to, one JSON object a line.
    Replay {
        /// The data folder.
        folder: PathBuf,
    },
    /// Take a snapshot of a stopped service's files, so that the next start is short.
    Snapshot {
        /// The data folder.
        folder: PathBuf,
    },
}

/// Runs a subcommand and prints what it gives.
pub(crate) fn run(command: Counter) -> Result<(), CommandError> {
    let mut out = Output::stdout();
    match command {
        Counter::Check { file } => check(&file, &mut out)?,
        Counter::Status { admin } => {
            let page = frostgauge_net::ask(admin, "GET", "/status", STATUS_TIMEOUT);
            write!(out, "{}", future::block_on(page)?)?;
        }
        Counter::Verify { folder } => verify(&folder, &mut out)?,
        Counter::Dump { folder } => dump(&folder, &mut out)?,
        Counter::Replay { folder } => replay(&folder, &mut out)?,
        Counter::Snapshot { folder } => writeln!(out, "{}", tools::snapshot(&folder)?)?,
    }
    Ok(out.flush()?)
}

fn check(file: &Path, out: &mut Output) -> Result<(), CommandError> {
    let loaded = frostgauge_settings::load_counter(file)
        .map_err(|faults| CommandError::Settings { file: file.to_owned(), faults })?;
    writeln!(out, "{}: good; keys of {} gateways", file.display(), loaded.keys.len())?;
    Ok(())
}

fn dump(folder: &Path, out: &mut Output) -> Result<(), CommandError> {
    let mut written = Ok(());
    tools::dump(folder, |record| {
        if written.is_ok() && !out.is_closed() {
            written = writeln!(out, "{}", tools::record_json(record));
        }
    })?;
    Ok(written?)
}

fn replay(folder: &Path, out: &mut Output) -> Result<(), CommandError> {
    let state = tools::replay(folder)?;
    for (name, counter) in state.counters() {
        if out.is_closed() {
            break;
        }
        writeln!(out, "{}", tools::counter_json(name, counter))?;
    }
    Ok(())
}

/// Prints the files and what recovery comes to. Faults are found whether or not anybody reads the list.
fn verify(folder: &Path, out: &mut Output) -> Result<(), CommandError> {
    let report = tools::verify(folder)?;
    for (name, bytes, records) in &report.files {
        writeln!(out, "{name}: {bytes} bytes, {records} records")?;
    }
    out.flush()?;
    let recovery = report.recovery.as_ref().map_err(|error| format!("{}: {error}", folder.display()))?;
    writeln!(
        out,
        "recovery: from snapshot {}, {} records, to {}",
        recovery.snapshot_index, recovery.replayed_records, report.recovered_index
    )?;
    let torn_file = match &recovery.torn_tail {
        Some((name, offset, bytes)) => {
            writeln!(out, "{name}: {bytes} bytes from byte {offset} on are a tail not (yet) durable")?;
            Some(name.as_str())
        }
        None => None,
    };
    out.flush()?;
    // A torn tail is no fault: recovery cuts it off, and in a running service it is a group being written.
    let is_torn_tail = |fault: &String| torn_file.is_some_and(|name| fault.starts_with(name));
    let faults: Vec<String> = report.faults.iter().filter(|fault| !is_torn_tail(fault)).cloned().collect();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(CommandError::Damaged(faults))
    }
}
