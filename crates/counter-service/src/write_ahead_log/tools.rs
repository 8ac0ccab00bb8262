//! Looking at the files of a service: stopped, or (to verify) running.

use super::format::{decode_segment_header, SEGMENT_HEADER_BYTES};
use super::recover::{examine, walk, RecoveryError, RecoveryReport};
use super::{number, segment_name, snapshot_name, watermark, Config, WriteAheadLog};
use frostgauge_counter_core::{units, Operation, Record, StateMachine};
use frostgauge_storage::{read, Disk, Storage};
use serde_json::{json, Value};
use std::path::Path;

/// What a look at the files found.
#[derive(Clone, Debug)]
pub struct VerifyReport {
    /// Files read, with bytes and records of each.
    pub files: Vec<(String, usize, u64)>,
    /// What is wrong; none: all is well.
    pub faults: Vec<String>,
    /// What recovery would make of it.
    pub recovery: Result<RecoveryReport, RecoveryError>,
    /// Last index that recovery would come to.
    pub recovered_index: u64,
}

/// Reads every file whole, also those that recovery would not need. Of a running service the tail may be in
/// the middle of a write: what is told as torn then is none.
///
/// # Errors
/// The folder cannot be read.
pub fn verify(folder: &Path) -> Result<VerifyReport, String> {
    let disk = Disk::open_read_only(folder);
    let names = disk.list().map_err(|e| format!("{}: {e}", folder.display()))?;
    let (mut files, mut faults) = (vec![], vec![]);
    for name in &names {
        let whole = || read(&disk, name).map_err(|e| format!("{name}: {e}"));
        if let Some(index) = number(name, "snapshot-", ".fgs") {
            let bytes = whole()?;
            match StateMachine::restore(&bytes) {
                Ok(state) if state.index() == index => {}
                Ok(state) => faults.push(format!("{name}: holds the state of index {}", state.index())),
                Err(damage) => faults.push(format!("{name} {damage}")),
            }
            files.push((name.clone(), bytes.len(), 0));
        } else if let Some(first) = number(name, "log-", ".fgl") {
            let bytes = whole()?;
            let mut records = 0;
            if decode_segment_header(&bytes) != Ok(first) {
                faults.push(format!("{name} at byte 0: its head is damaged or of another format"));
            } else {
                let walked = walk(&bytes, |_, record| {
                    let due = first + records;
                    records += 1;
                    (record.index == due)
                        .then_some(())
                        .ok_or(format!("record {} in place of {due}", record.index))
                });
                match walked {
                    Ok((_, Some(bad))) => {
                        faults.push(format!("{name} at byte {}: {}", bad.offset, bad.reason))
                    }
                    Err((at, what)) => faults.push(format!("{name} at byte {at}: {what}")),
                    Ok((_, None)) => {}
                }
            }
            files.push((name.clone(), bytes.len(), records));
        } else if name == watermark::NAME && watermark::read(&whole()?).is_none() {
            faults.push(format!("{name}: is damaged or of another format"));
        }
    }
    let (recovery, index) = match examine(&disk) {
        Ok(reading) => (Ok(reading.found), reading.machine.index()),
        Err(refused) => (Err(refused), 0),
    };
    Ok(VerifyReport { files, faults, recovery, recovered_index: index })
}

/// A record as JSON.
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

/// Every record of the log, in order.
///
/// # Errors
/// A file that cannot be read, or is damaged before its tail.
pub fn dump(folder: &Path, mut each: impl FnMut(&Record)) -> Result<(), String> {
    let disk = Disk::open_read_only(folder);
    let names = disk.list().map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut firsts: Vec<u64> = names.iter().filter_map(|n| number(n, "log-", ".fgl")).collect();
    firsts.sort_unstable();
    for (k, first) in firsts.iter().enumerate() {
        let name = segment_name(*first);
        let bytes = read(&disk, &name).map_err(|e| format!("{name}: {e}"))?;
        if bytes.len() < SEGMENT_HEADER_BYTES && k + 1 == firsts.len() {
            return Ok(());
        }
        decode_segment_header(&bytes).map_err(|_| format!("{name} at byte 0: its head is damaged"))?;
        let walked = walk(&bytes, |_, record| {
            each(record);
            Ok(())
        });
        match walked {
            Ok((_, Some(bad))) if k + 1 < firsts.len() => {
                return Err(format!("{name} at byte {}: {}", bad.offset, bad.reason));
            }
            Err((at, what)) => return Err(format!("{name} at byte {at}: {what}")),
            Ok(_) => {}
        }
    }
    Ok(())
}

/// The state that the files come to.
///
/// # Errors
/// Recovery would refuse them.
pub fn replay(folder: &Path) -> Result<StateMachine, String> {
    examine(&Disk::open_read_only(folder))
        .map(|reading| reading.machine)
        .map_err(|refused| refused.to_string())
}

/// A number as JSON.
pub fn counter_json(name: &[u8], number: frostgauge_counter_core::Counter) -> Value {
    json!({
        "name": String::from_utf8_lossy(name), "total": number.total, "units": units(number.total),
        "expires_ms": number.expires_ms,
    })
}

/// Takes a snapshot of a stopped service's files and cuts its log; the snapshot's name.
///
/// # Errors
/// The folder is in use, its files are refused, or the snapshot cannot be written.
pub fn snapshot(folder: &Path) -> Result<String, String> {
    let config = Config { max_segment_bytes: u64::MAX, max_counters: usize::MAX, keep_old_segments: true };
    let (mut wal, _) = WriteAheadLog::open(Disk::open_exclusive(folder).map_err(|e| e.to_string())?, config)
        .map_err(|refused| refused.to_string())?;
    wal.snapshot().map_err(|e| e.to_string())?;
    Ok(snapshot_name(wal.machine().index()))
}
