//! Offline tools for the files in a data folder: verify, dump, replay, snapshot. Verifying also works on the folder of
//! a running service.

use super::format::{decode_segment_header, SEGMENT_HEADER_BYTES};
use super::recover::{for_each_record, read_folder, RecoveryError, RecoveryReport};
use super::{index_in_name, segment_name, snapshot_name, watermark, Config, WriteAheadLog};
use frostgauge_counter_core::{units, Operation, Record, StateMachine};
use frostgauge_storage::{read, Disk, Storage};
use serde_json::{json, Value};
use std::path::Path;

/// Result of [`verify`].
#[derive(Clone, Debug)]
pub struct VerifyReport {
    /// Name, length in bytes and number of log records of each snapshot and segment. Snapshots have 0 records.
    pub files: Vec<(String, usize, u64)>,
    /// Descriptions of the faults found; each starts with the name of the file. Empty if there are none.
    pub faults: Vec<String>,
    /// What opening the folder would report.
    pub recovery: Result<RecoveryReport, RecoveryError>,
    /// Index of the last record after recovery; 0 if recovery would fail.
    pub recovered_index: u64,
}

/// Reads and checks every file in full, including those that recovery does not need. In the folder of a running
/// service the last group may be in the middle of a write, and is then reported as a torn tail although nothing is
/// wrong.
///
/// # Errors
/// The folder, or a file in it, cannot be read.
pub fn verify(folder: &Path) -> Result<VerifyReport, String> {
    let disk = Disk::open_read_only(folder);
    let names = disk.list().map_err(|e| format!("{}: {e}", folder.display()))?;
    let (mut files, mut faults) = (vec![], vec![]);
    for name in &names {
        let contents = || read(&disk, name).map_err(|e| format!("{name}: {e}"));
        if let Some(index) = index_in_name(name, "snapshot-", ".fgs") {
            let bytes = contents()?;
            match StateMachine::restore(&bytes) {
                Ok(state) if state.index() == index => {}
                Ok(state) => {
                    faults.push(format!("{name}: holds the state of index {}, not {index}", state.index()))
                }
                Err(error) => faults.push(format!("{name} {error}")),
            }
            files.push((name.clone(), bytes.len(), 0));
        } else if let Some(first_index) = index_in_name(name, "log-", ".fgl") {
            let bytes = contents()?;
            let mut records = 0;
            if decode_segment_header(&bytes) != Ok(first_index) {
                faults.push(format!(
                    "{name} at byte 0: segment header is damaged, of another format, or states another first index"
                ));
            } else {
                let result = for_each_record(&bytes, |_, record| {
                    let expected = first_index + records;
                    records += 1;
                    (record.index == expected)
                        .then_some(())
                        .ok_or(format!("found record {}, expected record {expected}", record.index))
                });
                match result {
                    Ok((_, Some(invalid))) => {
                        faults.push(format!("{name} at byte {}: {}", invalid.offset, invalid.reason))
                    }
                    Err((offset, reason)) => faults.push(format!("{name} at byte {offset}: {reason}")),
                    Ok((_, None)) => {}
                }
            }
            files.push((name.clone(), bytes.len(), records));
        } else if name == watermark::FILE_NAME && watermark::decode_file(&contents()?).is_none() {
            faults.push(format!("{name}: is not of this format, or both of its slots are damaged"));
        }
    }
    let (recovery, recovered_index) = match read_folder(&disk) {
        Ok(contents) => (Ok(contents.report), contents.machine.index()),
        Err(error) => (Err(error), 0),
    };
    Ok(VerifyReport { files, faults, recovery, recovered_index })
}

/// A log record as JSON, in the form that `dump` prints.
pub fn record_json(record: &Record) -> Value {
    match &record.operation {
        Operation::Open { gateway, incarnation } => json!({
            "index": record.index, "time_ms": record.time_ms, "op": "open", "gateway": gateway,
            "life": u128::from_be_bytes(*incarnation).to_string(), "epoch": record.result,
        }),
        Operation::Add { gateway, epoch, seq, amount, ttl_ms, name } => json!({
            "index": record.index, "time_ms": record.time_ms, "op": "add", "gateway": gateway, "epoch": epoch,
            "seq": seq, "amount": amount, "life_ms": ttl_ms, "name": String::from_utf8_lossy(name),
            "total": record.result,
        }),
    }
}

/// Calls `visit` with every record of the log, in order. A torn tail of the newest segment is left out.
///
/// # Errors
/// A file cannot be read, or the log is damaged before its tail. Records before the damage have been visited.
pub fn dump(folder: &Path, mut visit: impl FnMut(&Record)) -> Result<(), String> {
    let disk = Disk::open_read_only(folder);
    let names = disk.list().map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut first_indexes: Vec<u64> = names.iter().filter_map(|n| index_in_name(n, "log-", ".fgl")).collect();
    first_indexes.sort_unstable();
    for (k, first_index) in first_indexes.iter().enumerate() {
        let name = segment_name(*first_index);
        let bytes = read(&disk, &name).map_err(|e| format!("{name}: {e}"))?;
        if bytes.len() < SEGMENT_HEADER_BYTES && k + 1 == first_indexes.len() {
            return Ok(());
        }
        decode_segment_header(&bytes)
            .map_err(|_| format!("{name} at byte 0: segment header is damaged or of another format"))?;
        let result = for_each_record(&bytes, |_, record| {
            visit(record);
            Ok(())
        });
        match result {
            Ok((_, Some(invalid))) if k + 1 < first_indexes.len() => {
                return Err(format!("{name} at byte {}: {}", invalid.offset, invalid.reason));
            }
            Err((offset, reason)) => return Err(format!("{name} at byte {offset}: {reason}")),
            Ok(_) => {}
        }
    }
    Ok(())
}

/// The state that recovery of the folder results in. No file is changed.
///
/// # Errors
/// The [`RecoveryError`] that opening the folder would return, as text.
pub fn replay(folder: &Path) -> Result<StateMachine, String> {
    read_folder(&Disk::open_read_only(folder))
        .map(|contents| contents.machine)
        .map_err(|error| error.to_string())
}

/// A counter as JSON, in the form that `replay` prints.
pub fn counter_json(name: &[u8], counter: frostgauge_counter_core::Counter) -> Value {
    json!({
        "name": String::from_utf8_lossy(name), "total": counter.total, "units": units(counter.total),
        "expires_ms": counter.expires_ms,
    })
}

/// Takes a snapshot in the folder of a stopped service, and returns the snapshot's file name. Older snapshots but one
/// are removed; log segments are kept, also those that both snapshots cover.
///
/// # Errors
/// The folder is in use, recovery of its files fails, or the snapshot cannot be written.
pub fn snapshot(folder: &Path) -> Result<String, String> {
    let config = Config { max_segment_bytes: u64::MAX, max_counters: usize::MAX, keep_old_segments: true };
    let (mut wal, _) = WriteAheadLog::open(Disk::open_exclusive(folder).map_err(|e| e.to_string())?, config)
        .map_err(|error| error.to_string())?;
    wal.snapshot().map_err(|e| e.to_string())?;
    Ok(snapshot_name(wal.machine().index()))
}
