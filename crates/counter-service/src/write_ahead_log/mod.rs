//! The state of the counter service on disk: a segmented write-ahead log, snapshots, and the durable watermark.
//!
//! [`WriteAheadLog::commit`] executes operations, writes the new records as one group, syncs it, and only then returns
//! the outcomes. [`WriteAheadLog::open`] recovers from what a crash left on disk: it restores the exact state, or fails
//! with the file, the offset in it and what to do.

pub mod format;
mod recover;
pub mod tools;
mod watermark;

pub use recover::{RecoveryError, RecoveryReport};

use format::{encode_group, encode_segment_header, SEGMENT_HEADER_BYTES};
use frostgauge_counter_core::{Operation, Outcome, Record, StateMachine, Undo};
use frostgauge_proto::counter::RejectReason;
use frostgauge_storage::{is_out_of_space, Storage};
use std::io;

/// Limits of the files and of the state in them.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Once a segment has reached this length in bytes, the next group starts a new one.
    pub max_segment_bytes: u64,
    /// An add to a new counter is rejected while so many counters exist.
    pub max_counters: usize,
    /// Whether segments are kept that no recovery needs, because the older of the two kept snapshots covers them.
    pub keep_old_segments: bool,
}

/// Why the service must stop: after this failure it does not know which records are durable.
#[derive(Debug)]
pub struct FatalError(pub String);

/// Outcome of one operation of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The operation is new and durable: the counter's total, or the epoch of the session it opened.
    Applied(i64),
    /// The operation was applied by an earlier attempt, and is durable: the total or epoch that it got then.
    Duplicate(i64),
    /// The operation changed nothing.
    Rejected(RejectReason),
}

/// File name of the segment whose first record has this index.
pub(crate) fn segment_name(first_index: u64) -> String {
    format!("log-{first_index:020}.fgl")
}

/// File name of the snapshot of the state after the record with this index.
pub(crate) fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:020}.fgs")
}

/// The index in the name of a segment or snapshot; `None` if the name is not `prefix`, 20 digits and `suffix`.
pub(crate) fn index_in_name(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
    (digits.len() == 20).then(|| digits.parse().ok())?
}

/// The state machine, and the files that make its state durable.
pub struct WriteAheadLog<S> {
    machine: StateMachine,
    storage: S,
    config: Config,
    /// Name and length in bytes of the segment that groups are appended to. `None` until the first group after opening.
    open_segment: Option<(String, u64)>,
    /// Indexes of the first records of all segments, in ascending order; the open segment is the last.
    segments: Vec<u64>,
    /// Indexes of the snapshots on disk, in ascending order.
    snapshots: Vec<u64>,
    /// How often the watermark was written since opening; selects the slot.
    watermark_writes: u64,
    /// Whether the watermark file has nothing that would have to be synced.
    watermark_synced: bool,
    bytes_written: u64,
}

/// An encoded snapshot that is not on disk yet.
#[derive(Debug)]
pub struct Snapshot {
    /// Index of the last record that the state includes.
    pub index: u64,
    /// Contents of the file.
    pub bytes: Vec<u8>,
}

impl<S: Storage> WriteAheadLog<S> {
    /// The state machine, with all committed operations applied.
    pub fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// The folder that holds the files.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// The folder that holds the files, for writing snapshots next to the log.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Closes the log without writing anything, and returns its folder.
    pub fn into_storage(self) -> S {
        self.storage
    }

    /// Bytes of groups written to the log since it was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Executes operations at the time `time_ms` (milliseconds since 1970), and returns their outcomes, in order, once
    /// all new records are durable. If the disk is full, the new operations are rolled back, and every operation that is
    /// not rejected for another reason is rejected with [`RejectReason::DiskFull`].
    ///
    /// # Errors
    /// The service must stop, and no outcome of these operations may be sent to a gateway.
    pub fn commit(
        &mut self,
        time_ms: u64,
        operations: Vec<Operation>,
    ) -> Result<Vec<CommitOutcome>, FatalError> {
        let (mut outcomes, mut records, mut undos) = (vec![], vec![], vec![]);
        for operation in operations {
            outcomes.push(match self.machine.execute(time_ms, operation, self.config.max_counters) {
                Outcome::Applied(record, undo) => {
                    let result = record.result;
                    records.push(record);
                    undos.push(*undo);
                    CommitOutcome::Applied(result)
                }
                Outcome::Duplicate(result) => CommitOutcome::Duplicate(result),
                Outcome::Rejected(reason) => CommitOutcome::Rejected(reason),
            });
        }
        if records.is_empty() {
            return Ok(outcomes);
        }
        match self.write(&records) {
            Ok(()) => Ok(outcomes),
            Err(error) if is_out_of_space(&error) => {
                self.roll_back(undos)?;
                // A duplicate may be one of an operation in this batch, which is now rolled back, so duplicates are
                // rejected as well.
                let already_rejected =
                    |outcome: &CommitOutcome| matches!(outcome, CommitOutcome::Rejected(_));
                let reject = |outcome| {
                    if already_rejected(&outcome) {
                        outcome
                    } else {
                        CommitOutcome::Rejected(RejectReason::DiskFull)
                    }
                };
                Ok(outcomes.into_iter().map(reject).collect())
            }
            Err(error) => {
                Err(FatalError(format!("{}: cannot write the log: {error}", self.storage.location())))
            }
        }
    }

    /// Undoes the changes of a group that the full disk could not take, and truncates what was written of it.
    fn roll_back(&mut self, undos: Vec<Undo>) -> Result<(), FatalError> {
        undos.into_iter().rev().for_each(|undo| self.machine.undo(undo));
        if let Some((name, len)) = &self.open_segment {
            self.storage.truncate(name, *len).map_err(|e| {
                FatalError(format!("{}/{name}: cannot truncate to {len} bytes: {e}", self.storage.location()))
            })?;
        }
        Ok(())
    }

