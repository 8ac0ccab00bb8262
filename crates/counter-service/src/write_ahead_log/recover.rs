//! Recovery: reads the files that a stop or a crash left, decides what to keep, and opens the log.

use super::format::{
    decode_group, decode_segment_header, find_later_group, InvalidGroup, SEGMENT_HEADER_BYTES,
};
use super::{index_in_name, segment_name, snapshot_name, watermark, Config, WriteAheadLog};
use frostgauge_counter_core::{Record, StateMachine};
use frostgauge_storage::{read, Storage};
use std::fmt;
use std::io;

/// What recovery found and did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Index of the snapshot that was restored; 0 if there was none.
    pub snapshot_index: u64,
    /// Number of log records applied after the snapshot.
    pub replayed_records: u64,
    /// The end of the newest segment, if it never became durable and is cut off: file name, offset and length in bytes.
    pub torn_tail: Option<(String, usize, usize)>,
    /// Names of damaged snapshots. Opening the log adds `.damaged` to the file names.
    pub damaged_snapshots: Vec<String>,
}

/// Why the files cannot be used: serving from them could lose or double-count acknowledged adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryError {
    /// Name of the file, or the folder if no single file is at fault.
    pub file: String,
    /// Offset in the file, bytes.
    pub offset: usize,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}: {}. ", self.file, self.offset, self.reason)?;
        f.write_str(
            "No file was changed: restore the file from a backup, or see docs/counter.md, 'Damaged log'",
        )
    }
}

impl From<(String, io::Error)> for RecoveryError {
    fn from((file, error): (String, io::Error)) -> RecoveryError {
        RecoveryError { file, offset: 0, reason: error.to_string() }
    }
}

/// Contents of a data folder, and what recovery would do with its files.
pub(super) struct FolderContents {
    /// The state after the newest intact snapshot and the log after it.
    pub machine: StateMachine,
    pub report: RecoveryReport,
    /// Segments to keep: index of the first record, and the contents up to the end of the last intact group.
    pub segments: Vec<(u64, Vec<u8>)>,
    /// Indexes of the snapshots to keep, in ascending order.
    pub snapshots: Vec<u64>,
    /// Files to remove in any case.
    pub stale: Vec<String>,
    /// Segments that no recovery needs; removed unless [`Config::keep_old_segments`] is set.
    pub old_segments: Vec<String>,
}

fn read_file(storage: &impl Storage, name: &str) -> Result<Vec<u8>, RecoveryError> {
    read(storage, name).map_err(|e| (name.to_owned(), e).into())
}

/// Calls `visit` for each record of a segment, in order, with the offset of its group and the record. Returns the
/// offset after the last intact group, and the fault of the group there unless the segment ends there.
///
/// # Errors
/// The error of `visit`, with the offset of the group.
pub(super) fn for_each_record(
    bytes: &[u8],
    mut visit: impl FnMut(usize, &Record) -> Result<(), String>,
) -> Result<(usize, Option<InvalidGroup>), (usize, String)> {
    let mut offset = SEGMENT_HEADER_BYTES;
    while offset < bytes.len() {
        match decode_group(bytes, offset) {
            Ok((records, next_group)) => {
                for record in &records {
                    visit(offset, record).map_err(|reason| (offset, reason))?;
                }
                offset = next_group;
            }
            Err(invalid) => return Ok((offset, Some(invalid))),
        }
    }
    Ok((offset, None))
}

