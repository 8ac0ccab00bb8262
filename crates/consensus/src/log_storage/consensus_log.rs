//! The log in memory: the storage that the consensus library reads and writes.

use crate::state_machine::Entry;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

impl omnipaxos::storage::Entry for Entry {
    /// No snapshots are made within a configuration: a log is kept short by ending the configuration, and the next one
    /// begins with a snapshot of the record.
    type Snapshot = NoSnapshot;
}

/// An operation on the log, as stored in the journal. Operations are encoded by position: the order of variants is
/// fixed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Operation {
    /// Append entries.
    Append(Vec<Entry>),
    /// Truncate the log to a length, then append entries.
    AppendOnPrefix(usize, Vec<Entry>),
    /// Set the highest ballot that was promised.
    SetPromise(Ballot),
    /// Set the number of entries known to be decided.
    SetDecided(usize),
    /// Set the ballot in which entries were accepted last.
    SetAccepted(Ballot),
    /// Set the consensus library's own mark for the end of a log.
    SetStopSign(Option<StopSign>),
}

/// The state of the log, and the operations on it that are not durable yet.
#[derive(Debug, Default)]
pub(super) struct LogState {
    entries: Vec<Entry>,
    /// The highest ballot that was promised.
    promise: Option<Ballot>,
    /// The ballot in which entries were accepted last.
    accepted: Option<Ballot>,
    /// The number of entries known to be decided.
    decided: usize,
    stop_sign: Option<StopSign>,
    /// The index of the first entry that ends this configuration.
    end_index: Option<usize>,
    unsynced: Vec<Operation>,
}

impl LogState {
    /// Applies an operation that is durable already, or that the caller records to be made so.
    pub(super) fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Append(entries) => self.extend(entries),
            Operation::AppendOnPrefix(length, entries) => {
                self.entries.truncate(length);
                self.end_index = self.end_index.filter(|index| *index < length);
                self.extend(entries);
            }
            Operation::SetPromise(ballot) => self.promise = Some(ballot),
            Operation::SetDecided(index) => self.decided = index,
            Operation::SetAccepted(ballot) => self.accepted = Some(ballot),
            Operation::SetStopSign(stop_sign) => self.stop_sign = stop_sign,
        }
    }

    fn extend(&mut self, entries: Vec<Entry>) {
        let end = entries.iter().position(|entry| matches!(entry, Entry::ChangeConfiguration { .. }));
        self.end_index = self.end_index.or(end.map(|offset| self.entries.len() + offset));
        self.entries.extend(entries);
    }

    /// Applies an operation and records it to be made durable.
    fn record(&mut self, operation: Operation) {
        self.apply(operation.clone());
        self.unsynced.push(operation);
    }

    /// The operations that build this state from an empty log, as few as possible.
    fn compacted(&self) -> Vec<Operation> {
        let mut operations = vec![
            Operation::Append(self.entries.clone()),
            Operation::SetDecided(self.decided),
            Operation::SetStopSign(self.stop_sign.clone()),
        ];
        operations.extend(self.promise.map(Operation::SetPromise));
        operations.extend(self.accepted.map(Operation::SetAccepted));
        operations
    }
}

/// The log of one configuration, shared between the consensus library and [`LogStorage`](super::LogStorage).
#[derive(Clone, Debug, Default)]
pub(crate) struct ConsensusLog(Arc<Mutex<LogState>>);

impl ConsensusLog {
    pub(super) fn new(state: LogState) -> ConsensusLog {
        ConsensusLog(Arc::new(Mutex::new(state)))
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        // No code that holds the lock panics; even if it did, the state would be consistent between two operations.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the log contains an entry that ends this configuration, decided or not.
    pub(crate) fn ends_configuration(&self) -> bool {
        self.lock().end_index.is_some()
    }

    /// The number of entries in the log.
    pub(crate) fn entry_count(&self) -> usize {
        self.lock().entries.len()
    }

    /// Takes the operations that are not durable yet. If `compact` is set, also returns the operations that build the
    /// whole state, to replace those already in the journal.
    pub(super) fn take_unsynced(&self, compact: bool) -> (Vec<Operation>, Option<Vec<Operation>>) {
        let mut state = self.lock();
        let operations = std::mem::take(&mut state.unsynced);
        let compacted = compact.then(|| state.compacted());
        (operations, compacted)
    }
}

impl omnipaxos::storage::Storage<Entry> for ConsensusLog {
    fn write_atomically(&mut self, operations: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for operation in operations {
            match operation {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(stop_sign) => self.set_stopsign(stop_sign)?,
                // The library never requests these: logs are not compacted within a configuration.
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        // The library also flushes empty batches; writing those would sync the disk while nothing is proposed.
        if !entries.is_empty() {
            self.lock().record(Operation::Append(entries));
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.lock().record(Operation::AppendOnPrefix(from_idx, entries));
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut state = self.lock();
        if state.promise != Some(ballot) {
            state.record(Operation::SetPromise(ballot));
        }
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        let mut state = self.lock();
        if state.decided != index {
            state.record(Operation::SetDecided(index));
        }
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut state = self.lock();
        if state.accepted != Some(ballot) {
            state.record(Operation::SetAccepted(ballot));
        }
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.lock().entries.get(from..to).map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.lock().entries.get(from..).map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().promise)
    }

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.lock().record(Operation::SetStopSign(stop_sign));
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.lock().stop_sign.clone())
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