    /// Appends the records as one group, syncs it, and writes the new watermark.
    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        let first_index = records.first().map_or(0, |r| r.index);
        if self.open_segment.as_ref().is_none_or(|(_, len)| *len >= self.config.max_segment_bytes) {
            self.begin_segment(first_index)?;
        }
        let Some((name, len)) = &mut self.open_segment else { return Err(io::ErrorKind::NotFound.into()) };
        let mut bytes = vec![];
        encode_group(records, &mut bytes);
        self.storage.write_at(name, *len, &bytes)?;
        // A failed sync is not retried: the kernel may have dropped the dirty pages, and the next sync would then
        // succeed although the data is lost.
        self.storage.sync(name).map_err(|e| io::Error::other(format!("sync of {name} failed: {e}")))?;
        *len += bytes.len() as u64;
        self.bytes_written += bytes.len() as u64;
        self.watermark_writes += 1;
        let slot = watermark::encode_slot(self.machine.index());
        // A failed write of the watermark is ignored: recovery then finds an older watermark, which is still true.
        self.watermark_synced = self
            .storage
            .write_at(watermark::FILE_NAME, watermark::slot_offset(self.watermark_writes), &slot)
            .is_err();
        Ok(())
    }

    fn begin_segment(&mut self, first_index: u64) -> io::Result<()> {
        let name = segment_name(first_index);
        let created = self.storage.create(&name).and_then(|()| {
            self.storage.write_at(&name, 0, &encode_segment_header(first_index))?;
            self.storage.sync(&name).map_err(|e| io::Error::other(format!("sync of {name} failed: {e}")))?;
            // The directory entry must be durable before any record in the segment is acknowledged.
            self.storage
                .sync_folder()
                .map_err(|e| io::Error::other(format!("sync of the folder failed: {e}")))
        });
        if let Err(error) = created {
            let _ = self.storage.remove(&name);
            return Err(error);
        }
        self.segments.push(first_index);
        self.open_segment = Some((name, SEGMENT_HEADER_BYTES as u64));
        Ok(())
    }

    /// Syncs the watermark file if it was written since the last sync. Meant for idle moments.
    ///
    /// # Errors
    /// The sync failed; the service must stop.
    pub fn sync_watermark(&mut self) -> Result<(), FatalError> {
        if self.watermark_synced {
            return Ok(());
        }
        self.watermark_synced = true;
        self.storage.sync(watermark::FILE_NAME).map_err(|e| {
            FatalError(format!("sync of {}/{} failed: {e}", self.storage.location(), watermark::FILE_NAME))
        })
    }

    /// Encodes the present state, to be written by [`write_snapshot`], also from another thread.
    pub fn begin_snapshot(&self) -> Snapshot {
        Snapshot { index: self.machine.index(), bytes: self.machine.snapshot() }
    }

    /// To be called once the snapshot of `index` is written and verified. Keeps the two newest snapshots, and removes
    /// the older ones and, unless [`Config::keep_old_segments`] is set, the segments that the older of the two covers.
    /// So, if the newest snapshot is found damaged, the other one and the log after it are still there.
    ///
    /// # Errors
    /// A file cannot be removed. This does no harm but for the space that the file takes.
    pub fn prune(&mut self, index: u64) -> io::Result<()> {
        if self.snapshots.last() != Some(&index) {
            self.snapshots.push(index);
        }
        let Some(older) = self.snapshots.len().checked_sub(2).map(|k| self.snapshots[k]) else {
            return Ok(());
        };
        while self.snapshots.len() > 2 {
            self.storage.remove(&snapshot_name(self.snapshots.remove(0)))?;
        }
        while !self.config.keep_old_segments && self.segments.len() > 1 && self.segments[1] <= older + 1 {
            self.storage.remove(&segment_name(self.segments.remove(0)))?;
        }
        Ok(())
    }

    /// Takes a snapshot and prunes, blocking until both are done. Does nothing if there are no records since the last
    /// snapshot.
    ///
    /// # Errors
    /// The snapshot could not be written, and nothing is changed; or a file could not be removed.
    pub fn snapshot(&mut self) -> io::Result<()> {
        let snapshot = self.begin_snapshot();
        if snapshot.index == 0 || self.snapshots.last() == Some(&snapshot.index) {
            return Ok(());
        }
        write_snapshot(&mut self.storage, &snapshot)?;
        self.prune(snapshot.index)
    }
}

/// Writes a snapshot under a temporary name, syncs it, reads it back to compare, and only then renames it.
///
/// # Errors
/// The snapshot could not be written, or its contents differ when read back. The temporary file is removed.
pub fn write_snapshot(storage: &mut impl Storage, snapshot: &Snapshot) -> io::Result<()> {
    let (name, temporary_name) =
        (snapshot_name(snapshot.index), format!("{}.part", snapshot_name(snapshot.index)));
    let write_and_rename = |storage: &mut dyn Storage| {
        let _ = storage.remove(&temporary_name);
        storage.create(&temporary_name)?;
        storage.write_at(&temporary_name, 0, &snapshot.bytes)?;
        storage.sync(&temporary_name)?;
        if frostgauge_storage::read(storage, &temporary_name)? != snapshot.bytes {
            return Err(io::Error::other(format!(
                "{temporary_name}: contents read back differ from what was written"
            )));
        }
        storage.rename(&temporary_name, &name)?;
        storage.sync_folder()
    };
    let result = write_and_rename(storage);
    if result.is_err() {
        let _ = storage.remove(&temporary_name);
    }
    result
}