/// Reads the files of a data folder and replays the log in memory. Changes no file.
pub(super) fn read_folder(storage: &impl Storage) -> Result<FolderContents, RecoveryError> {
    let names = storage.list().map_err(|e| (storage.location(), e))?;
    let watermark = if names.iter().any(|n| n == watermark::FILE_NAME) {
        let bytes = read_file(storage, watermark::FILE_NAME)?;
        // If the file is too short, its creation never became durable: it states nothing.
        let incomplete = bytes.len() < watermark::FILE_BYTES;
        let reason = "is not of this format, or both of its slots are damaged".to_owned();
        let error = RecoveryError { file: watermark::FILE_NAME.into(), offset: 0, reason };
        watermark::decode_file(&bytes).or(incomplete.then_some(0)).ok_or(error)?
    } else {
        0
    };
    let mut report = RecoveryReport::default();
    let mut stale: Vec<String> = names.iter().filter(|n| n.ends_with(".part")).cloned().collect();
    let (mut machine, mut old_segments) = (StateMachine::default(), vec![]);
    let mut snapshots: Vec<u64> =
        names.iter().filter_map(|n| index_in_name(n, "snapshot-", ".fgs")).collect();
    snapshots.sort_unstable();
    for index in snapshots.clone().into_iter().rev() {
        let name = snapshot_name(index);
        match StateMachine::restore(&read_file(storage, &name)?) {
            Ok(state) if state.index() == index => {
                machine = state;
                report.snapshot_index = index;
                break;
            }
            _ => {
                report.damaged_snapshots.push(name);
                snapshots.retain(|s| *s != index);
            }
        }
    }
    let mut first_indexes: Vec<u64> = names.iter().filter_map(|n| index_in_name(n, "log-", ".fgl")).collect();
    first_indexes.sort_unstable();
    // The two newest snapshots are kept. A crash during pruning may have left older ones, and old segments.
    stale.extend(snapshots.drain(..snapshots.len().saturating_sub(2)).map(snapshot_name));
    let older_snapshot = if snapshots.len() == 2 { snapshots[0] } else { 0 };
    let segment_after = |index: u64| first_indexes.iter().rposition(|first| *first <= index + 1);
    if let Some(start) = segment_after(older_snapshot).or(segment_after(machine.index())) {
        old_segments.extend(first_indexes.drain(..start).map(segment_name));
    } else if let Some(first_index) = first_indexes.first() {
        let missing = format!("records from {} on are missing before it", machine.index() + 1);
        let reason = match report.damaged_snapshots.first() {
            Some(name) => format!("{missing}, and {name} is damaged"),
            None => missing,
        };
        return Err(RecoveryError { file: segment_name(*first_index), offset: 0, reason });
    }
    let mut last_logged = 0;
    let mut segments = vec![];
    for (k, first_index) in first_indexes.iter().enumerate() {
        let (name, newest) = (segment_name(*first_index), k + 1 == first_indexes.len());
        let bytes = read_file(storage, &name)?;
        let error = |offset: usize, reason: String| RecoveryError { file: name.clone(), offset, reason };
        let header_intact = match decode_segment_header(&bytes) {
            Ok(stated_index) if stated_index == *first_index => true,
            Err(true) => return Err(error(0, "is of another format or version".into())),
            _ if newest && find_later_group(&bytes, 0, 0).is_none() => false,
            _ => {
                let reason = "segment header is damaged, or states another first index than the file name";
                return Err(error(0, reason.into()));
            }
        };
        if !header_intact {
            // The segment was created and never became durable, so no record in it was acknowledged. If the watermark
            // contradicts this, the check after the loop fails.
            report.torn_tail = Some((name.clone(), 0, bytes.len()));
            stale.push(name);
            continue;
        }
        let mut next_index = *first_index;
        let replayed = for_each_record(&bytes, |_, record| {
            if record.index != next_index {
                return Err(format!("found record {}, expected record {next_index}", record.index));
            }
            next_index += 1;
            if record.index <= machine.index() {
                return Ok(());
            }
            report.replayed_records += 1;
            machine.apply(record).map_err(|error| error.to_string())
        });
        let (end, invalid) = replayed.map_err(|(offset, reason)| error(offset, reason))?;
        if let Some(invalid) = invalid {
            // A group is written only after the previous one is durable, so if another group follows, this one was
            // durable and is damaged.
            if !newest || find_later_group(&bytes, end + 1, next_index - 1).is_some() {
                return Err(error(invalid.offset, invalid.reason.to_owned()));
            }
            if watermark >= next_index {
                let reason = format!(
                    "{}; records up to {watermark} were durable, but those from {next_index} on are lost",
                    invalid.reason
                );
                return Err(error(invalid.offset, reason));
            }
            report.torn_tail = Some((name.clone(), end, bytes.len() - end));
        }
        if !newest && first_indexes[k + 1] != next_index {
            let reason = format!(
                "segment ends before record {next_index}, but the next segment starts with record {}",
                first_indexes[k + 1]
            );
            return Err(error(end, reason));
        }
        last_logged = next_index - 1;
        segments.push((*first_index, bytes[..end].to_vec()));
    }
    if watermark > machine.index() {
        let file = first_indexes.last().map_or_else(|| storage.location(), |first| segment_name(*first));
        let offset = segments.last().map_or(0, |(_, bytes)| bytes.len());
        let reason = format!(
            "records up to {watermark} were durable, but the last record found is {}",
            machine.index()
        );
        return Err(RecoveryError { file, offset, reason });
    }
    if last_logged < machine.index() {
        // The snapshot is newer than the log and covers all of it. The segments are removed, as the next record would
        // leave a gap in the log.
        stale.extend(segments.drain(..).map(|(first_index, _)| segment_name(first_index)));
    }
    Ok(FolderContents { machine, report, segments, snapshots, stale, old_segments })
}

