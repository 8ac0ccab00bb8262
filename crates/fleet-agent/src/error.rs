//! Errors when the fleet agent starts.

use thiserror::Error;

/// Why a process or its task could not be started, or a fleet's first rules could not be written.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The folder of a replica is in use, damaged or not writable, or the first rules or the set of voters are invalid.
    #[error("{0}")]
    Replica(String),
    /// The folder with the fallback version is in use or damaged.
    #[error("{0}")]
    FallbackStorage(String),
    /// The stored fallback version cannot be read.
    #[error("cannot read the fallback version in the journal '{journal}': {reason}")]
    FallbackVersion {
        /// Name of the journal that holds the version.
        journal: &'static str,
        /// Why the version cannot be decoded.
        reason: String,
    },
    /// The operating system cannot start the thread of the task.
    #[error("cannot start the thread of the fleet agent: {0}")]
    Thread(#[source] std::io::Error),
}
