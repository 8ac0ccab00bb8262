//! Why a command failed.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Why a command failed; its text goes to standard error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A settings file that would not be taken, with every fault.
    #[error("{}: not usable:\n{faults}", file.display())]
    Settings { file: PathBuf, faults: frostgauge_settings::Faults },
    /// An admin address that does not answer as expected, or files that cannot be used.
    #[error("{0}\n")]
    Failed(String),
    /// A data folder with damaged files, one fault a line.
    #[error("{}\n", .0.join("\n"))]
    Damaged(Vec<String>),
    /// Standard output could not be written.
    #[error("standard output: {0}\n")]
    Output(#[from] io::Error),
}

impl CommandError {
    /// Exit code 2 for settings with faults, 1 for all else.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Settings { .. } => ExitCode::from(2),
            CommandError::Failed(_) | CommandError::Damaged(_) | CommandError::Output(_) => ExitCode::from(1),
        }
    }
}

impl From<String> for CommandError {
    fn from(reason: String) -> CommandError {
        CommandError::Failed(reason)
    }
}
