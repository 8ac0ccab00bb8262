//! The way back from what a crash left.

use super::format::{
    decode_group, decode_segment_header, find_later_group, InvalidGroup, SEGMENT_HEADER_BYTES,
};
use super::{number, segment_name, snapshot_name, watermark, Config, WriteAheadLog};
use frostgauge_counter_core::{Record, StateMachine};
use frostgauge_storage::{read, Storage};
use std::fmt;
use std::io;

/// What was found on the way, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Index of the snapshot begun with; 0: none.
    pub snapshot_index: u64,
    /// Records applied after it.
    pub replayed_records: u64,
    /// A tail that never became durable was cut off: file, place, bytes.
    pub torn_tail: Option<(String, usize, usize)>,
    /// Snapshots that are damaged and were put aside.
    pub damaged_snapshots: Vec<String>,
}

/// The files are not used: going on could lose or double what was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryError {
    /// Which file.
    pub file: String,
    /// Where in it, bytes.
    pub offset: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}: {}. ", self.file, self.offset, self.reason)?;
        f.write_str(
            "Nothing was changed: put the file back from a copy, or see docs/counter.md, 'Damaged log'",
        )
    }
}

impl From<(String, io::Error)> for RecoveryError {
    fn from((file, error): (String, io::Error)) -> RecoveryError {
        RecoveryError { file, offset: 0, reason: error.to_string() }
    }
}

/// A folder's files as they were read: nothing is changed by reading.
pub(super) struct Reading {
    pub machine: StateMachine,
    pub found: RecoveryReport,
    /// Segments from the snapshot on: first index, bytes that are good.
    pub segments: Vec<(u64, Vec<u8>)>,
    pub snapshots: Vec<u64>,
    /// Files that are of no more use.
    pub stale: Vec<String>,
    /// Files of the log behind the snapshots.
    pub behind: Vec<String>,
}

fn whole(storage: &impl Storage, name: &str) -> Result<Vec<u8>, RecoveryError> {
    read(storage, name).map_err(|e| (name.to_owned(), e).into())
}

/// Walks the groups of a segment; where it ends and what was wrong there, if anything was.
pub(super) fn walk(
    bytes: &[u8],
    mut each: impl FnMut(usize, &Record) -> Result<(), String>,
) -> Result<(usize, Option<InvalidGroup>), (usize, String)> {
    let mut at = SEGMENT_HEADER_BYTES;
    while at < bytes.len() {
        match decode_group(bytes, at) {
            Ok((records, next)) => {
                for record in &records {
                    each(at, record).map_err(|what| (at, what))?;
                }
                at = next;
            }
            Err(bad) => return Ok((at, Some(bad))),
        }
    }
    Ok((at, None))
}

