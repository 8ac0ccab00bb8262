//! The state that a voter must keep across restarts, in memory and in a journal. The journal is synced before any
//! message that depends on a change of the state is sent.
//!
//! The consensus library panics if its storage returns an error, so [`ConsensusLog`] never returns one. It records what
//! the library writes, and [`LogStorage::flush`] makes it durable as one frame before the messages that depend on it
//! are sent. If that fails the replica stops, and no message of the batch has been sent.

mod consensus_log;

pub(crate) use consensus_log::ConsensusLog;

use crate::message::Configuration;
use consensus_log::{LogState, Operation};
use frostgauge_storage::{Journal, JournalError, Storage};
use serde::{Deserialize, Serialize};
use std::io;

/// The stem of the names of the journal's files; it is part of the stored data.
const JOURNAL_NAME: &str = "keeper";

/// Why a voter's log cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum LogStorageError {
    /// The journal cannot be opened.
    #[error(transparent)]
    Open(#[from] JournalError),
    /// A frame cannot be decoded.
    #[error("{location}/{JOURNAL_NAME}: frame {index} of the journal cannot be decoded: {source}")]
    UndecodableFrame {
        /// The folder that holds the journal.
        location: String,
        /// The position of the frame in the journal, from 0.
        index: usize,
        /// Why decoding failed.
        source: postcard::Error,
    },
    /// The incremented start count cannot be written when the journal is opened.
    #[error("{location}/{JOURNAL_NAME}: cannot write the start count: {source}")]
    WriteStartCount {
        /// The folder that holds the journal.
        location: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The journal cannot be written. How much of it is durable is found out when it is opened the next time.
    #[error("cannot write the voter's journal: {0}")]
    Write(#[source] io::Error),
}

/// A frame of the journal. Frames are encoded by position: the order of variants is fixed.
#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    /// The beginning of a configuration, with an empty log; log operations before it are obsolete.
    Configuration(Configuration),
    /// Operations on the log of the configuration.
    Operations(Vec<Operation>),
    /// How many times this storage was opened.
    StartCount(u64),
}

impl Frame {
    fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The journal of a voter and its state in memory.
#[derive(Debug)]
pub(crate) struct LogStorage<S> {
    journal: Journal<S>,
    log: ConsensusLog,
    configuration: Option<Configuration>,
    start_count: u64,
    sync_count: u64,
}

impl<S: Storage> LogStorage<S> {
    /// Opens storage that is empty or holds a configuration and the operations on its log, and counts the start.
    ///
    /// # Errors
    /// The storage cannot be read or written, or is damaged; the error says where.
    pub(crate) fn open(storage: S) -> Result<LogStorage<S>, LogStorageError> {
        let location = storage.location();
        let (journal, contents) = Journal::open(storage, JOURNAL_NAME)?;
        let (mut configuration, mut state, mut start_count) = (None, LogState::default(), 0);
        for (index, bytes) in contents.frames.iter().enumerate() {
            let frame = postcard::from_bytes::<Frame>(bytes).map_err(|source| {
                LogStorageError::UndecodableFrame { location: location.clone(), index, source }
            })?;
            match frame {
                Frame::Configuration(stored) => {
                    configuration = Some(stored);
                    state = LogState::default();
                }
                Frame::Operations(operations) => {
                    operations.into_iter().for_each(|operation| state.apply(operation));
                }
                Frame::StartCount(stored) => start_count = stored,
            }
        }
        start_count += 1;
        let log = ConsensusLog::new(state);
        let mut opened = LogStorage { journal, log, configuration, start_count, sync_count: 1 };
        opened.write_start_count().map_err(|source| LogStorageError::WriteStartCount { location, source })?;
        Ok(opened)
    }

    fn write_start_count(&mut self) -> io::Result<()> {
        self.journal.append(&Frame::StartCount(self.start_count).to_bytes())?;
        self.journal.sync()
    }

    /// How many times this storage was opened, this time included.
    pub(crate) fn start_count(&self) -> u64 {
        self.start_count
    }

    /// The beginning of the current configuration, with its snapshot of the record; none if the storage is empty.
    pub(crate) fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// A handle to the log, to be shared with the consensus library.
    pub(crate) fn log(&self) -> ConsensusLog {
        self.log.clone()
    }

    /// Syncs to disk since the storage was opened, that of the opening included.
    pub(crate) fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Begins a configuration with an empty log; it is durable when this returns.
    ///
    /// # Errors
    /// The journal cannot be written.
    pub(crate) fn begin(&mut self, configuration: Configuration) -> Result<(), LogStorageError> {
        self.log = ConsensusLog::default();
        let start_count = Frame::StartCount(self.start_count).to_bytes();
        let frames = [start_count, Frame::Configuration(configuration.clone()).to_bytes()];
        self.journal.replace(&frames).map_err(LogStorageError::Write)?;
        self.sync_count += 1;
        self.configuration = Some(configuration);
        Ok(())
    }

    /// Makes all recorded operations durable. If the journal is longer than `max_journal_bytes`, it is replaced by a
    /// compact one with the same state.
    ///
    /// # Errors
    /// The journal cannot be written.
    pub(crate) fn flush(&mut self, max_journal_bytes: u64) -> Result<(), LogStorageError> {
        let is_long = self.journal.len() > max_journal_bytes;
        let (operations, compacted) = self.log.take_unsynced(is_long);
        if operations.is_empty() {
            return Ok(());
        }
        self.sync_count += 1;
        let written = match (compacted, &self.configuration) {
            (Some(compacted), Some(configuration)) => self.journal.replace(&[
                Frame::StartCount(self.start_count).to_bytes(),
                Frame::Configuration(configuration.clone()).to_bytes(),
                Frame::Operations(compacted).to_bytes(),
            ]),
            _ => self.append_and_sync(&Frame::Operations(operations)),
        };
        written.map_err(LogStorageError::Write)
    }

    fn append_and_sync(&mut self, frame: &Frame) -> io::Result<()> {
        self.journal.append(&frame.to_bytes())?;
        self.journal.sync()
    }

    /// Returns the underlying storage.
    pub(crate) fn into_storage(self) -> S {
        self.journal.into_storage()
    }
}
