//! State on disk: a log of groups, snapshots, and how far the log is durable.
//!
//! [`WriteAheadLog::commit`] executes ops, writes what is new as one group, syncs it, and only then gives the outcomes
//! back. [`WriteAheadLog::open`] is the way back from whatever a crash left: right, or refused with file, place and
//! what to do.

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

/// Bounds of the files.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// A segment over this is closed, bytes.
    pub max_segment_bytes: u64,
    /// Names kept at most.
    pub max_counters: usize,
    /// Segments behind snapshots are kept.
    pub keep_old_segments: bool,
}

/// Why the service must stop: what it goes by can no longer be trusted.
#[derive(Debug)]
pub struct FatalError(pub String);

/// What a commit gave for an op.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Counted now, or an epoch given now; durable.
    Applied(i64),
    /// Counted before; durable.
    Duplicate(i64),
    /// Nothing was changed.
    Rejected(RejectReason),
}

/// Name of the segment that begins with an index.
pub(crate) fn segment_name(first: u64) -> String {
    format!("log-{first:020}.fgl")
}

/// Name of the snapshot of an index.
pub(crate) fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:020}.fgs")
}

/// The number in a name.
pub(crate) fn number(name: &str, before: &str, after: &str) -> Option<u64> {
    let digits = name.strip_prefix(before)?.strip_suffix(after)?;
    (digits.len() == 20).then(|| digits.parse().ok())?
}

/// State on disk.
pub struct WriteAheadLog<S> {
    machine: StateMachine,
    storage: S,
    config: Config,
    /// The open segment and its length.
    segment: Option<(String, u64)>,
    /// First indexes of the segments before it, and of it.
    segments: Vec<u64>,
    /// Indexes of the snapshots kept, in order.
    snapshots: Vec<u64>,
    turn: u64,
    watermark_synced: bool,
    written: u64,
}

/// A snapshot not yet written.
#[derive(Debug)]
pub struct Snapshot {
    /// Its index.
    pub index: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

impl<S: Storage> WriteAheadLog<S> {
    /// The state.
    pub fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// The files.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// The files, to write beside the log.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Gives the files back.
    pub fn into_storage(self) -> S {
        self.storage
    }

    /// Bytes written to the log since it was opened.
    pub fn bytes_written(&self) -> u64 {
        self.written
    }

    /// Executes ops at a time (milliseconds since 1970), and returns when all that is new is durable.
    ///
    /// # Errors
    /// The service must stop: nothing of this batch may be told to anyone.
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
                self.take_back(undos)?;
                // A repeat of one that is in this very batch falls with it.
                let known = |g: &CommitOutcome| matches!(g, CommitOutcome::Rejected(_));
                Ok(outcomes
                    .into_iter()
                    .map(|g| if known(&g) { g } else { CommitOutcome::Rejected(RejectReason::DiskFull) })
                    .collect())
            }
            Err(error) => Err(FatalError(format!("{}: {error}", self.storage.location()))),
        }
    }

    /// No room: what was written is cut off again, and the state is as before.
    fn take_back(&mut self, undos: Vec<Undo>) -> Result<(), FatalError> {
        undos.into_iter().rev().for_each(|undo| self.machine.undo(undo));
        if let Some((name, len)) = &self.segment {
            self.storage.truncate(name, *len).map_err(|e| {
                FatalError(format!("{}/{name}: cannot be cut back: {e}", self.storage.location()))
            })?;
        }
        Ok(())
    }

    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        let first = records.first().map_or(0, |r| r.index);
        if self.segment.as_ref().is_none_or(|(_, len)| *len >= self.config.max_segment_bytes) {
            self.begin_segment(first)?;
        }
        let Some((name, len)) = &mut self.segment else { return Err(io::ErrorKind::NotFound.into()) };
        let mut bytes = vec![];
        encode_group(records, &mut bytes);
        self.storage.write_at(name, *len, &bytes)?;
        // A failed sync is the end: the system may have dropped the pages and call the next sync good.
        self.storage.sync(name).map_err(|e| io::Error::other(format!("sync of {name} failed: {e}")))?;
        *len += bytes.len() as u64;
        self.written += bytes.len() as u64;
        self.turn += 1;
        let slot = watermark::slot(self.machine.index());
        // Only a claim of what is durable: without it recovery knows less, not wrong.
        self.watermark_synced =
            self.storage.write_at(watermark::NAME, watermark::place(self.turn), &slot).is_err();
        Ok(())
    }

    fn begin_segment(&mut self, first: u64) -> io::Result<()> {
        let name = segment_name(first);
        let made = self.storage.create(&name).and_then(|()| {
            self.storage.write_at(&name, 0, &encode_segment_header(first))?;
            self.storage.sync(&name).map_err(|e| io::Error::other(format!("sync of {name} failed: {e}")))?;
            // Its name must be durable before anything in it is told.
            self.storage
                .sync_folder()
                .map_err(|e| io::Error::other(format!("sync of the folder failed: {e}")))
        });
        if let Err(error) = made {
            let _ = self.storage.remove(&name);
            return Err(error);
        }
        self.segments.push(first);
        self.segment = Some((name, SEGMENT_HEADER_BYTES as u64));
        Ok(())
    }

    /// Makes the claim of what is durable itself durable: for moments with nothing else to do.
    ///
    /// # Errors
    /// The service must stop.
    pub fn sync_watermark(&mut self) -> Result<(), FatalError> {
        if self.watermark_synced {
            return Ok(());
        }
        self.watermark_synced = true;
        self.storage
            .sync(watermark::NAME)
            .map_err(|e| FatalError(format!("{}/{}: {e}", self.storage.location(), watermark::NAME)))
    }

    /// The present state, to be written by [`write_snapshot`], here or in another thread.
    pub fn begin_snapshot(&self) -> Snapshot {
        Snapshot { index: self.machine.index(), bytes: self.machine.snapshot() }
    }

    /// A snapshot was written and verified: what lies behind the one before it is removed. One snapshot and
    /// the log from there are always left, should the newest be found damaged.
    ///
    /// # Errors
    /// A file that cannot be removed; it does no harm.
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

    /// Takes a snapshot and cuts the log, here and now.
    ///
    /// # Errors
    /// It could not be written; nothing is changed.
    pub fn snapshot(&mut self) -> io::Result<()> {
        let snapshot = self.begin_snapshot();
        if snapshot.index == 0 || self.snapshots.last() == Some(&snapshot.index) {
            return Ok(());
        }
        write_snapshot(&mut self.storage, &snapshot)?;
        self.prune(snapshot.index)
    }
}

/// Writes a snapshot aside, makes it durable, reads it back, and only then gives it its name.
///
/// # Errors
/// It could not be written, or reads back as something else; the one aside is removed.
pub fn write_snapshot(storage: &mut impl Storage, snapshot: &Snapshot) -> io::Result<()> {
    let (name, part) = (snapshot_name(snapshot.index), format!("{}.part", snapshot_name(snapshot.index)));
    let work = |storage: &mut dyn Storage| {
        let _ = storage.remove(&part);
        storage.create(&part)?;
        storage.write_at(&part, 0, &snapshot.bytes)?;
        storage.sync(&part)?;
        if frostgauge_storage::read(storage, &part)? != snapshot.bytes {
            return Err(io::Error::other(format!("{part} reads back as something else")));
        }
        storage.rename(&part, &name)?;
        storage.sync_folder()
    };
    let completed = work(storage);
    if completed.is_err() {
        let _ = storage.remove(&part);
    }
    completed
}