/// Reads all that is there; changes nothing.
pub(super) fn examine(storage: &impl Storage) -> Result<Reading, RecoveryError> {
    let names = storage.list().map_err(|e| (storage.location(), e))?;
    let claimed = if names.iter().any(|n| n == watermark::NAME) {
        let bytes = whole(storage, watermark::NAME)?;
        // A file cut short is one whose making never became durable.
        let fresh = bytes.len() < watermark::LEN;
        let what = "is not of this format, or both of its slots are damaged".to_owned();
        let refuse = RecoveryError { file: watermark::NAME.into(), offset: 0, reason: what };
        watermark::read(&bytes).or(fresh.then_some(0)).ok_or(refuse)?
    } else {
        0
    };
    let mut found = RecoveryReport::default();
    let mut stale: Vec<String> = names.iter().filter(|n| n.ends_with(".part")).cloned().collect();
    let (mut machine, mut behind) = (StateMachine::default(), vec![]);
    let mut snapshots: Vec<u64> = names.iter().filter_map(|n| number(n, "snapshot-", ".fgs")).collect();
    snapshots.sort_unstable();
    for index in snapshots.clone().into_iter().rev() {
        let name = snapshot_name(index);
        match StateMachine::restore(&whole(storage, &name)?) {
            Ok(state) if state.index() == index => {
                machine = state;
                found.snapshot_index = index;
                break;
            }
            _ => {
                found.damaged_snapshots.push(name);
                snapshots.retain(|s| *s != index);
            }
        }
    }
    let mut firsts: Vec<u64> = names.iter().filter_map(|n| number(n, "log-", ".fgl")).collect();
    firsts.sort_unstable();
    // The two newest snapshots count; a crash may have left older ones, and files of the log behind them.
    stale.extend(snapshots.drain(..snapshots.len().saturating_sub(2)).map(snapshot_name));
    let base = if snapshots.len() == 2 { snapshots[0] } else { 0 };
    let from = |index: u64| firsts.iter().rposition(|first| *first <= index + 1);
    if let Some(start) = from(base).or(from(machine.index())) {
        behind.extend(firsts.drain(..start).map(segment_name));
    } else if let Some(first) = firsts.first() {
        let missing = format!("records from {} are missing before it", machine.index() + 1);
        let what = match found.damaged_snapshots.first() {
            Some(name) => format!("{missing}, and {name} is damaged"),
            None => missing,
        };
        return Err(RecoveryError { file: segment_name(*first), offset: 0, reason: what });
    }
    let mut end_of_log = 0;
    let mut segments = vec![];
    for (k, first) in firsts.iter().enumerate() {
        let (name, last) = (segment_name(*first), k + 1 == firsts.len());
        let bytes = whole(storage, &name)?;
        let refuse = |at: usize, what: String| RecoveryError { file: name.clone(), offset: at, reason: what };
        let good = match decode_segment_header(&bytes) {
            Ok(told) if told == *first => true,
            Err(true) => return Err(refuse(0, "is of another format or version".into())),
            _ if last && find_later_group(&bytes, 0, 0).is_none() => false,
            _ => return Err(refuse(0, "its head is damaged".into())),
        };
        if !good {
            // Made, and not yet durable: nothing in it was told to anyone, unless the claim says otherwise.
            found.torn_tail = Some((name.clone(), 0, bytes.len()));
            stale.push(name);
            continue;
        }
        let mut next = *first;
        let walked = walk(&bytes, |_, record| {
            if record.index != next {
                return Err(format!("record {} stands where {next} is due", record.index));
            }
            next += 1;
            if record.index <= machine.index() {
                return Ok(());
            }
            found.replayed_records += 1;
            machine.apply(record).map_err(|error| error.to_string())
        });
        let (end, bad) = walked.map_err(|(at, what)| refuse(at, what))?;
        if let Some(bad) = bad {
            // Later groups are written once the earlier are durable: with one after it, this was.
            if !last || find_later_group(&bytes, end + 1, next - 1).is_some() {
                return Err(refuse(bad.offset, bad.reason.to_owned()));
            }
            if claimed >= next {
                let what =
                    format!("{}; records to {claimed} were durable, {next} is the first lost", bad.reason);
                return Err(refuse(bad.offset, what));
            }
            found.torn_tail = Some((name.clone(), end, bytes.len() - end));
        }
        if !last && firsts[k + 1] != next {
            let what =
                format!("it ends before record {next}, and the next file begins with {}", firsts[k + 1]);
            return Err(refuse(end, what));
        }
        end_of_log = next - 1;
        segments.push((*first, bytes[..end].to_vec()));
    }
    if claimed > machine.index() {
        let file = firsts.last().map_or_else(|| storage.location(), |first| segment_name(*first));
        let at = segments.last().map_or(0, |(_, bytes)| bytes.len());
        let what = format!("records to {claimed} were durable, but the last one here is {}", machine.index());
        return Err(RecoveryError { file, offset: at, reason: what });
    }
    if end_of_log < machine.index() {
        // A snapshot newer than the log: all of that is in it, and the next record leaves a gap behind.
        stale.extend(segments.drain(..).map(|(first, _)| segment_name(first)));
    }
    Ok(Reading { machine, found, segments, snapshots, stale, behind })
}

impl<S: Storage> WriteAheadLog<S> {
    /// Opens a folder: restores the newest good snapshot, applies the log after it.
    ///
    /// # Errors
    /// What is wrong, with file and place; nothing was changed then.
    pub fn open(mut storage: S, config: Config) -> Result<(WriteAheadLog<S>, RecoveryReport), RecoveryError> {
        let reading = examine(&storage)?;
        let Reading { machine, found, segments, snapshots, mut stale, behind } = reading;
        if !config.keep_old_segments {
            stale.extend(behind);
        }
        let fail = |file: &str, e: io::Error| RecoveryError::from((file.to_owned(), e));
        for name in &found.damaged_snapshots {
            storage.rename(name, &format!("{name}.damaged")).map_err(|e| fail(name, e))?;
        }
        for name in stale {
            storage.remove(&name).map_err(|e| fail(&name, e))?;
        }
        let mut firsts = vec![];
        for (k, (first, bytes)) in segments.iter().enumerate() {
            let name = segment_name(*first);
            if k + 1 < segments.len() {
                firsts.push(*first);
            } else if bytes.len() == SEGMENT_HEADER_BYTES {
                // Empty: the next record makes it anew.
                storage.remove(&name).map_err(|e| fail(&name, e))?;
            } else {
                // Written anew, also where nothing is cut off: guards against a process that died of a failed
                // sync. The system may show its last records although they are on no disk.
                let part = format!("{name}.part");
                let anew = |storage: &mut S| {
                    storage.create(&part)?;
                    storage.write_at(&part, 0, bytes)?;
                    storage.sync(&part)?;
                    storage.rename(&part, &name)
                };
                anew(&mut storage).map_err(|e| fail(&name, e))?;
                firsts.push(*first);
            }
        }
        let part = format!("{}.part", watermark::NAME);
        let claim = |storage: &mut S| {
            storage.create(&part)?;
            let mut bytes = watermark::empty();
            bytes.splice(
                watermark::place(0) as usize..,
                watermark::slot(machine.index()).into_iter().chain(watermark::slot(0)),
            );
            storage.write_at(&part, 0, &bytes)?;
            storage.sync(&part)?;
            storage.rename(&part, watermark::NAME)?;
            storage.sync_folder()
        };
        claim(&mut storage).map_err(|e| fail(watermark::NAME, e))?;
        let wal = WriteAheadLog {
            machine,
            storage,
            config,
            segment: None,
            segments: firsts,
            snapshots,
            turn: 0,
            watermark_synced: true,
            written: 0,
        };
        Ok((wal, found))
    }
}