impl<S: Storage> WriteAheadLog<S> {
    /// Opens a data folder: restores the newest intact snapshot, replays the log after it, cuts off a torn tail, and
    /// removes files that are no longer needed.
    ///
    /// # Errors
    /// The files are damaged, and none was changed; or a file could not be read, written, renamed or removed.
    pub fn open(mut storage: S, config: Config) -> Result<(WriteAheadLog<S>, RecoveryReport), RecoveryError> {
        let contents = read_folder(&storage)?;
        let FolderContents { machine, report, segments, snapshots, mut stale, old_segments } = contents;
        if !config.keep_old_segments {
            stale.extend(old_segments);
        }
        let file_error = |file: &str, e: io::Error| RecoveryError::from((file.to_owned(), e));
        for name in &report.damaged_snapshots {
            storage.rename(name, &format!("{name}.damaged")).map_err(|e| file_error(name, e))?;
        }
        for name in stale {
            storage.remove(&name).map_err(|e| file_error(&name, e))?;
        }
        let mut first_indexes = vec![];
        for (k, (first_index, bytes)) in segments.iter().enumerate() {
            let name = segment_name(*first_index);
            if k + 1 < segments.len() {
                first_indexes.push(*first_index);
            } else if bytes.len() == SEGMENT_HEADER_BYTES {
                // The newest segment has no records. The next commit creates it again.
                storage.remove(&name).map_err(|e| file_error(&name, e))?;
            } else {
                // The newest segment is rewritten even if nothing is cut off: if the process died of a failed sync, the
                // page cache may still show records that are not on disk.
                let temporary_name = format!("{name}.part");
                let rewrite = |storage: &mut S| {
                    storage.create(&temporary_name)?;
                    storage.write_at(&temporary_name, 0, bytes)?;
                    storage.sync(&temporary_name)?;
                    storage.rename(&temporary_name, &name)
                };
                rewrite(&mut storage).map_err(|e| file_error(&name, e))?;
                first_indexes.push(*first_index);
            }
        }
        let temporary_name = format!("{}.part", watermark::FILE_NAME);
        let rewrite_watermark = |storage: &mut S| {
            storage.create(&temporary_name)?;
            let mut bytes = watermark::empty_file();
            bytes.splice(
                watermark::slot_offset(0) as usize..,
                watermark::encode_slot(machine.index()).into_iter().chain(watermark::encode_slot(0)),
            );
            storage.write_at(&temporary_name, 0, &bytes)?;
            storage.sync(&temporary_name)?;
            storage.rename(&temporary_name, watermark::FILE_NAME)?;
            storage.sync_folder()
        };
        rewrite_watermark(&mut storage).map_err(|e| file_error(watermark::FILE_NAME, e))?;
        let wal = WriteAheadLog {
            machine,
            storage,
            config,
            open_segment: None,
            segments: first_indexes,
            snapshots,
            watermark_writes: 0,
            watermark_synced: true,
            bytes_written: 0,
        };
        Ok((wal, report))
    }
}
